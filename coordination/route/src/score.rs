//! Expected cost of sending a request to an endpoint, in milliseconds.

use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::Rng;

use crate::endpoint::Endpoint;
use crate::policy::{Policy, PolicyCfg};
use crate::request::{ChosenEndpoint, RouteRequest};

/// Factor on the load bounds for requests that need a version.
const VERSION_HEADROOM: f64 = 1.25;

/// Weight of the time by which the answer takes longer to decode than at the usual speed. Callers wait
/// for the first token, and see a slower stream less.
const DECODE_WEIGHT: f64 = 0.05;

/// Added cost of an endpoint to which no idle connection is kept. It is less than that of one more request at an engine of 12 slots, so it decides among nearly equal endpoints
/// only.
const NEW_CONNECTION_MS: f64 = 15.0;

/// An endpoint considered for a request, with the inputs to its cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) endpoint: &'a Endpoint,
    /// Estimated number of leading prompt tokens that it has cached.
    pub(crate) cached: u64,
    /// Whether it is the prompt's home.
    pub(crate) is_home: bool,
    /// Requests at the endpoint, as reported and corrected by our own dispatches.
    pub(crate) active: u32,
    /// Estimated number of prompt tokens queued at the endpoint.
    pub(crate) pending_tokens: u64,
    /// `pending_tokens`, under the assumption that the other entry instances sent in proportion to
    /// our own dispatches. It bounds what is sent to an endpoint but doesn't rank endpoints, since
    /// that would drive every prompt off its home in turn.
    pub(crate) assumed_pending_tokens: u64,
    /// Number of requests that the endpoint runs concurrently.
    pub(crate) slots: f64,
    /// `slots`, reduced during the slow start. It only ranks endpoints: a new endpoint must not be
    /// filled at once. But if the others are full, or all are new to an entry instance that has
    /// just started, refusing requests because of the slow start would leave capacity unused.
    pub(crate) usable_slots: f64,
    /// Whether it is presumed to have room, by the requests that it has rejected.
    pub(crate) has_room: bool,
    /// Whether it is in another failure domain than the entry instance.
    pub(crate) is_remote: bool,
    /// Whether it is in backoff after a failure.
    pub(crate) is_suspect: bool,
    /// Whether it is left to requests that need its version.
    pub(crate) is_reserved: bool,
    /// Chance per second that it is reclaimed.
    pub(crate) reclaim_per_s: f64,
    /// Factor on the times at the endpoint by the pace that it reported lately.
    pub(crate) pace_factor: f64,
    /// Factor on the times at the endpoint by the speed learned of it.
    pub(crate) learned_factor: f64,
    /// Whether a connection has to be opened to it; false where that doesn't matter.
    pub(crate) needs_connection: bool,
    /// Learned usual time of a request without a prompt; 0 for others.
    pub(crate) work_ms: f64,
}

/// Ranks the candidates for one request and sums up the load of the pool.
pub(crate) struct Scorer<'a, 'p> {
    cfg: &'p PolicyCfg,
    req: &'p RouteRequest,
    max_price: f64,
    best: Option<ScoredCandidate<'a>>,
    /// The best of the candidates that are not overloaded for the request.
    best_with_room: Option<ScoredCandidate<'a>>,
    active: f64,
    slots: f64,
}

/// A candidate with its rank.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScoredCandidate<'a> {
    candidate: Candidate<'a>,
    rank: Rank,
}

/// The lowest rank is the best. Fields are compared in order.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    is_suspect: bool,
    is_reserved: bool,
    cost: f64,
    tie_break: u64,
}

/// Returns the factor by which the load bounds are raised for a request. One that needs a version can
/// go to few endpoints, which others also fill.
fn headroom(req: &RouteRequest) -> f64 {
    if req.software.is_some() { VERSION_HEADROOM } else { 1.0 }
}

