//! The endpoints of one service as an entry instance sees them, and the choice among them.

mod policy;
mod prompt;
mod versions;

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Machine, Map, Millis, Name, Set};
use sill_rollout::ReadyVersion;
use sill_route::{
    AdmittedEndpoints, Choice, EndpointWeights, Event, Guard, Outcome, PoolView, RefusalReason,
    RouteRequest, Router, RouterCfg, SendRate, Target,
};
use sill_wire::link::{EndpointFact, EndpointLoad, EndpointState, EngineSpeed, is_valid_pace};
use sill_wire::prefix::BLOCK_TOKENS;
use sill_wire::{Announcement, Incarnation, Load, Priority, Role, Servable, Software};

use self::policy::{engine_policy, plain_policy};
pub use self::prompt::{Prompt, PromptPart};
use crate::assignment::{RestrictedEndpoint, assigned};
use crate::brittle::RejectionBounds;
use crate::pauses::Pauses;
use crate::request_limits::{self, RequestLimits};
use crate::speed::{MIN_REPORTED_FITS, SpeedMeter};

/// Prefix blocks that one pool tracks; at 64 tokens per block, 4 million tokens.
const MAX_BLOCKS: usize = 1 << 16;

/// How long the tombstone of an endpoint is kept.
const TOMBSTONE_TTL: Millis = Millis(60_000);

/// Time for which the endpoints of a version are left to streams that need it, after there was no
/// room for one.
const RESERVATION_TIME: Millis = Millis(2000);

/// Time that news of endpoints usually takes at most between control instances and from there, which their age
/// doesn't include.
const NEWS_DELAY: Millis = Millis(1000);

/// Rest of a pause for which a call may wait.
const SHORT_PAUSE: Millis = Millis(100);

/// Interval at which brittle endpoints are shared out anew.
const GUARD_INTERVAL: Millis = Millis(200);

/// Time for which a service is treated as one whose endpoints report their pace, after one did. Several
/// times the interval at which an endpoint that runs any requests answers.
const PACE_REPORT_TIME: Millis = Millis(10_000);

/// Settings of a pool.
#[derive(Debug, Clone)]
pub struct PoolCfg {
    /// Service that the endpoints serve.
    pub service: Name,
    /// Failure domain of the entry instance.
    pub domain: Name,
    /// Whether the endpoints are model engines.
    pub is_engine: bool,
    /// Prompt tokens that the KV cache of one engine holds.
    pub cache_tokens: u64,
    /// Seed of the random choice among endpoints.
    pub seed: u64,
}

/// A request to choose an endpoint for one attempt of a call.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Name of the attempt.
    pub attempt: Name,
    /// Prompt of the call.
    pub prompt: Arc<Prompt>,
    /// Time by which the answer must be complete.
    pub deadline: Millis,
    /// Endpoints that must not be chosen.
    pub exclude: Vec<Name>,
    /// The version that began the call's stream; none if any version may serve the call.
    pub software: Option<Software>,
    /// The endpoints that may be chosen during a roll-out of software.
    pub admitted: AdmittedEndpoints,
}

/// The result of choosing an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementDecision {
    /// The call is sent to an endpoint.
    Endpoint(Placement),
    /// The call is refused.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller should retry.
        retry_after: Millis,
        /// Whether the call may be placed within moments: a pause of an endpoint is nearly over, or
        /// endpoints are brittle. Requests to these are sent one by one, so calls that come at the
        /// same time have to wait for each other.
        may_wait: bool,
        /// What was believed of the endpoints, for the log.
        view: PoolView,
    },
}

/// The endpoint that was chosen for a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Incarnation of the endpoint. The outcome of the call says nothing about a later one.
    pub incarnation: Incarnation,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Version of the endpoint's software.
    pub software: Software,
    /// Prompt tokens that are presumably not cached at the endpoint.
    pub fresh_tokens: u64,
    /// Time at which the endpoint was chosen.
    pub sent_at: Millis,
    /// Why the endpoint was chosen, for the log.
    pub reason: String,
}

/// Effect of an [`EndpointFact`] on a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FactUpdate {
    /// The fact was known already, or is older than the known one.
    Stale,
    /// The fact is newer than the known one.
    Newer,
    /// The endpoint has restarted; its previous incarnation had this address.
    Restart(SocketAddr),
}

/// Numbers of brittle endpoints.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct BrittleCounts {
    /// Endpoints that end if they have to reject too many requests.
    pub brittle: usize,
    /// Those of them that this entry instance may use.
    pub assigned: usize,
    /// Entry instances among which they are shared out; 0 if no list of them is known.
    pub entries: usize,
}

