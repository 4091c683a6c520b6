//! The endpoints of one service at one entry instance, and the choice among them.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use rustc_hash::FxHasher;
use sill_base::{Machine, Map, Millis, Name};
use sill_route::{
    Choice, Event, Outcome, PolicyCfg, PriorityBounds, RefusalReason, RouteRequest, Router,
    RouterCfg, SampleSize, Target,
};
use sill_wire::link::{EndpointFact, EndpointState, EngineSpeed, LoadWord};
use sill_wire::prefix::BLOCK_TOKENS;
use sill_wire::{Announcement, Incarnation, Load, Priority, Role, Served};

use crate::speed::{SpeedMeter, TOLD_AFTER};

/// Prompt tokens that an engine is taken to read in a second where endpoints are compared. It only weighs a
/// prompt's rest against the other costs. The learned speed has the waits in it that crowding stands for already.
const PREFILL_TOKENS_PER_S: u32 = 64_000;

/// Time that an engine is taken to need for a token there.
const DECODE: Millis = Millis(5);

/// Added cost of an engine in another failure domain, whose bytes are charged. A short prompt is computed
/// in 10 ms and belongs to an engine nearby; a case file takes 80 ms and belongs to its home.
const ELSEWHERE: Millis = Millis(40);

/// Endpoints that a call is compared at, beside its home and those that hold its prompt. Of two drawn the idler
/// one is nearly as good as the idlest of all, and not everybody's choice until its next word.
const DRAWN: Option<SampleSize> = Some(SampleSize { local: 2.0, remote: 1.0 });

/// Blocks of prompts that one pool remembers; at 64 tokens a block, 4 million tokens.
const MAX_BLOCKS: usize = 1 << 16;

/// How long an endpoint that went is remembered.
const TOMBSTONE: Millis = Millis(60_000);

/// Settings of a pool.
#[derive(Debug, Clone)]
pub struct PoolCfg {
    /// The service.
    pub service: Name,
    /// The failure domain of the entry instance.
    pub domain: Name,
    /// Whether its endpoints are model engines.
    pub is_engine: bool,
    /// Prompt tokens that one engine's memory holds.
    pub cache_tokens: u64,
    /// Seed of ties.
    pub seed: u64,
}

/// A part of a prompt that others may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content.
    pub id: Name,
    /// Its tokens.
    pub tokens: u64,
}

/// What is known of a call's prompt.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts in order; the last one is the call's own.
    pub parts: Vec<PromptPart>,
    /// All its tokens.
    pub tokens: u64,
    /// Tokens of the answer at most.
    pub output: u32,
}

/// A call that needs an endpoint.
#[derive(Debug, Clone)]
pub struct PlaceAsk {
    /// Names the attempt.
    pub attempt: Name,
    /// Its prompt.
    pub prompt: Arc<Prompt>,
    /// When the answer must be whole.
    pub deadline: Millis,
    /// Endpoints that it may not go to.
    pub exclude: Vec<Name>,
}

/// What was decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Placed {
    /// It goes to an endpoint.
    Endpoint(Place),
    /// It is refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Millis,
    },
}

/// Where a call goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The endpoint.
    pub endpoint: Name,
    /// Its life. What comes of the call says nothing about a later one.
    pub born: Incarnation,
    /// Its address.
    pub address: SocketAddr,
    /// Prompt tokens that are not thought to be cached there.
    pub fresh_tokens: u64,
    /// When it was chosen.
    pub sent: Millis,
    /// Why, for the log.
    pub why: String,
}

/// What a fact was worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It is known, or older than what is.
    Nothing,
    /// It is newer.
    News,
    /// The endpoint has started again; its old life was at this address.
    Restart(SocketAddr),
}

/// The endpoints of one service.
#[derive(Debug)]
pub struct Pool {
    cfg: PoolCfg,
    router: Router,
    endpoints: Map<Name, Known>,
    meter: SpeedMeter,
    sequence: u64,
}