impl Candidate<'_> {
    /// Returns the factor on the time that work takes at the endpoint now.
    fn time_factor(&self) -> f64 {
        self.pace_factor * self.learned_factor
    }

    /// Returns the expected time until a slot is free and the queued prompts are prefilled.
    fn queue_ms(&self, cfg: &PolicyCfg, req: &RouteRequest) -> f64 {
        let ahead = f64::from(self.active) + 1.0 - self.usable_slots;
        let answer_ms = f64::from(req.max_tokens) * self.endpoint.decode_ms(cfg);
        let slot_ms = ahead.max(0.0) * answer_ms / self.usable_slots;
        slot_ms + self.endpoint.prefill_ms(self.pending_tokens, cfg)
    }

    /// Returns whether the endpoint has reached the load bound of high priority. Nothing more is
    /// sent there, whatever it has cached.
    pub(crate) fn is_full(&self, cfg: &PolicyCfg) -> bool {
        self.is_full_with(cfg, 1.0)
    }

    /// Returns whether the endpoint has reached the load bound for a request.
    pub(crate) fn is_full_for(&self, cfg: &PolicyCfg, req: &RouteRequest) -> bool {
        self.is_full_with(cfg, headroom(req))
    }

    fn is_full_with(&self, cfg: &PolicyCfg, headroom: f64) -> bool {
        !self.has_room || f64::from(self.active) >= self.load_bound(cfg, headroom)
    }

    /// Returns the number of requests from which on no more are sent to the endpoint. All slots of a
    /// slow one may be used, but fewer requests may be queued there.
    fn load_bound(&self, cfg: &PolicyCfg, headroom: f64) -> f64 {
        let bound = self.slots * cfg.load_factor.high * headroom;
        let slowness = self.time_factor();
        if slowness <= 1.0 || bound <= self.slots {
            return bound.max(1.0);
        }
        (self.slots + (bound - self.slots) / slowness).max(1.0)
    }

    /// Returns whether the endpoint exceeds the load bound or the waiting bound of the request's
    /// priority.
    fn is_overloaded(&self, cfg: &PolicyCfg, req: &RouteRequest) -> bool {
        let slots = self.slots * cfg.load_factor.bound(req.priority) * headroom(req);
        let slots = slots.max(1.0);
        let prompt_ms = self.endpoint.prefill_ms(req.prompt_tokens, cfg) + cfg.wait_base.0 as f64;
        let wait_ms = self.endpoint.prefill_ms(self.assumed_pending_tokens, cfg);
        let waits_too_long = wait_ms > prompt_ms * cfg.wait_factor.bound(req.priority);
        let is_over_bound = f64::from(self.active) >= slots && !self.meets_ttft_target(cfg, req);
        is_over_bound || (waits_too_long && cfg.policy == Policy::Cost)
    }

    /// Returns whether the first token is expected within the part of the target that the request's
    /// priority may use in a loaded pool.
    fn meets_ttft_target(&self, cfg: &PolicyCfg, req: &RouteRequest) -> bool {
        cfg.ttft_target.is_some_and(|target| {
            self.ttft_ms(cfg, req) <= target.0 as f64 * cfg.wait_factor.bound(req.priority)
        })
    }

    /// Returns the prefill time of the part of the prompt that is not known to be cached.
    fn prefill_ms(&self, cfg: &PolicyCfg, req: &RouteRequest) -> f64 {
        self.endpoint.prefill_ms(req.prompt_tokens.saturating_sub(self.cached), cfg)
    }

    /// Returns the prefill time under the assumption that the prompt's home has a part of it
    /// cached. The assumption may rank endpoints, but must not admit a request that then misses its
    /// deadline.
    fn assumed_prefill_ms(&self, cfg: &PolicyCfg, req: &RouteRequest) -> f64 {
        let assumed = match self.is_home {
            true => (req.prompt_tokens as f64 * cfg.home_share) as u64,
            false => 0,
        };
        let cached = self.cached.max(assumed);
        self.endpoint.prefill_ms(req.prompt_tokens.saturating_sub(cached), cfg)
    }

    fn ttft_ms(&self, cfg: &PolicyCfg, req: &RouteRequest) -> f64 {
        self.queue_ms(cfg, req) + self.prefill_ms(cfg, req)
    }

    /// Returns the expected time until the whole answer is received.
    pub(crate) fn answer_ms(&self, cfg: &PolicyCfg, req: &RouteRequest) -> f64 {
        self.ttft_ms(cfg, req) + f64::from(req.max_tokens) * self.endpoint.decode_ms(cfg)
    }

    /// Returns the expected cost: queueing, prefill of the uncached part of the prompt, slower
    /// tokens in a larger batch, the price of the time used, the work lost if the endpoint is
    /// reclaimed, and the distance to another failure domain.
    fn cost(&self, cfg: &PolicyCfg, req: &RouteRequest, max_price: f64) -> f64 {
        let slowness = self.time_factor();
        let prefill = self.assumed_prefill_ms(cfg, req) * slowness;
        let answer = self.answer_ms(cfg, req);
        let load = f64::from(self.active) / self.usable_slots * cfg.load_cost.0 as f64;
        let price = self.endpoint.announcement.price as f64 / max_price.max(1.0);
        let busy = prefill + answer / self.usable_slots;
        let tokens_at_risk = req.prompt_tokens + u64::from(req.max_tokens) / 2;
        let chance = (self.reclaim_per_s * answer / 1000.0).min(1.0);
        let risk = chance * self.endpoint.prefill_ms(tokens_at_risk, cfg) * slowness;
        let cross_domain = if self.is_remote { cfg.cross_domain_cost.0 as f64 } else { 0.0 };
        // Zero at the usual speed. The pace is left out, as it changes before most answers end.
        let decode = f64::from(req.max_tokens) * self.endpoint.decode_ms(cfg);
        let slower_decode = decode * (self.learned_factor - 1.0) * DECODE_WEIGHT;
        // The same for requests without a prompt, with those that wait before them.
        let ahead = (f64::from(self.active) + 1.0 - self.slots).max(0.0);
        let slower_work = self.work_ms * (slowness - 1.0) * (1.0 + ahead / self.slots);
        self.queue_ms(cfg, req) * slowness
            + slower_decode
            + slower_work
            + if self.needs_connection { NEW_CONNECTION_MS } else { 0.0 }
            + prefill * cfg.prefill_weight
            + load
            + price * busy * cfg.price_weight
            + risk * cfg.risk_weight
            + cross_domain
    }
}