/// The endpoints of one service at an entry instance.
#[derive(Debug)]
pub struct Pool {
    cfg: PoolCfg,
    router: Router,
    endpoints: Map<Name, EndpointEntry>,
    meter: SpeedMeter,
    sequence: u64,
    /// Versions of former incarnations, and when they ended.
    former_versions: Map<Software, Millis>,
    /// The versions with ready endpoints; none if they have to be determined anew.
    ready_versions: Option<Arc<[ReadyVersion]>>,
    /// Versions that had no room for a stream that needs them, with the time until which their
    /// endpoints are left to such streams.
    reserved: Map<Software, Millis>,
    bounds: RejectionBounds,
    /// This entry instance and all that are alive; none if no list is known.
    entries: (Name, Arc<[Name]>),
    /// The endpoints that are brittle, sorted.
    brittle: Vec<RestrictedEndpoint>,
    /// The endpoints that are brittle, with whether this entry instance may use each.
    guards: Map<Name, Guard>,
    guarded_at: Millis,
    pauses: Pauses,
    limits: RequestLimits,
    /// The endpoints whose limits stand, sorted, with the limits in requests per second.
    limited: Vec<(Name, f64)>,
    /// Whether endpoints with kept connections are preferred.
    prefers_connected: bool,
    /// The part of this entry instance in each of these limits.
    rates: Map<Name, SendRate>,
}

#[derive(Debug)]
struct EndpointEntry {
    fact: EndpointFact,
    /// Whether it said with an answer that it leaves. Control instances may hear of it later.
    says_it_leaves: bool,
    /// Whether it has announced, in any way, that it leaves or has ended.
    has_announced_end: bool,
    /// When it has announced its end.
    gone_at: Option<Millis>,
    /// When it will be gone, if it has said so.
    leaves_at: Option<Millis>,
    load: Load,
    /// Time of the load, if the endpoint has reported one.
    load_at: Option<Millis>,
    /// Whether the endpoint rejected a request with that load.
    is_full: bool,
    /// The pace that the endpoint reported last, in percent of the usual time, and when.
    pace: Option<(u32, Millis)>,
    /// Time of the answer from which another entry instance last told how fast the endpoint is.
    heard_time_at: Option<Millis>,
    own_requests: u32,
    /// Until when it is slower than usual after its start.
    cold_until: Millis,
    updated_at: Millis,
    /// When it sent the newest heartbeat that is known.
    said_at: Millis,
}

impl EndpointEntry {
    fn is_gone(&self) -> bool {
        self.fact.state >= EndpointState::Silent
    }
}

impl Pool {
    /// Creates a pool without endpoints.
    pub fn new(cfg: PoolCfg) -> Self {
        let router_cfg = RouterCfg { domain: cfg.domain.clone(), seed: cfg.seed };
        let policy = if cfg.is_engine { engine_policy() } else { plain_policy() };
        let router = Router::with_policy(router_cfg, policy);
        Self {
            cfg,
            router,
            endpoints: Map::default(),
            meter: SpeedMeter::default(),
            sequence: 0,
            former_versions: Map::default(),
            ready_versions: None,
            reserved: Map::default(),
            bounds: RejectionBounds::default(),
            entries: (Name::default(), Arc::default()),
            brittle: Vec::new(),
            guards: Map::default(),
            guarded_at: Millis::ZERO,
            pauses: Pauses::default(),
            limits: RequestLimits::default(),
            limited: Vec::new(),
            prefers_connected: false,
            rates: Map::default(),
        }
    }

    /// Sets the name of this entry instance and the names of all that are alive, among which brittle
    /// endpoints are shared out.
    pub fn set_entries(&mut self, own: &Name, entries: &Arc<[Name]>) {
        if self.entries.1 != *entries {
            self.entries = (own.clone(), entries.clone());
            self.brittle.clear();
            self.limited.clear();
            self.guarded_at = Millis::ZERO;
        }
    }

    /// Records whether an endpoint said with an answer that it ends if it has to reject more than
    /// `bound` requests in a second.
    pub fn record_rejection_bound(&mut self, now: Millis, place: &Placement, bound: Option<u32>) {
        if self.entry_of(place).is_some() {
            self.bounds.record(&place.endpoint, bound, now);
        }
    }

    /// Records which limit an endpoint named with an answer, in requests per second of all entry
    /// instances together.
    pub fn record_request_limit(&mut self, now: Millis, place: &Placement, per_s: Option<f64>) {
        if self.entry_of(place).is_some() {
            self.limits.record(&place.endpoint, per_s, now);
            self.update_rates(now);
        }
    }

