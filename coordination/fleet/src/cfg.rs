//! Settings of the fleet.

use serde::{Deserialize, Serialize};
use sill_base::Millis;

use crate::backoff::BackoffCfg;

/// How the mix of instances is chosen.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// The cheapest mix that survives the loss of any one failure domain.
    #[default]
    CheapestSurviving,
    /// Baseline: on-demand instances only, surviving the loss of a domain.
    AllOnDemand,
    /// Baseline: reclaimable instances at the lowest price, wherever that is.
    CheapestReclaimable,
    /// Baseline: half reclaimable, half on-demand, even over the domains.
    FixedShares,
}

/// Settings of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetCfg {
    /// How the mix is chosen.
    pub policy: Policy,
    /// Capacity against the highest demand, in percent.
    pub headroom_percent: u32,
    /// How long a high demand counts.
    pub demand_window: Millis,
    /// How long capacity must have been too much before any is stopped, and how long an instance
    /// stays at least.
    pub min_stay: Millis,
    /// How long a started instance may take to announce itself.
    pub start_timeout: Millis,
    /// How long a drained instance may take to finish.
    pub drain_timeout: Millis,
    /// What the work lost by a reclaim is worth, in thousandths of a currency unit.
    pub cost_of_reclaim: u64,
    /// Most starts asked for in one step.
    pub max_starts_per_step: u32,
    /// Rate of the weights store in megabytes a second.
    pub store_megabytes_per_s: u64,
    /// Back-off for refused offers.
    pub backoff: BackoffCfg,
    /// Seed of the jitter.
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
