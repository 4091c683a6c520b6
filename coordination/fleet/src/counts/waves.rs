//! Detection of reclaim waves: after the platform reclaims one failure domain, others follow.

use sill_base::{Map, Millis, Name};

use super::PoolView;

/// How long a wave counts as active after the last reclaim of a failure domain.
///
/// The platform reclaims failure domains within seconds of each other, each faster than new
/// endpoints start. Two boots of four seconds cover the next reclaim.
const WAVE_TIMEOUT: Millis = Millis(8000);

/// Time of the last reclaim of a failure domain, by service.
#[derive(Debug, Default)]
pub(super) struct ReclaimWaves(Map<Name, Millis>);

impl ReclaimWaves {
    /// Records a reclaim if the platform is reclaiming a failure domain of the service.
    pub(super) fn update(&mut self, now: Millis, view: &PoolView<'_>) {
        if view.range.prices.keys().any(|domain| is_being_reclaimed(domain, view)) {
            self.0.insert(view.service.clone(), now);
        }
    }

    /// Returns whether a reclaim of another failure domain of the service is likely.
    pub(super) fn is_active(&self, now: Millis, service: &Name) -> bool {
        self.0.get(service).is_some_and(|last| now - *last < WAVE_TIMEOUT)
    }
}

/// Returns whether the platform is reclaiming all reclaimable endpoints of a failure domain.
///
/// All of them leave only in a reclaim: the planner itself keeps one in each failure domain, and
/// the endpoints of a partitioned domain are silent, not leaving.
fn is_being_reclaimed(domain: &Name, view: &PoolView<'_>) -> bool {
    let reclaimable = || view.endpoints.iter().filter(|e| e.reclaimable && e.domain == *domain);
    reclaimable().any(|e| e.is_leaving) && reclaimable().all(|e| e.is_leaving)
}
