//! Waves of reclaims: where one failure domain was taken back, others follow.

use sill_base::{Map, Millis, Name};

use super::PoolView;

/// How long after a reclaim of a failure domain the next one is expected. The platform takes back one after
/// the other within seconds, each faster than new endpoints start; two boots of four seconds cover the next one.
const EXPECTED: Millis = Millis(8000);

/// When failure domains were last taken back, by service.
#[derive(Debug, Default)]
pub(super) struct Waves(Map<Name, Millis>);

impl Waves {
    /// Takes in what stands.
    pub(super) fn look(&mut self, now: Millis, view: &PoolView<'_>) {
        if view.range.prices.keys().any(|domain| is_taken_back(domain, view)) {
            self.0.insert(view.service.clone(), now);
        }
    }

    /// Returns whether another failure domain of the service is likely to be taken back.
    pub(super) fn is_on(&self, now: Millis, service: &Name) -> bool {
        self.0.get(service).is_some_and(|last| now - *last < EXPECTED)
    }
}

/// Returns whether the platform takes back all reclaimable endpoints of a failure domain. The planner itself
/// keeps one in each; a domain that is cut off has endpoints that are silent, not leaving.
fn is_taken_back(domain: &Name, view: &PoolView<'_>) -> bool {
    let reclaimable = || view.endpoints.iter().filter(|e| e.reclaimable && e.domain == *domain);
    reclaimable().any(|e| e.is_leaving) && reclaimable().all(|e| e.is_leaving)
}
