//! How endpoints are compared, and the figures that the comparison uses.

use sill_base::Millis;
use sill_wire::Priority;

/// How an endpoint is chosen among those that may be.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The lowest expected cost; all others are baselines to measure it against.
    #[default]
    Cost,
    /// Any endpoint.
    Random,
    /// The endpoint with the fewest requests for its slots.
    LeastLoaded,
    /// The longest cached prefix, however busy the endpoint is.
    PrefixOnly,
}

/// Figures of the router.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyCfg {
    /// How endpoints are compared.
    pub policy: Policy,
    /// How long an announcement may be used after it was sent.
    pub announcement_ttl: Millis,
    /// How long the newest word of an endpoint that went is kept, against late copies.
    pub tombstone_ttl: Millis,
    /// How long a block is believed to be cached after it was last used.
    pub block_ttl: Millis,
    /// Cached blocks remembered over all endpoints.
    pub max_blocks: usize,
    /// Requests at an endpoint, in parts of its slots, up to which a request is sent there. That of
    /// high priority bounds what an endpoint is given at all.
    pub load_factor: PriorityBounds,
    /// Load of the pool, in parts of its slots, from which on requests are refused, so that those
    /// which are taken still get their first token in time.
    pub pool_factor: PriorityBounds,
    /// Time to the first token that callers want. Above the bounds of `load_factor` and `pool_factor`, a request is
    /// still taken where a part of it is enough for the first token, in the same parts as `wait_factor`. The bounds
    /// alone would turn callers away for seconds who could be served in a moment, where answers are short. None has
    /// the bounds hold in any case.
    pub ttft_target: Option<Millis>,
    /// Load of the pool, in parts of its slots, up to which a request goes to a lesser endpoint when
    /// the best has no room for it.
    pub spill_below: f64,
    /// Expected waiting at an endpoint, in parts of the time that the whole prompt takes, up to
    /// which a request is sent there.
    pub wait_factor: PriorityBounds,
    /// Added to the time that the whole prompt takes, for `wait_factor`.
    pub wait_base: Millis,
    /// Weight of computing a prompt, which also delays the prompts that come after it.
    pub prefill_weight: f64,
    /// Time in which a new endpoint comes up to its full slots.
    pub slow_start: Millis,
    /// Added cost of another failure domain.
    pub cross_domain_cost: Millis,
    /// Added cost of an endpoint whose slots are all taken, against an idle one.
    pub load_cost: Millis,
    /// Weight of an endpoint's price against the dearest, on the time that a request takes.
    pub price_weight: f64,
    /// Endpoints drawn for each request, beside its home and those that hold its prompt; all where it is none.
    /// Where many entry instances hear of the same loads, all of them would send to the idlest endpoint until
    /// the next word of it.
    pub sample_size: Option<SampleSize>,
    /// Chance in a second that a reclaimable endpoint is reclaimed, while nothing points to it.
    pub reclaim_per_s: f64,
    /// How long one reclaim makes others of its failure domain likely.
    pub wave_window: Millis,
    /// Weight of the work lost by a reclaim.
    pub risk_weight: f64,
    /// Part of a prompt that its home endpoint is presumed to hold, where nothing is known.
    pub home_share: f64,
    /// Prefill speed of endpoints that name none, in tokens a second.
    pub prefill_tokens_per_s: u32,
    /// Time between tokens of endpoints that name none.
    pub decode_per_token: Millis,
    /// Time for which an endpoint is passed over after it failed, doubled with each failure.
    pub failure_backoff: Millis,
    /// Shortest time after which a refused caller may come back.
    pub retry_after: Millis,
}

/// How many endpoints are drawn for a request, on average.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SampleSize {
    /// Of the own failure domain.
    pub local: f64,
    /// Of the others together.
    pub remote: f64,
}

/// A bound for each priority: low is refused first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorityBounds {
    /// For low priority.
    pub low: f64,
    /// For normal priority.
    pub normal: f64,
    /// For high priority.
    pub high: f64,
}

impl PriorityBounds {
    /// No bound for any priority, to measure against.
    pub const UNBOUNDED: Self =
        Self { low: f64::INFINITY, normal: f64::INFINITY, high: f64::INFINITY };

    /// Returns the bound of a priority.
    pub fn bound(&self, priority: Priority) -> f64 {
        match priority {
            Priority::Low => self.low,
            Priority::Normal => self.normal,
            Priority::High => self.high,
        }
    }
}

impl Default for PolicyCfg {
    fn default() -> Self {
        Self {
            policy: Policy::Cost,
            announcement_ttl: Millis(5_000),
            tombstone_ttl: Millis(600_000),
            block_ttl: Millis(600_000),
            max_blocks: 1 << 18,
            load_factor: PriorityBounds { low: 1.0, normal: 1.25, high: 1.5 },
            pool_factor: PriorityBounds { low: 0.8, normal: 0.9, high: 1.05 },
            ttft_target: Some(Millis(820)),
            spill_below: 0.6,
            wait_factor: PriorityBounds { low: 0.25, normal: 0.75, high: 1.5 },
            wait_base: Millis(200),
            prefill_weight: 4.0,
            slow_start: Millis(10_000),
            cross_domain_cost: Millis(50),
            load_cost: Millis(200),
            sample_size: None,
            price_weight: 0.02,
            reclaim_per_s: 1.0 / 21_600.0,
            wave_window: Millis(30_000),
            risk_weight: 1.0,
            home_share: 0.7,
            prefill_tokens_per_s: 5_000,
            decode_per_token: Millis(20),
            failure_backoff: Millis(1_000),
            retry_after: Millis(1_000),
        }
    }
}