    /// Records that an endpoint rejected a request of this entry instance and asked it for a pause.
    /// Returns whether the pause has begun or is longer now.
    pub fn record_pause(
        &mut self,
        now: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
        span: Millis,
    ) -> bool {
        if self.incarnation(endpoint) != Some(incarnation) {
            return false;
        }
        let is_longer = self.pauses.record(now, endpoint, incarnation, now + span);
        if is_longer {
            self.step(now, Event::Paused { endpoint: endpoint.clone(), span });
        }
        is_longer
    }

    /// Returns whether an endpoint has asked for a pause that is not over.
    pub fn is_paused(&self, now: Millis, endpoint: &Name, incarnation: Incarnation) -> bool {
        self.pauses.left(now, endpoint, incarnation).is_some()
    }

    /// Returns the endpoints that have named limits, with the part of this entry instance.
    pub fn send_rates(&self) -> impl Iterator<Item = (&Name, SendRate)> {
        self.rates.iter().map(|(endpoint, rate)| (endpoint, *rate))
    }

    /// Updates this entry instance's parts of the limits that endpoints have named.
    fn update_rates(&mut self, now: Millis) {
        let is_ready = |name: &Name| {
            self.endpoints.get(name).is_some_and(|e| e.fact.state == EndpointState::Ready)
        };
        let limits = self.limits.standing(now).filter(|(endpoint, _)| is_ready(endpoint));
        let mut limits: Vec<(Name, f64)> =
            limits.map(|(name, per_s)| (name.clone(), per_s)).collect();
        limits.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        if limits == self.limited && limits.len() == self.rates.len() {
            return;
        }
        let restricted: Vec<RestrictedEndpoint> = limits
            .iter()
            .map(|(endpoint, per_s)| RestrictedEndpoint {
                endpoint: endpoint.clone(),
                users: request_limits::users(*per_s),
            })
            .collect();
        let own = assigned(&self.entries.0, &self.entries.1, &restricted);
        let entries = match self.entries.1.len() {
            0 => usize::MAX,
            known => known,
        };
        let mut rates = Map::default();
        for (endpoint, per_s) in &limits {
            let users = request_limits::users(*per_s).min(entries);
            let rate = match own.contains(endpoint) {
                true => request_limits::part(*per_s, users),
                false => SendRate { per_s: 0.0, burst: 0.0 },
            };
            rates.insert(endpoint.clone(), rate);
        }
        self.limited = limits;
        let before = std::mem::replace(&mut self.rates, rates);
        for endpoint in before.keys().filter(|name| !self.rates.contains_key(*name)) {
            let paced = Event::Paced { endpoint: endpoint.clone(), rate: None };
            self.router.step(now, paced, &mut Vec::new());
        }
        for (endpoint, rate) in self.rates.iter().filter(|(e, r)| before.get(*e) != Some(*r)) {
            let paced = Event::Paced { endpoint: endpoint.clone(), rate: Some(*rate) };
            self.router.step(now, paced, &mut Vec::new());
        }
    }

    /// Returns how many endpoints are presumed to be brittle, for the log.
    pub fn brittle_counts(&self) -> BrittleCounts {
        let assigned = self.guards.values().filter(|guard| guard.is_assigned).count();
        BrittleCounts { brittle: self.guards.len(), assigned, entries: self.entries.1.len() }
    }

    /// Updates which endpoints are brittle and which of these this entry instance may use.
    fn update_guards(&mut self, now: Millis) {
        let is_active = self.bounds.is_active(now);
        let is_due = now - self.guarded_at >= GUARD_INTERVAL || self.guarded_at == Millis::ZERO;
        if !is_due {
            return;
        }
        self.guarded_at = now;
        self.update_rates(now);
        if !is_active && self.guards.is_empty() {
            return;
        }
        let ready = self.endpoints.iter().filter(|(_, e)| e.fact.state == EndpointState::Ready);
        let mut brittle: Vec<RestrictedEndpoint> = ready
            .filter_map(|(endpoint, _)| {
                let bound = self.bounds.bound_of(now, endpoint)?;
                let users = (bound as usize).max(1);
                Some(RestrictedEndpoint { endpoint: endpoint.clone(), users })
            })
            .collect();
        brittle.sort_unstable();
        if brittle != self.brittle {
            let own = assigned(&self.entries.0, &self.entries.1, &brittle);
            let guard = |e: &RestrictedEndpoint| Guard { is_assigned: own.contains(&e.endpoint) };
            let guards = brittle.iter().map(|e| (e.endpoint.clone(), guard(e))).collect();
            let before = std::mem::replace(&mut self.guards, guards);
            self.brittle = brittle;
            for (endpoint, _) in before {
                self.step(now, Event::Guarded { endpoint, guard: None });
            }
        }
        for (endpoint, guard) in self.guards.clone() {
            self.step(now, Event::Guarded { endpoint, guard: Some(guard) });
        }
    }

