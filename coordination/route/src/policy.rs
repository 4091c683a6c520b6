//! The policy by which endpoints are compared, and its parameters.

use sill_base::Millis;
use sill_wire::Priority;

/// How an endpoint is chosen among the eligible ones.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The lowest expected cost. All other policies are baselines for comparison.
    #[default]
    Cost,
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest requests per slot.
    LeastLoaded,
    /// The endpoint with the longest cached prefix, regardless of its load.
    PrefixOnly,
}

/// Parameters of the router.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyCfg {
    /// The policy by which endpoints are compared.
    pub policy: Policy,
    /// Time after which an announcement expires, counted from when it was sent.
    pub announcement_ttl: Millis,
    /// Age of a load report from which on the requests of other entry instances in it are presumed
    /// to end; all of them have ended at twice this age. An endpoint that nobody sends requests to
    /// reports no load, so it would otherwise stay as busy as it was.
    pub load_ttl: Millis,
    /// Retention of the latest version of a removed endpoint, against late copies of its
    /// announcements.
    pub tombstone_ttl: Millis,
    /// Time for which a block is assumed to stay cached after its last use.
    pub block_ttl: Millis,
    /// Highest number of cached blocks tracked over all endpoints.
    pub max_blocks: usize,
    /// Number of requests at an endpoint, as a fraction of its slots, from which on no more are
    /// sent there. The bound of high priority holds for requests of every priority.
    pub load_factor: PriorityBounds,
    /// Load of the pool, as a fraction of its slots, from which on requests are refused, so that
    /// the admitted ones still get their first token in time.
    pub pool_factor: PriorityBounds,
    /// Time to the first token that callers expect. Above the bounds of `load_factor` and
    /// `pool_factor`, a request is still admitted if its first token is expected within this time
    /// multiplied by the `wait_factor` of its priority. Where answers are short, the bounds alone
    /// would refuse callers for seconds who could be served within moments. With `None`, the bounds
    /// always hold.
    pub ttft_target: Option<Millis>,
    /// Load of the pool, as a fraction of its slots, below which a request spills over to a
    /// lower-ranked endpoint when the best one has no room for it.
    pub spill_below: f64,
    /// Highest expected wait at an endpoint at which a request is sent there, as a fraction of the
    /// prefill time of the request's whole prompt plus `wait_base`.
    pub wait_factor: PriorityBounds,
    /// Time added to the prefill time of the whole prompt before `wait_factor` is applied.
    pub wait_base: Millis,
    /// Weight of the prefill time, since a prefill also delays the prompts queued behind it.
    pub prefill_weight: f64,
    /// Time over which the usable slots of a new endpoint rise to all of its slots.
    pub slow_start: Millis,
    /// Added cost of an endpoint in another failure domain.
    pub cross_domain_cost: Millis,
    /// Added cost of an endpoint whose slots are all in use, compared with an idle one.
    pub load_cost: Millis,
    /// Weight of the time that a request takes, multiplied by the endpoint's price relative to the
    /// highest price.
    pub price_weight: f64,
    /// Number of endpoints sampled for each request, in addition to the prompt's home and the
    /// endpoints that have part of it cached. With `None`, all endpoints are compared. Without
    /// sampling, many entry instances that receive the same load reports would all send to the
    /// least loaded endpoint until its next report.
    pub sample_size: Option<SampleSize>,
    /// Chance per second that a reclaimable endpoint is reclaimed outside of a reclaim wave.
    pub reclaim_per_s: f64,
    /// Time for which a reclaim makes others in its failure domain likely.
    pub wave_window: Millis,
    /// Weight of the expected work lost to a reclaim.
    pub risk_weight: f64,
    /// Fraction of a prompt that its home endpoint is assumed to have cached, unless more is known.
    pub home_share: f64,
    /// Prefill speed, in tokens per second, of endpoints that announce none.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of endpoints that announce none.
    pub decode_per_token: Millis,
    /// Backoff after a failure of an endpoint, during which it ranks behind all others. It doubles
    /// with each consecutive failure, up to 32 times this value.
    pub failure_backoff: Millis,
    /// Shortest time after which a refused caller may retry.
    pub retry_after: Millis,
}

/// Average number of endpoints sampled for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SampleSize {
    /// Endpoints of the entry instance's failure domain.
    pub local: f64,
    /// Endpoints of all other failure domains together.
    pub remote: f64,
}

/// A bound for each priority. Low priority has the lowest bounds and is refused first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorityBounds {
    /// Bound of low priority.
    pub low: f64,
    /// Bound of normal priority.
    pub normal: f64,
    /// Bound of high priority.
    pub high: f64,
}

impl PriorityBounds {
    /// No bound for any priority, as a baseline for comparison.
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
            load_ttl: Millis(5_000),
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