#[derive(Debug)]
struct Known {
    fact: EndpointFact,
    load: Load,
    /// When it was that load, if it told one.
    loaded_at: Option<Millis>,
    own: u32,
    heard: Millis,
}

impl Known {
    fn is_gone(&self) -> bool {
        self.fact.state >= EndpointState::Silent
    }
}

impl Pool {
    /// Makes a pool without endpoints.
    pub fn new(cfg: PoolCfg) -> Self {
        let router_cfg = RouterCfg { domain: cfg.domain.clone(), seed: cfg.seed };
        let policy = if cfg.is_engine { engine_policy() } else { plain_policy() };
        let router = Router::with_policy(router_cfg, policy);
        Self { cfg, router, endpoints: Map::default(), meter: SpeedMeter::default(), sequence: 0 }
    }

    /// Takes in what was heard of an endpoint.
    pub fn heard(&mut self, now: Millis, fact: &EndpointFact) -> Heard {
        self.forget_gone(now);
        let known = self.endpoints.get(&fact.endpoint).map(|known| &known.fact);
        // Two control instances tell the same; what is older or said before changes nothing.
        let age = |fact: &EndpointFact| (fact.born, fact.sequence, fact.state);
        let heard = match known {
            Some(known) if fact.born > known.born => Heard::Restart(known.address),
            Some(known) if age(fact) <= age(known) => return Heard::Nothing,
            _ => Heard::News,
        };
        if matches!(heard, Heard::Restart(_)) {
            self.endpoints.remove(&fact.endpoint);
        }
        let fresh = || Known {
            fact: fact.clone(),
            load: Load::default(),
            loaded_at: None,
            own: 0,
            heard: now,
        };
        let known = self.endpoints.entry(fact.endpoint.clone()).or_insert_with(fresh);
        known.fact = fact.clone();
        known.heard = now;
        match fact.state {
            EndpointState::Gone | EndpointState::Silent => self.drop_from_router(now, fact),
            EndpointState::Ready | EndpointState::Leaving => self.announce(now, &fact.endpoint),
        }
        heard
    }

    fn drop_from_router(&mut self, now: Millis, fact: &EndpointFact) {
        let (endpoint, incarnation) = (fact.endpoint.clone(), fact.born);
        self.step(now, Event::Gone { endpoint, incarnation });
    }

    /// Returns what is known of the life of the endpoint to which a call went, unless another one follows.
    fn life(&mut self, place: &Place) -> Option<&mut Known> {
        self.endpoints.get_mut(&place.endpoint).filter(|known| known.fact.born == place.born)
    }

    /// Takes in that another endpoint answered at an address, so this one has ended.
    pub fn ended(&mut self, now: Millis, place: &Place) {
        let Some(known) = self.life(place) else { return };
        known.fact.state = EndpointState::Gone;
        known.heard = now;
        let fact = known.fact.clone();
        self.drop_from_router(now, &fact);
    }

    /// Endpoints that went are remembered for a while: another control instance may tell later that
    /// they are ready, from a heartbeat that is older.
    fn forget_gone(&mut self, now: Millis) {
        self.endpoints.retain(|_, known| !known.is_gone() || now - known.heard < TOMBSTONE);
    }

    /// Takes in the load that an endpoint reported with an answer.
    pub fn load(&mut self, now: Millis, place: &Place, running: u32, queued: u32) {
        let load = Load { running, queued, ..Load::default() };
        if let Some(known) = self.life(place).filter(|known| !known.is_gone()) {
            known.load = load;
            known.loaded_at = Some(now);
            self.announce(now, &place.endpoint);
        }
    }

