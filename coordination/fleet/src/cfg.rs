//! Settings of the fleet.

use serde::{Deserialize, Serialize};
use sill_base::Millis;

use crate::backoff::BackoffCfg;

/// How the mix of instances is chosen.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// The cheapest mix that still carries the demand after the loss of any one failure domain.
    #[default]
    CheapestSurviving,
    /// Baseline: on-demand instances only, enough for the loss of any one failure domain.
    AllOnDemand,
    /// Baseline: reclaimable instances at the lowest price, without regard to failure domains.
    CheapestReclaimable,
    /// Baseline: half reclaimable, half on-demand, in equal shares over the failure domains.
    FixedShares,
}

/// Settings of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetCfg {
    /// How the mix of instances is chosen.
    pub policy: Policy,
    /// Slots to plan for, in percent of the highest demand within `demand_window`.
    pub headroom_percent: u32,
    /// How long a high demand counts.
    pub demand_window: Millis,
    /// How long capacity must have been in excess before an instance is drained, and the shortest
    /// time for which an instance is kept.
    pub min_stay: Millis,
    /// Time within which a started instance must announce itself.
    pub start_timeout: Millis,
    /// Time within which a draining instance must finish its requests before it is stopped.
    pub drain_timeout: Millis,
    /// Value of the work that one reclaim destroys, in thousandths of a currency unit.
    pub cost_of_reclaim: u64,
    /// Highest number of starts per service in one planning step.
    pub max_starts_per_step: u32,
    /// Rate at which the weights store serves loads, in megabytes per second.
    pub store_megabytes_per_s: u64,
    /// Backoff for offers whose starts are refused.
    pub backoff: BackoffCfg,
    /// Seed of the random generator for the backoff jitter.
    pub seed: u64,
}

impl Default for FleetCfg {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            headroom_percent: 115,
            demand_window: Millis::from_secs(300),
            min_stay: Millis::from_secs(600),
            start_timeout: Millis::from_secs(180),
            drain_timeout: Millis::from_secs(600),
            cost_of_reclaim: 50,
            max_starts_per_step: 32,
            store_megabytes_per_s: 2000,
            backoff: BackoffCfg::default(),
            seed: 1,
        }
    }
}