    /// Updates an endpoint with a fact that a control instance reported.
    pub fn update_endpoint(&mut self, now: Millis, fact: &EndpointFact) -> FactUpdate {
        self.expire_tombstones(now);
        let known = self.endpoints.get(&fact.endpoint).map(|entry| &entry.fact);
        // Several control instances report the same facts; older or known ones must not change
        // anything.
        let version = |fact: &EndpointFact| (fact.incarnation, fact.sequence, fact.state);
        let update = match known {
            Some(known) if fact.incarnation > known.incarnation => {
                FactUpdate::Restart(known.address)
            }
            Some(known) if version(fact) <= version(known) => return FactUpdate::Stale,
            _ => FactUpdate::Newer,
        };
        if matches!(update, FactUpdate::Restart(_)) {
            self.bounds.forget(&fact.endpoint);
            self.limits.forget(&fact.endpoint);
        }
        if matches!(update, FactUpdate::Restart(_))
            && let Some(former) = self.endpoints.remove(&fact.endpoint)
        {
            self.former_versions.insert(former.fact.software, now);
        }
        let new_entry = || EndpointEntry {
            fact: fact.clone(),
            says_it_leaves: false,
            has_announced_end: false,
            gone_at: None,
            leaves_at: None,
            load: Load::default(),
            load_at: None,
            is_full: false,
            pace: None,
            heard_time_at: None,
            own_requests: 0,
            cold_until: Millis::ZERO,
            updated_at: now,
            said_at: now - fact.age,
        };
        let is_back = self.endpoints.get(&fact.endpoint).is_none_or(EndpointEntry::is_gone);
        let entry = self.endpoints.entry(fact.endpoint.clone()).or_insert_with(new_entry);
        let software = entry.fact.software.combine(&fact.software);
        entry.fact = EndpointFact { software, ..fact.clone() };
        entry.has_announced_end |=
            matches!(fact.state, EndpointState::Leaving | EndpointState::Gone);
        let said_at = now - fact.age;
        entry.said_at = entry.said_at.max(said_at);
        if fact.state == EndpointState::Gone {
            entry.gone_at.get_or_insert(said_at);
        }
        let leaves_at = fact.leaves_in.map(|time| said_at + time);
        entry.leaves_at = entry.leaves_at.into_iter().chain(leaves_at).min();
        if entry.says_it_leaves {
            entry.fact.state = entry.fact.state.max(EndpointState::Leaving);
        }
        entry.cold_until = fact.cold_for.map_or(Millis::ZERO, |time| now - fact.age + time);
        entry.updated_at = now;
        self.ready_versions = None;
        match fact.state {
            EndpointState::Gone | EndpointState::Silent => self.drop_from_router(now, fact),
            EndpointState::Ready | EndpointState::Leaving => {
                self.announce(now, &fact.endpoint);
                if is_back {
                    self.reset_restrictions(&fact.endpoint);
                    self.restore_pause(now, fact);
                }
            }
        }
        update
    }

    fn drop_from_router(&mut self, now: Millis, fact: &EndpointFact) {
        let (endpoint, incarnation) = (fact.endpoint.clone(), fact.incarnation);
        self.step(now, Event::Gone { endpoint, incarnation });
    }

    /// Applies the pause of an endpoint again, as the router starts without it.
    fn restore_pause(&mut self, now: Millis, fact: &EndpointFact) {
        let endpoint = fact.endpoint.clone();
        if let Some(span) = self.pauses.left(now, &endpoint, fact.incarnation) {
            self.step(now, Event::Paused { endpoint, span });
        }
    }

    /// Has the restrictions of an endpoint determined anew before the next call is placed, as the
    /// router starts without them.
    fn reset_restrictions(&mut self, endpoint: &Name) {
        self.limited.retain(|(name, _)| name != endpoint);
        self.rates.remove(endpoint);
        self.brittle.retain(|restricted| restricted.endpoint != *endpoint);
        self.guards.remove(endpoint);
        self.guarded_at = Millis::ZERO;
    }