    /// Takes in the load that an endpoint told another entry instance.
    ///
    /// Each of many entry instances has few answers from one endpoint. By those alone, busy endpoints and
    /// idle ones look the same, and calls wait beside idle engines.
    pub fn load_elsewhere(&mut self, now: Millis, word: &LoadWord) {
        let at = now - word.age;
        let known = self.endpoints.get_mut(&word.endpoint);
        let known = known.filter(|known| known.fact.born == word.born && !known.is_gone());
        let Some(known) = known.filter(|known| known.loaded_at.is_none_or(|last| at > last)) else {
            return;
        };
        known.load = Load { running: word.running, queued: word.queued, ..Load::default() };
        known.loaded_at = Some(at);
        self.announce(now, &word.endpoint);
    }

    /// Returns the loads that endpoints told within a span.
    pub fn loads(&self, now: Millis, span: Millis) -> impl Iterator<Item = LoadWord> {
        self.endpoints.iter().filter_map(move |(endpoint, known)| {
            let age = now - known.loaded_at?;
            (age < span).then(|| LoadWord {
                endpoint: endpoint.clone(),
                born: known.fact.born,
                running: known.load.running,
                queued: known.load.queued,
                age,
            })
        })
    }

    /// Takes in that an endpoint has no room.
    pub fn full(&mut self, now: Millis, place: &Place) {
        let Some(known) = self.life(place) else { return };
        let (running, queued) = (known.fact.slots, known.fact.slots);
        self.load(now, place, running, queued);
    }

    /// Chooses an endpoint for a call and counts it there, or refuses it.
    pub fn place(&mut self, now: Millis, ask: &PlaceAsk) -> Placed {
        let ask = self.ask(ask);
        match self.router.choose(now, &ask) {
            Choice::Endpoint(chosen) => {
                let Some(known) = self.endpoints.get_mut(&chosen.endpoint) else {
                    return self.no_endpoint();
                };
                known.own += 1;
                let place = Place {
                    endpoint: chosen.endpoint.clone(),
                    born: known.fact.born,
                    address: known.fact.address,
                    fresh_tokens: ask.prompt_tokens.saturating_sub(chosen.cached_tokens),
                    sent: now,
                    why: chosen.why,
                };
                self.step(now, Event::Sent { endpoint: chosen.endpoint, ask });
                Placed::Endpoint(place)
            }
            Choice::Refuse(refusal) => {
                Placed::Refused { reason: refusal.reason, retry_after: refusal.retry_after }
            }
        }
    }

    fn no_endpoint(&self) -> Placed {
        const SOON: Millis = Millis(1000);
        Placed::Refused { reason: RefusalReason::NoEndpoint, retry_after: SOON }
    }

    /// Takes in that the first part of an answer came.
    pub fn began(&mut self, now: Millis, place: &Place, attempt: &Name) {
        if self.life(place).is_none() {
            return;
        }
        if self.cfg.is_engine {
            self.meter.first_part(place.fresh_tokens, now - place.sent);
        }
        let (endpoint, request) = (place.endpoint.clone(), attempt.clone());
        self.step(now, Event::FirstToken { endpoint, request });
    }

    /// Returns what was learned here of the engines' speed, if enough was.
    pub fn learned_speed(&self) -> Option<EngineSpeed> {
        Some(self.meter.speed()).filter(|speed| speed.lines >= TOLD_AFTER)
    }

    /// Takes in that an attempt is over.
    pub fn over(&mut self, now: Millis, place: &Place, attempt: &Name, outcome: Outcome) {
        let Some(known) = self.life(place) else { return };
        known.own = known.own.saturating_sub(1);
        let (endpoint, request) = (place.endpoint.clone(), attempt.clone());
        self.step(now, Event::Ended { endpoint, request, tokens: 0, outcome });
    }

    /// Returns what is known of each endpoint.
    pub fn facts(&self) -> impl Iterator<Item = &EndpointFact> {
        self.endpoints.values().map(|known| &known.fact)
    }

    /// Returns the requests of this entry instance at the endpoints.
    pub fn running(&self) -> u32 {
        self.endpoints.values().map(|known| known.own).sum()
    }

    /// Returns the number of endpoints that take requests.
    pub fn ready(&self) -> usize {
        self.endpoints.values().filter(|k| k.fact.state == EndpointState::Ready).count()
    }