impl<'a, 'p> Scorer<'a, 'p> {
    pub(crate) fn new(cfg: &'p PolicyCfg, req: &'p RouteRequest, max_price: u64) -> Self {
        Self {
            cfg,
            req,
            max_price: max_price as f64,
            best: None,
            best_with_room: None,
            active: 0.0,
            slots: 0.0,
        }
    }

    /// Adds the candidate's load to the pool and keeps the candidate if it is the best so far.
    pub(crate) fn offer(&mut self, candidate: Candidate<'a>, rng: &mut Rng) {
        self.add_load(&candidate);
        let rank = self.rank(&candidate, rng);
        let is_better =
            |best: Option<ScoredCandidate<'_>>| best.is_none_or(|best| rank < best.rank);
        let scored = ScoredCandidate { candidate, rank };
        if is_better(self.best) {
            self.best = Some(scored);
        }
        if is_better(self.best_with_room) && !candidate.is_overloaded(self.cfg, self.req) {
            self.best_with_room = Some(scored);
        }
    }

    /// Adds an endpoint's load to that of the pool.
    pub(crate) fn add_load(&mut self, candidate: &Candidate<'_>) {
        self.active += f64::from(candidate.active);
        self.slots += candidate.slots;
    }

    /// Returns the chosen candidate, or `None` if the request has to be refused.
    ///
    /// If the best endpoint is overloaded, the request spills over to the best of the others only
    /// while the pool has room. In a loaded pool, this would drive prompts off their homes just
    /// when there is no time to compute them elsewhere: every cache would be overwritten, and the
    /// pool would stay overloaded after the cause has gone.
    pub(crate) fn best(self) -> Option<ScoredCandidate<'a>> {
        let load = self.active / self.slots.max(1.0);
        let best = self.best?;
        let is_loaded = load >= self.cfg.pool_factor.bound(self.req.priority) * headroom(self.req);
        if is_loaded
            && self.cfg.policy == Policy::Cost
            && !best.candidate.meets_ttft_target(self.cfg, self.req)
        {
            return None;
        }
        let has_room = load < self.cfg.spill_below * headroom(self.req);
        match self.best_with_room {
            Some(with_room) if has_room || with_room.rank == best.rank => Some(with_room),
            _ => None,
        }
    }

    fn rank(&self, candidate: &Candidate<'_>, rng: &mut Rng) -> Rank {
        let load = f64::from(candidate.active) / candidate.usable_slots;
        let cost = match self.cfg.policy {
            Policy::Cost => candidate.cost(self.cfg, self.req, self.max_price),
            Policy::Random => 0.0,
            Policy::LeastLoaded => load,
            Policy::PrefixOnly => -(candidate.cached as f64),
        };
        let tie_break = rng.random();
        let Candidate { is_suspect, is_reserved, .. } = *candidate;
        Rank { is_suspect, is_reserved, cost, tie_break }
    }
}

impl ScoredCandidate<'_> {
    /// Returns whether the endpoint is in backoff after a failure.
    pub(crate) fn is_suspect(&self) -> bool {
        self.candidate.is_suspect
    }

    /// Returns the router's answer for this candidate.
    pub(crate) fn chosen_endpoint(&self, cfg: &PolicyCfg, req: &RouteRequest) -> ChosenEndpoint {
        let Candidate { endpoint, cached, active, .. } = self.candidate;
        let a = &endpoint.announcement;
        let mut why = format!(
            "cached {cached} of {} tokens, {active} active on {} slots, cost {:.0} ms",
            req.prompt_tokens, a.slots, self.rank.cost
        );
        if endpoint.performance.is_reported() {
            let Candidate { pace_factor, learned_factor, .. } = self.candidate;
            why.push_str(&format!(", pace {pace_factor:.2}, speed {:.2}", 1.0 / learned_factor));
        }
        ChosenEndpoint {
            endpoint: a.name.clone(),
            incarnation: a.incarnation,
            address: a.address.clone(),
            cached_tokens: cached,
            software: a.software.clone(),
            expected_ttft: Millis(self.candidate.ttft_ms(cfg, req) as u64),
            why,
        }
    }
}
