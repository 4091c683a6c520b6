//! Expected costs of sending a request to an endpoint, in milliseconds.

use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::Rng;

use crate::endpoint::Endpoint;
use crate::policy::{Policy, PolicyCfg};
use crate::request::{ChosenEndpoint, RouteRequest};

/// An endpoint that may be chosen, with what the choice depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) endpoint: &'a Endpoint,
    /// Prompt tokens that it is thought to hold.
    pub(crate) cached: u64,
    /// Whether it is the prompt's home.
    pub(crate) is_home: bool,
    /// Requests that it holds as far as was heard and sent.
    pub(crate) active: u32,
    /// Prompt tokens that it has before it.
    pub(crate) pending_tokens: u64,
    /// The same if the other entry instances do as we do. It bounds what is sent there, but does
    /// not order endpoints, since that drives every prompt off its home in turn.
    pub(crate) presumed_tokens: u64,
    /// Requests that it runs side by side.
    pub(crate) slots: f64,
    /// The same, less while it has just started. It orders endpoints only: a new endpoint must not
    /// be filled at once, but where others are full, or all are new to an entry instance that has
    /// just started, refusing for its sake would waste what there is.
    pub(crate) usable_slots: f64,
    /// Whether it stands in another failure domain.
    pub(crate) elsewhere: bool,
    /// Whether it failed lately.
    pub(crate) suspect: bool,
    /// Chance of a reclaim in a second.
    pub(crate) reclaim_per_s: f64,
}

/// Keeps the best candidates so far.
pub(crate) struct Scorer<'a, 'p> {
    cfg: &'p PolicyCfg,
    ask: &'p RouteRequest,
    dearest: f64,
    best: Option<Scored<'a>>,
    /// The best of those that are not late.
    best_in_time: Option<Scored<'a>>,
    active: f64,
    slots: f64,
}

/// A candidate with its rank; lower is better.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scored<'a> {
    candidate: Candidate<'a>,
    rank: Rank,
}

#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    suspect: bool,
    cost: f64,
    tie_break: u64,
}

impl Candidate<'_> {
    /// Returns the time until a slot is free, from the requests that stand before the others.
    fn queue_ms(&self, cfg: &PolicyCfg, ask: &RouteRequest) -> f64 {
        let before = f64::from(self.active) + 1.0 - self.usable_slots;
        let answer_ms = f64::from(ask.max_tokens) * self.endpoint.decode_ms(cfg);
        let for_slot = before.max(0.0) * answer_ms / self.usable_slots;
        for_slot + self.endpoint.prefill_ms(self.pending_tokens, cfg)
    }

    /// Returns whether the endpoint holds so much that nothing more is sent there, whatever it has
    /// cached.
    pub(crate) fn is_full(&self, cfg: &PolicyCfg) -> bool {
        f64::from(self.active) >= (self.slots * cfg.load_factor.high).max(1.0)
    }

    /// Returns whether a request of this priority would find too little room, or wait too long for
    /// the prompts before it.
    fn is_late(&self, cfg: &PolicyCfg, ask: &RouteRequest) -> bool {
        let slots = (self.slots * cfg.load_factor.bound(ask.priority)).max(1.0);
        let whole_ms = self.endpoint.prefill_ms(ask.prompt_tokens, cfg) + cfg.wait_base.0 as f64;
        let wait_ms = self.endpoint.prefill_ms(self.presumed_tokens, cfg);
        let waits = wait_ms > whole_ms * cfg.wait_factor.bound(ask.priority);
        let is_busy = f64::from(self.active) >= slots && !self.is_prompt(cfg, ask);
        is_busy || (waits && cfg.policy == Policy::Cost)
    }

    /// Returns whether the first token is expected in the time that a request of this priority may take of a
    /// loaded pool.
    fn is_prompt(&self, cfg: &PolicyCfg, ask: &RouteRequest) -> bool {
        cfg.ttft_target.is_some_and(|wanted| {
            self.ttft_ms(cfg, ask) <= wanted.0 as f64 * cfg.wait_factor.bound(ask.priority)
        })
    }

    /// Returns the time for the part of the prompt that is not known to be cached.
    fn prefill_ms(&self, cfg: &PolicyCfg, ask: &RouteRequest) -> f64 {
        self.endpoint.prefill_ms(ask.prompt_tokens.saturating_sub(self.cached), cfg)
    }

    /// Returns the time for the prompt with what its home is presumed to hold. A presumption may
    /// order endpoints, but must not let in a request that then misses its deadline.
    fn presumed_prefill_ms(&self, cfg: &PolicyCfg, ask: &RouteRequest) -> f64 {
        let presumed = match self.is_home {
            true => (ask.prompt_tokens as f64 * cfg.home_share) as u64,
            false => 0,
        };
        let cached = self.cached.max(presumed);
        self.endpoint.prefill_ms(ask.prompt_tokens.saturating_sub(cached), cfg)
    }

    fn ttft_ms(&self, cfg: &PolicyCfg, ask: &RouteRequest) -> f64 {
        self.queue_ms(cfg, ask) + self.prefill_ms(cfg, ask)
    }

    /// Returns the expected time to the whole answer.
    pub(crate) fn answer_ms(&self, cfg: &PolicyCfg, ask: &RouteRequest) -> f64 {
        self.ttft_ms(cfg, ask) + f64::from(ask.max_tokens) * self.endpoint.decode_ms(cfg)
    }

    /// Returns the expected cost: waiting, the prompt's rest, slower tokens in a fuller batch, the
    /// price of the time taken, and the work that a reclaim would destroy.
    fn cost(&self, cfg: &PolicyCfg, ask: &RouteRequest, dearest: f64) -> f64 {
        let prefill = self.presumed_prefill_ms(cfg, ask);
        let answer = self.answer_ms(cfg, ask);
        let crowding = f64::from(self.active) / self.usable_slots * cfg.load_cost.0 as f64;
        let price = self.endpoint.announcement.price as f64 / dearest.max(1.0);
        let busy = prefill + answer / self.usable_slots;
        let at_stake = ask.prompt_tokens + u64::from(ask.max_tokens) / 2;
        let chance = (self.reclaim_per_s * answer / 1000.0).min(1.0);
        let risk = chance * self.endpoint.prefill_ms(at_stake, cfg);
        let elsewhere = if self.elsewhere { cfg.cross_domain_cost.0 as f64 } else { 0.0 };
        self.queue_ms(cfg, ask)
            + prefill * cfg.prefill_weight
            + crowding
            + price * busy * cfg.price_weight
            + risk * cfg.risk_weight
            + elsewhere
    }
}