    /// Returns whether an endpoint still takes requests as far as is known.
    pub fn is_ready(&self, endpoint: &Name) -> bool {
        self.endpoints.get(endpoint).is_some_and(|k| k.fact.state == EndpointState::Ready)
    }

    fn ask(&self, ask: &PlaceAsk) -> RouteRequest {
        RouteRequest {
            request: ask.attempt.clone(),
            target: Target::Service(self.cfg.service.clone()),
            blocks: blocks(&ask.prompt),
            prompt_tokens: ask.prompt.tokens,
            max_tokens: ask.prompt.output,
            priority: Priority::High,
            deadline: ask.deadline,
            exclude: ask.exclude.clone(),
        }
    }

    fn announce(&mut self, now: Millis, endpoint: &Name) {
        let Some(known) = self.endpoints.get(endpoint) else { return };
        self.sequence += 1;
        let is_leaving = known.fact.state == EndpointState::Leaving;
        let announcement = Announcement {
            name: endpoint.clone(),
            incarnation: known.fact.born,
            sequence: self.sequence,
            address: Name::default(),
            domain: known.fact.domain.clone(),
            class: Name::default(),
            reclaimable: known.fact.reclaimable,
            price: 0,
            serves: vec![Served::Service { service: self.cfg.service.clone() }],
            role: Role::Mixed,
            slots: known.fact.slots,
            prefill_tokens_per_s: 0,
            decode_ms: 0,
            cache_tokens: self.cfg.cache_tokens,
            load: Load { age: known.loaded_at.map_or(Millis::ZERO, |at| now - at), ..known.load },
            leaving: is_leaving.then(|| known.fact.leaves_in.unwrap_or_default()),
            checks_fencing: false,
        };
        self.step(now, Event::Announced { announcement, age: Millis::ZERO });
    }

    fn step(&mut self, now: Millis, event: Event) {
        self.router.step(now, event, &mut Vec::new());
    }
}

/// Splits the shared parts of a prompt into blocks, each named by all that stands before it.
///
/// The last part is the call's own and is nowhere cached.
fn blocks(prompt: &Prompt) -> Arc<[u64]> {
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut blocks = Vec::new();
    let mut hasher = FxHasher::default();
    for part in shared {
        part.id.hash(&mut hasher);
        for i in 0..part.tokens.div_ceil(BLOCK_TOKENS as u64) {
            i.hash(&mut hasher);
            blocks.push(hasher.finish());
        }
    }
    blocks.into()
}

/// Figures for model engines, which queue by rank and answer in batches.
fn engine_policy() -> PolicyCfg {
    PolicyCfg {
        announcement_ttl: Millis::MAX,
        max_blocks: MAX_BLOCKS,
        load_factor: PriorityBounds { low: 1.5, normal: 1.5, high: 1.5 },
        pool_factor: PriorityBounds { low: 1.4, normal: 1.4, high: 1.4 },
        ttft_target: None,
        spill_below: 1.4,
        wait_factor: PriorityBounds::UNBOUNDED,
        slow_start: Millis(500),
        cross_domain_cost: ELSEWHERE,
        sample_size: DRAWN,
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        decode_per_token: DECODE,
        ..PolicyCfg::default()
    }
}

/// Figures for plain services: calls of some 30 ms, of which a few may wait.
fn plain_policy() -> PolicyCfg {
    PolicyCfg {
        announcement_ttl: Millis::MAX,
        load_factor: PriorityBounds { low: 4.0, normal: 4.0, high: 4.0 },
        pool_factor: PriorityBounds { low: 4.0, normal: 4.0, high: 4.0 },
        ttft_target: None,
        spill_below: 4.0,
        wait_factor: PriorityBounds::UNBOUNDED,
        slow_start: Millis(500),
        cross_domain_cost: Millis(10),
        ..PolicyCfg::default()
    }
}