    /// Returns the entry of the endpoint to which a call was sent, unless it has restarted since.
    fn entry_of(&mut self, place: &Placement) -> Option<&mut EndpointEntry> {
        self.endpoints
            .get_mut(&place.endpoint)
            .filter(|entry| entry.fact.incarnation == place.incarnation)
    }

    /// Records that an endpoint said with an answer that it leaves. Returns whether that is news.
    pub fn record_leaving(&mut self, now: Millis, place: &Placement) -> bool {
        let Some(entry) = self.entry_of(place) else { return false };
        (entry.says_it_leaves, entry.has_announced_end) = (true, true);
        if entry.fact.state != EndpointState::Ready {
            return false;
        }
        entry.fact.state = EndpointState::Leaving;
        self.ready_versions = None;
        self.announce(now, &place.endpoint);
        true
    }

    /// Marks an endpoint as gone because another one answers at its address.
    pub fn mark_gone(&mut self, now: Millis, place: &Placement) {
        let Some(entry) = self.entry_of(place) else { return };
        entry.fact.state = EndpointState::Gone;
        entry.updated_at = now;
        let fact = entry.fact.clone();
        self.ready_versions = None;
        self.drop_from_router(now, &fact);
    }

    /// Marks an earlier incarnation of an endpoint as gone because a later one is known, which may
    /// belong to another service.
    pub fn end_earlier(&mut self, now: Millis, endpoint: &Name, later: Incarnation) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else { return };
        if entry.fact.incarnation >= later {
            return;
        }
        // The later incarnation stands in the tombstone, so that no fact of the earlier one replaces it.
        entry.fact.incarnation = later;
        entry.fact.state = EndpointState::Gone;
        entry.own_requests = 0;
        entry.updated_at = now;
        let fact = entry.fact.clone();
        self.drop_from_router(now, &fact);
    }

    /// Removes endpoints that have been gone for [`TOMBSTONE_TTL`]. Until then they are kept, as
    /// another control instance may still report them as ready from an older heartbeat.
    fn expire_tombstones(&mut self, now: Millis) {
        self.endpoints
            .retain(|_, entry| !entry.is_gone() || now - entry.updated_at < TOMBSTONE_TTL);
        self.former_versions.retain(|_, ended_at| now - *ended_at < TOMBSTONE_TTL);
    }

    /// Records the load that an endpoint reported with an answer.
    pub fn record_load(&mut self, now: Millis, place: &Placement, running: u32, queued: u32) {
        let load = Load { running, queued, ..Load::default() };
        if let Some(entry) = self.entry_of(place).filter(|entry| !entry.is_gone()) {
            entry.load = load;
            entry.load_at = Some(now);
            entry.is_full = false;
            self.announce(now, &place.endpoint);
        }
    }

    /// Records how long work takes at an endpoint, in percent of the usual time, as it reported with
    /// an answer; none if it reported no pace that makes sense.
    pub fn record_pace(&mut self, now: Millis, place: &Placement, pace: Option<u32>) {
        let Some(pace) = pace.filter(|pace| is_valid_pace(*pace)) else { return };
        if let Some(entry) = self.entry_of(place).filter(|entry| !entry.is_gone()) {
            entry.pace = Some((pace, now));
            let endpoint = place.endpoint.clone();
            self.step(now, Event::PaceReported { endpoint, percent: pace, age: Millis::ZERO });
        }
    }

    /// Returns whether any endpoint reported a pace within the last 10 s.
    pub fn reports_pace(&self, now: Millis) -> bool {
        let paced = self.endpoints.values().filter(|entry| !entry.is_gone());
        paced.filter_map(|entry| entry.pace).any(|(_, at)| now - at < PACE_REPORT_TIME)
    }

    /// Returns the weights of the endpoints that have reported a pace.
    pub fn weights(&self, now: Millis) -> impl Iterator<Item = (&Name, EndpointWeights)> {
        self.router.performance(now)
    }

    /// Records the load that an endpoint reported to another entry instance.
    ///
    /// With many entry instances, each receives few answers from one endpoint. By those alone, busy
    /// and idle endpoints look alike, and calls queue while other engines are idle.
    pub fn record_remote_load(&mut self, now: Millis, load: &EndpointLoad) {
        let at = now - load.age;
        let entry = self.endpoints.get_mut(&load.endpoint);
        let entry =
            entry.filter(|entry| entry.fact.incarnation == load.incarnation && !entry.is_gone());
        let Some(entry) = entry else { return };
        if let Some(percent) = load.relative_time
            && entry.heard_time_at.is_none_or(|last| at > last)
        {
            entry.heard_time_at = Some(at);
            let endpoint = load.endpoint.clone();
            self.router.step(now, Event::TimeHeard { endpoint, percent }, &mut Vec::new());
        }
        if entry.load_at.is_some_and(|last| at <= last) {
            return;
        }
        entry.load = Load { running: load.running, queued: load.queued, ..Load::default() };
        entry.load_at = Some(at);
        entry.is_full = load.is_full;
        let pace = load.pace.filter(|pace| is_valid_pace(*pace));
        if let Some(pace) = pace {
            entry.pace = Some((pace, at));
        }
        if let Some(per_s) = load.request_limit {
            self.limits.record(&load.endpoint, (per_s > 0.0).then_some(per_s), at);
        }
        if load.rejection_bound.is_some() {
            self.bounds.record(&load.endpoint, load.rejection_bound, at);
        }
        self.announce(now, &load.endpoint);
        if let Some(percent) = pace {
            let (endpoint, age) = (load.endpoint.clone(), load.age);
            self.step(now, Event::PaceReported { endpoint, percent, age });
        }
        if load.is_full {
            let (endpoint, age) = (load.endpoint.clone(), load.age);
            self.step(now, Event::RejectedElsewhere { endpoint, age });
        }
    }

    /// Returns the loads that endpoints reported within the last `span`.
    pub fn recent_loads(&self, now: Millis, span: Millis) -> impl Iterator<Item = EndpointLoad> {
        self.endpoints.iter().filter_map(move |(endpoint, entry)| {
            let age = now - entry.load_at?;
            (age < span).then(|| EndpointLoad {
                endpoint: endpoint.clone(),
                incarnation: entry.fact.incarnation,
                running: entry.load.running,
                queued: entry.load.queued,
                is_full: entry.is_full,
                rejection_bound: self.bounds.named_by(now, endpoint),
                request_limit: self.limits.named_by(now, endpoint),
                // A pace of an earlier answer would be taken for as new as the load.
                pace: entry.pace.filter(|(_, at)| entry.load_at == Some(*at)).map(|(pace, _)| pace),
                relative_time: self
                    .router
                    .own_sample(endpoint)
                    .filter(|(_, at)| entry.load_at.is_some_and(|load_at| load_at <= *at))
                    .map(|(percent, _)| percent),
                age,
            })
        })
    }

    /// Records that an endpoint rejected an attempt because it is full, with the load that it
    /// reported, and removes the attempt from the endpoint.
    pub fn record_rejection(
        &mut self,
        now: Millis,
        place: &Placement,
        attempt: &Name,
        load: Option<Load>,
    ) {
        let Some(entry) = self.entry_of(place) else { return };
        entry.own_requests = entry.own_requests.saturating_sub(1);
        if let Some(load) = load {
            (entry.load, entry.load_at) = (load, Some(now));
        }
        entry.is_full = true;
        let (endpoint, request) = (place.endpoint.clone(), attempt.clone());
        self.step(now, Event::Rejected { endpoint, request, load });
    }

    /// Sets the addresses to which idle connections are kept. While endpoints report their pace, one of
    /// these is preferred among nearly equal ones.
    pub fn set_connected(&mut self, addresses: &Set<SocketAddr>) {
        let endpoints = &self.endpoints;
        self.router.set_connected(|name| {
            Some(endpoints.get(name).is_some_and(|e| addresses.contains(&e.fact.address)))
        });
        self.prefers_connected = true;
    }

    /// Chooses an endpoint for a call and counts the call there, or refuses it.
    pub fn place(&mut self, now: Millis, ask: &PlacementRequest) -> PlacementDecision {
        self.update_guards(now);
        if self.prefers_connected && !self.reports_pace(now) {
            self.prefers_connected = false;
            self.router.set_connected(|_| None);
        }
        let ask = self.routing_request(now, ask);
        match self.router.choose(now, &ask) {
            Choice::Endpoint(chosen) => {
                let Some(entry) = self.endpoints.get_mut(&chosen.endpoint) else {
                    return Self::no_endpoint();
                };
                entry.own_requests += 1;
                let place = Placement {
                    endpoint: chosen.endpoint.clone(),
                    incarnation: entry.fact.incarnation,
                    address: entry.fact.address,
                    software: entry.fact.software.clone(),
                    fresh_tokens: ask.prompt_tokens.saturating_sub(chosen.cached_tokens),
                    sent_at: now,
                    reason: chosen.why,
                };
                self.step(now, Event::Sent { endpoint: chosen.endpoint, ask });
                PlacementDecision::Endpoint(place)
            }
            Choice::Refuse(refusal) => {
                let view = self.router.view(now, &ask);
                if let Some(software) =
                    ask.software.filter(|_| refusal.reason == RefusalReason::Full)
                {
                    self.reserved.insert(software, now + RESERVATION_TIME);
                }
                PlacementDecision::Refused {
                    reason: refusal.reason,
                    retry_after: refusal.retry_after,
                    may_wait: match refusal.reason {
                        RefusalReason::Full => self.guards.values().any(|g| g.is_assigned),
                        RefusalReason::Paused => view.paused_for <= SHORT_PAUSE,
                        RefusalReason::NoEndpoint | RefusalReason::Deadline => false,
                    },
                    view,
                }
            }
        }
    }

    fn no_endpoint() -> PlacementDecision {
        const RETRY_AFTER: Millis = Millis(1000);
        PlacementDecision::Refused {
            reason: RefusalReason::NoEndpoint,
            retry_after: RETRY_AFTER,
            may_wait: false,
            view: PoolView::default(),
        }
    }

    /// Records that the first part of an answer was received.
    pub fn record_first_part(&mut self, now: Millis, place: &Placement, attempt: &Name) {
        if self.entry_of(place).is_none() {
            return;
        }
        if self.cfg.is_engine {
            self.meter.record_first_part(place.fresh_tokens, now - place.sent_at);
        }
        let (endpoint, request) = (place.endpoint.clone(), attempt.clone());
        self.step(now, Event::FirstToken { endpoint, request });
    }

    /// Returns the learned speed of the engines, once it is based on enough samples.
    pub fn learned_speed(&self) -> Option<EngineSpeed> {
        Some(self.meter.speed()).filter(|speed| speed.fits >= MIN_REPORTED_FITS)
    }

    /// Removes a finished attempt from its endpoint and records the outcome.
    pub fn finish_attempt(
        &mut self,
        now: Millis,
        place: &Placement,
        attempt: &Name,
        outcome: Outcome,
    ) {
        let Some(entry) = self.entry_of(place) else { return };
        entry.own_requests = entry.own_requests.saturating_sub(1);
        let (endpoint, request) = (place.endpoint.clone(), attempt.clone());
        self.step(now, Event::Ended { endpoint, request, tokens: 0, outcome });
    }

    /// Returns the newest known fact of each endpoint.
    pub fn facts(&self) -> impl Iterator<Item = &EndpointFact> {
        self.endpoints.values().map(|entry| &entry.fact)
    }

    /// Returns the number of requests from this entry instance in flight at the endpoints.
    pub fn running(&self) -> u32 {
        self.endpoints.values().map(|entry| entry.own_requests).sum()
    }

    /// Returns the number of endpoints that accept requests.
    pub fn ready_count(&self) -> usize {
        self.endpoints.values().filter(|k| k.fact.state == EndpointState::Ready).count()
    }

    /// Returns the ready endpoints at the address of another one, which has replaced them: it is ready, and
    /// started later. A control instance that hears of a replacement late still tells of the predecessor, and
    /// how late isn't known.
    pub fn replaced_by(&self, now: Millis, fact: &EndpointFact) -> Vec<(Name, Incarnation)> {
        if fact.state != EndpointState::Ready {
            return Vec::new();
        }
        let said_at = now - fact.age;
        let is_later = |entry: &EndpointEntry| {
            let (known, told) = (entry.fact.incarnation, fact.incarnation);
            let is_heard_later = entry.said_at + NEWS_DELAY < said_at;
            match known.cmp(&told) {
                _ if known.min(told) == Incarnation::default() => is_heard_later,
                Ordering::Less => true,
                // Some endpoints report a number of starts.
                Ordering::Equal => is_heard_later,
                Ordering::Greater => false,
            }
        };
        let is_replaced = |entry: &&EndpointEntry| {
            let known = &entry.fact;
            known.address == fact.address
                && known.endpoint != fact.endpoint
                && known.state == EndpointState::Ready
                && is_later(entry)
        };
        let replaced = self.endpoints.values().filter(is_replaced).map(|entry| &entry.fact);
        replaced.map(|known| (known.endpoint.clone(), known.incarnation)).collect()
    }

    /// Returns the newest known incarnation of an endpoint.
    pub fn incarnation(&self, endpoint: &Name) -> Option<Incarnation> {
        self.endpoints.get(endpoint).map(|known| known.fact.incarnation)
    }

    /// Returns whether a fact says that an incarnation of an endpoint that was silent is there.
    pub fn is_return(&self, fact: &EndpointFact) -> bool {
        let known = self.endpoints.get(&fact.endpoint).map(|known| &known.fact);
        let was_silent = known.is_some_and(|known| {
            known.state == EndpointState::Silent && known.incarnation == fact.incarnation
        });
        was_silent && fact.state < EndpointState::Silent
    }

    /// Returns whether the endpoint of a call has announced that it leaves or has ended: it completes its
    /// answers before it ends. One that fell silent meanwhile may have crashed.
    pub fn has_announced_end(&self, place: &Placement) -> bool {
        self.endpoints.get(&place.endpoint).is_some_and(|entry| {
            entry.fact.incarnation == place.incarnation
                && entry.fact.state != EndpointState::Silent
                && entry.has_announced_end
        })
    }

    /// Returns when the endpoint of a call will be gone, if it has said so.
    pub fn leaves_at(&self, place: &Placement) -> Option<Millis> {
        let entry = self.endpoints.get(&place.endpoint)?;
        entry.leaves_at.filter(|_| entry.fact.incarnation == place.incarnation)
    }

    /// Returns whether the endpoint of a call has announced its end after its answer ended at `ended_at`.
    pub fn has_confirmed_end(&self, place: &Placement, ended_at: Millis) -> bool {
        let gone_at = self.endpoints.get(&place.endpoint).and_then(|entry| entry.gone_at);
        self.has_announced_end(place) && gone_at.is_some_and(|at| at >= ended_at)
    }

    /// Returns whether an endpoint takes a request that it doesn't run. Those that have asked for a pause,
    /// named a limit or are brittle want as few as possible.
    pub fn may_ping(&self, now: Millis, endpoint: &Name, incarnation: Incarnation) -> bool {
        let is_limited = self.limits.named_by(now, endpoint).is_some_and(|per_s| per_s > 0.0);
        let is_brittle = self.bounds.bound_of(now, endpoint).is_some();
        !is_limited && !is_brittle && !self.is_paused(now, endpoint, incarnation)
    }

    /// Returns whether an endpoint is known to accept requests.
    pub fn is_ready(&self, endpoint: &Name) -> bool {
        self.endpoints.get(endpoint).is_some_and(|k| k.fact.state == EndpointState::Ready)
    }

    fn routing_request(&mut self, now: Millis, ask: &PlacementRequest) -> RouteRequest {
        self.reserved.retain(|_, until| now < *until);
        let reserved = match ask.software {
            Some(_) => Vec::new(),
            None => self.reserved.keys().cloned().collect(),
        };
        RouteRequest {
            software: ask.software.clone(),
            reserved,
            request: ask.attempt.clone(),
            target: Target::Service(self.cfg.service.clone()),
            blocks: ask.prompt.prefix_blocks(self.max_prefix_blocks()),
            prompt_tokens: ask.prompt.tokens,
            max_tokens: ask.prompt.max_output_tokens,
            priority: Priority::High,
            deadline: ask.deadline,
            exclude: ask.exclude.clone(),
            admitted: ask.admitted.clone(),
        }
    }

    /// Returns the number of blocks of a prompt that an endpoint can have in its cache.
    const fn max_prefix_blocks(&self) -> usize {
        match self.cfg.cache_tokens as usize / BLOCK_TOKENS {
            0 => MAX_BLOCKS,
            blocks if blocks > MAX_BLOCKS => MAX_BLOCKS,
            blocks => blocks,
        }
    }

    fn announce(&mut self, now: Millis, endpoint: &Name) {
        let Some(entry) = self.endpoints.get(endpoint) else { return };
        self.sequence += 1;
        let is_leaving = entry.fact.state == EndpointState::Leaving;
        let announcement = Announcement {
            name: endpoint.clone(),
            incarnation: entry.fact.incarnation,
            sequence: self.sequence,
            address: Name::default(),
            domain: entry.fact.domain.clone(),
            class: Name::default(),
            reclaimable: entry.fact.reclaimable,
            price: 0,
            serves: vec![Servable::Service { service: self.cfg.service.clone() }],
            role: Role::Mixed,
            slots: entry.fact.slots,
            prefill_tokens_per_s: 0,
            decode_ms: 0,
            cache_tokens: self.cfg.cache_tokens,
            load: Load { age: entry.load_at.map_or(Millis::ZERO, |at| now - at), ..entry.load },
            leaving: is_leaving.then(|| entry.fact.leaves_in.unwrap_or_default()),
            checks_fencing: false,
            software: entry.fact.software.clone(),
        };
        self.step(now, Event::Announced { announcement, age: Millis::ZERO });
    }

    fn step(&mut self, now: Millis, event: Event) {
        self.router.step(now, event, &mut Vec::new());
    }
}