impl<'a, 'p> Scorer<'a, 'p> {
    pub(crate) fn new(cfg: &'p PolicyCfg, ask: &'p RouteRequest, dearest: u64) -> Self {
        Self {
            cfg,
            ask,
            dearest: dearest as f64,
            best: None,
            best_in_time: None,
            active: 0.0,
            slots: 0.0,
        }
    }

    /// Keeps the candidate if it is the best so far.
    pub(crate) fn offer(&mut self, candidate: Candidate<'a>, rng: &mut Rng) {
        self.count(&candidate);
        let rank = self.rank(&candidate, rng);
        let is_better = |best: Option<Scored<'_>>| best.is_none_or(|best| rank < best.rank);
        let scored = Scored { candidate, rank };
        if is_better(self.best) {
            self.best = Some(scored);
        }
        if is_better(self.best_in_time) && !candidate.is_late(self.cfg, self.ask) {
            self.best_in_time = Some(scored);
        }
    }

    /// Counts an endpoint's load towards that of the pool.
    pub(crate) fn count(&mut self, candidate: &Candidate<'_>) {
        self.active += f64::from(candidate.active);
        self.slots += candidate.slots;
    }

    /// Returns the choice, if any.
    ///
    /// Where the best endpoint is late, the best of the others is taken only while the pool has
    /// room. In a loaded pool that would drive prompts off their homes just when there is no time
    /// to compute them elsewhere: every cache is overwritten, and the pool stays overloaded after
    /// the cause has gone. The request is refused then.
    pub(crate) fn best(self) -> Option<Scored<'a>> {
        let load = self.active / self.slots.max(1.0);
        let best = self.best?;
        let is_loaded = load >= self.cfg.pool_factor.bound(self.ask.priority);
        if is_loaded
            && self.cfg.policy == Policy::Cost
            && !best.candidate.is_prompt(self.cfg, self.ask)
        {
            return None;
        }
        let has_room = load < self.cfg.spill_below;
        match self.best_in_time {
            Some(in_time) if has_room || in_time.rank == best.rank => Some(in_time),
            _ => None,
        }
    }

    fn rank(&self, candidate: &Candidate<'_>, rng: &mut Rng) -> Rank {
        let fill = f64::from(candidate.active) / candidate.usable_slots;
        let cost = match self.cfg.policy {
            Policy::Cost => candidate.cost(self.cfg, self.ask, self.dearest),
            Policy::Random => 0.0,
            Policy::LeastLoaded => fill,
            Policy::PrefixOnly => -(candidate.cached as f64),
        };
        let tie_break = rng.random();
        Rank { suspect: candidate.suspect, cost, tie_break }
    }
}

impl Scored<'_> {
    /// Returns whether the endpoint failed lately.
    pub(crate) fn is_suspect(&self) -> bool {
        self.candidate.suspect
    }

    /// Turns it into the router's answer.
    pub(crate) fn chosen(&self, cfg: &PolicyCfg, ask: &RouteRequest) -> ChosenEndpoint {
        let Candidate { endpoint, cached, active, .. } = self.candidate;
        let a = &endpoint.announcement;
        let why = format!(
            "cached {cached} of {} tokens, {active} active on {} slots, cost {:.0} ms",
            ask.prompt_tokens, a.slots, self.rank.cost
        );
        ChosenEndpoint {
            endpoint: a.name.clone(),
            incarnation: a.incarnation,
            address: a.address.clone(),
            cached_tokens: cached,
            expected_ttft: Millis(self.candidate.ttft_ms(cfg, ask) as u64),
            why,
        }
    }
}
