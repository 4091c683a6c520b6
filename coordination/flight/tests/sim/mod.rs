//! A simulation in virtual time of entry instances, endpoints, claims and callers, with faults
//! chosen by seed.

pub mod check;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::Rng as _;
use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Name};
use sill_flight::flight::{AttemptOutcome, ClaimSpec, Epoch, ResumePoint, ServiceKind};
use sill_flight::{Action, ClaimTable, Event, InFlightRequest, Placement, RequestCfg, RequestSpec};
use sill_wire::claim::{BodyHash, ClaimAsk, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict};
use sill_wire::{ErrorCode, Incarnation};

/// A run stops two request timeouts after this time.
const RUN_LENGTH: Millis = Millis(60_000);
const REQUEST_TIMEOUT: Millis = Millis(90_000);

/// Which faults a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// Announced reclaims only; one endpoint is never reclaimed.
    ReclaimsOnly,
    /// All faults that the simulation has.
    All,
}

/// One run of a request at an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: usize,
    pub is_same_run: bool,
    pub next: u32,
}

#[derive(Debug)]
struct SimEndpoint {
    placement: Placement,
    is_alive: bool,
    is_frozen: bool,
    dies_at: Option<Millis>,
    is_permanent: bool,
}

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    Complete,
    Refused(ErrorCode, Option<Millis>),
    Failed(ErrorCode, Option<Millis>),
    ErrorForwarded,
    Attached,
    Abandoned,
    EntryKilled,
}

/// One request as seen by its caller.
#[derive(Debug)]
pub struct Caller {
    pub spec: RequestSpec,
    /// Index of the first request with the same key; the request's own index if it is no resend.
    pub first_send: usize,
    pub tokens: Vec<u32>,
    pub end: Option<RequestEnd>,
    pub entry: usize,
}

/// An attempt for which an endpoint sends tokens.
#[derive(Debug, Clone, Copy)]
struct Stream {
    request: usize,
    epoch: Epoch,
    run: usize,
    endpoint: usize,
}

#[derive(Debug)]
enum SimEvent {
    Step(usize, Event),
    ApplyAsk(usize, ClaimAsk, bool),
    SendToken(Stream),
    NotifyLeaving(usize),
    KillEndpoint(usize),
    InjectFault,
    StartRequest,
}

pub struct Simulation {
    pub callers: Vec<Caller>,
    pub runs: Vec<Run>,
    requests: Vec<Option<InFlightRequest>>,
    cfg: RequestCfg,
    faults: Faults,
    endpoints: Vec<SimEndpoint>,
    claims: ClaimTable,
    has_quorum: bool,
    max_token_delay: u64,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    last_event: u64,
    rng: Rng,
}

impl Simulation {
    pub fn new(cfg: RequestCfg, faults: Faults, seed: u64) -> Self {
        let mut sim = Self {
            callers: Vec::new(),
            runs: Vec::new(),
            requests: Vec::new(),
            cfg,
            faults,
            endpoints: Vec::new(),
            claims: ClaimTable::default(),
            has_quorum: true,
            max_token_delay: [40, 400, 1500][seed as usize % 3],
            now: Millis::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            rng: seeded(seed),
        };
        for i in 0..4 {
            sim.add_endpoint(i == 0 && faults == Faults::ReclaimsOnly);
        }
        for _ in 0..12 {
            let at = sim.random_millis(20_000);
            sim.schedule(at, SimEvent::StartRequest);
        }
        for _ in 0..10 {
            let at = sim.random_millis(40_000);
            sim.schedule(at, SimEvent::InjectFault);
        }
        sim
    }

    /// Runs until no event is left or the time is over.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
            if at > RUN_LENGTH + REQUEST_TIMEOUT + REQUEST_TIMEOUT {
                return;
            }
        }
    }

    fn random_millis(&mut self, max: u64) -> Millis {
        Millis(self.rng.random_range(0..=max))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn fault_occurs(&mut self, percent: u32) -> bool {
        self.faults == Faults::All && self.chance(percent)
    }

    fn schedule(&mut self, after: Millis, event: SimEvent) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((self.now + after, self.last_event)));
    }

    fn add_endpoint(&mut self, is_permanent: bool) {
        let name: Name = format!("m{}", self.endpoints.len()).into();
        let incarnation = Incarnation(1);
        let placement = Placement {
            endpoint: name.clone(),
            incarnation,
            address: name,
            cached_tokens: 0,
            software: Default::default(),
        };
        let endpoint = SimEndpoint {
            placement,
            is_alive: true,
            is_frozen: false,
            dies_at: None,
            is_permanent,
        };
        self.endpoints.push(endpoint);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Step(number, event) => self.step(number, event),
            SimEvent::ApplyAsk(number, ask, is_verdict_lost) => {
                self.apply(number, &ask, is_verdict_lost)
            }
            SimEvent::SendToken(stream) => self.send_token(stream),
            SimEvent::NotifyLeaving(endpoint) => self.notify_leaving(endpoint),
            SimEvent::KillEndpoint(endpoint) => self.kill_endpoint(endpoint),
            SimEvent::InjectFault => self.inject_fault(),
            SimEvent::StartRequest => self.start_request(),
        }
    }

    /// Sends a new request, or resends one with the same key through any entry instance.
    fn start_request(&mut self) {
        let resend_of = if self.chance(30) { self.pick_resendable() } else { None };
        let first_send = resend_of.unwrap_or(self.callers.len());
        let number = self.callers.len();
        let entry = self.rng.random_range(0..3);
        let first_spec = resend_of.map(|first| self.callers[first].spec.clone());
        let is_idempotent =
            first_spec.as_ref().map_or_else(|| self.chance(60), |s| s.is_idempotent);
        let is_keyed = first_spec.is_some() || self.chance(60);
        let request: Name = format!("e{entry}-{number}").into();
        let owner = ClaimOwner {
            entry: format!("e{entry}").into(),
            incarnation: Incarnation(1),
            request: request.clone(),
        };
        let key = ClaimKey { account: "clerks".into(), key: format!("k{first_send}").into() };
        let retention = REQUEST_TIMEOUT * 3;
        let body = BodyHash("b".into());
        let claim =
            (is_keyed && !is_idempotent).then_some(ClaimSpec { key, body, owner, retention });
        let kind = if self.chance(80) { ServiceKind::Model } else { ServiceKind::Plain };
        let max_tokens = if kind == ServiceKind::Model { self.rng.random_range(1..60) } else { 0 };
        let spec = RequestSpec {
            request,
            kind: first_spec.as_ref().map_or(kind, |s| s.kind),
            is_idempotent,
            claim,
            is_keyed,
            deadline: self.now + REQUEST_TIMEOUT,
            prompt_tokens: self.rng.random_range(1..4000),
            max_tokens: first_spec.as_ref().map_or(max_tokens, |s| s.max_tokens),
        };
        let seed = self.rng.random();
        self.requests.push(Some(InFlightRequest::new(self.cfg, spec.clone(), seed)));
        self.callers.push(Caller { spec, first_send, tokens: Vec::new(), end: None, entry });
        self.step(number, Event::Admitted);
    }

    fn pick_resendable(&mut self) -> Option<usize> {
        let keyed: Vec<usize> = self
            .callers
            .iter()
            .enumerate()
            .filter(|(i, c)| c.spec.is_keyed && c.first_send == *i)
            .map(|(i, _)| i)
            .collect();
        (!keyed.is_empty()).then(|| keyed[self.rng.random_range(0..keyed.len())])
    }

    fn step(&mut self, number: usize, event: Event) {
        let Some(request) = &mut self.requests[number] else {
            return;
        };
        let index = match &event {
            Event::Token { index, .. } => *index,
            _ => 0,
        };
        let is_tick = event == Event::Tick;
        let mut actions = Vec::new();
        request.step(self.now, event, &mut actions);
        let wake = request.wake_at();
        let is_finished = request.is_finished();
        if !is_finished && wake < Millis::MAX && (is_tick || !actions.is_empty()) {
            let after = wake.since(self.now).max(Millis(1));
            self.schedule(after, SimEvent::Step(number, Event::Tick));
        }
        for action in actions {
            self.execute(number, index, action);
        }
    }

    fn execute(&mut self, number: usize, index: u32, action: Action) {
        match action {
            Action::TakeClaim(ask) => {
                let is_verdict_lost = self.fault_occurs(20);
                let after = self.random_millis(50);
                // If the verdict is lost, the entry instance treats the claim as unavailable.
                if is_verdict_lost {
                    let verdict = Event::Claimed(ClaimVerdict::Unavailable);
                    self.schedule(Millis(60), SimEvent::Step(number, verdict));
                }
                self.schedule(after, SimEvent::ApplyAsk(number, ask, is_verdict_lost));
            }
            Action::SettleClaim(ask) => {
                let after = self.random_millis(100);
                self.schedule(after, SimEvent::ApplyAsk(number, ask, true));
            }
            Action::Route { exclude, .. } => self.route(number, &exclude),
            Action::Dispatch { epoch, placement, resume } => {
                self.dispatch(number, epoch, &placement, resume);
            }
            Action::Cancel { .. }
            | Action::ReleaseEndpoint { outcome: AttemptOutcome::Failed, .. } => {}
            Action::ForwardToken => self.callers[number].tokens.push(index),
            Action::Attach { .. } => self.finish(number, RequestEnd::Attached),
            Action::Finish => self.finish(number, RequestEnd::Complete),
            Action::ForwardError => self.finish(number, RequestEnd::ErrorForwarded),
            Action::Refuse(refusal) => {
                self.finish(number, RequestEnd::Refused(refusal.code(), refusal.retry_after()));
            }
            Action::Fail(failed) => {
                self.finish(number, RequestEnd::Failed(failed.code, failed.retry_after))
            }
            Action::Abandon => self.finish(number, RequestEnd::Abandoned),
            Action::ReleaseEndpoint { .. } | Action::Drop(_) | Action::CountRecomputed { .. } => {}
        }
    }

    fn finish(&mut self, number: usize, end: RequestEnd) {
        if end == RequestEnd::Complete {
            let spec = &self.callers[number].spec;
            if let Some(claim) = &spec.claim {
                let outcome = ClaimOutcome::Answered { status: 200, body: None };
                let ask = claim.finish_ask(outcome);
                self.schedule(Millis(5), SimEvent::ApplyAsk(number, ask, true));
            }
        }
        self.callers[number].end = Some(end);
    }

    fn apply(&mut self, number: usize, ask: &ClaimAsk, is_verdict_lost: bool) {
        let is_settlement = !matches!(ask, ClaimAsk::Take { .. });
        if !self.has_quorum {
            if is_settlement {
                self.schedule(Millis(500), SimEvent::ApplyAsk(number, ask.clone(), true));
            } else if !is_verdict_lost {
                let verdict = Event::Claimed(ClaimVerdict::Unavailable);
                self.schedule(Millis(5), SimEvent::Step(number, verdict));
            }
            return;
        }
        // A killed entry instance settles no claims.
        if is_settlement && self.requests[number].is_none() {
            return;
        }
        let verdict = self.claims.apply(self.now, ask);
        if self.fault_occurs(10) {
            let after = self.random_millis(2000);
            self.schedule(after, SimEvent::ApplyAsk(number, ask.clone(), true));
        }
        if !is_verdict_lost {
            self.schedule(Millis(5), SimEvent::Step(number, Event::Claimed(verdict)));
        }
    }

    fn route(&mut self, number: usize, exclude: &[Name]) {
        let candidates: Vec<Placement> = self
            .endpoints
            .iter()
            .filter(|s| s.dies_at.is_none() && !exclude.contains(&s.placement.endpoint))
            .map(|s| s.placement.clone())
            .collect();
        let event = if candidates.is_empty() || self.fault_occurs(3) {
            Event::NoRoute { deadline: false, retry_after: Millis(1000) }
        } else {
            Event::Routed(candidates[self.rng.random_range(0..candidates.len())].clone())
        };
        self.step(number, event);
    }

    fn dispatch(
        &mut self,
        number: usize,
        epoch: Epoch,
        placement: &Placement,
        resume: Option<ResumePoint>,
    ) {
        let endpoint =
            self.endpoints.iter().position(|s| s.placement.endpoint == placement.endpoint);
        let endpoint = endpoint.expect("the router returned an endpoint that does not exist");
        let after = self.random_millis(30);
        if !self.endpoints[endpoint].is_alive || self.fault_occurs(5) {
            self.schedule(after, SimEvent::Step(number, Event::ConnectFailed { epoch }));
            return;
        }
        let is_same_run = resume.as_ref().is_some_and(|r| r.is_same_run);
        let source = resume.as_ref().and_then(|r| r.kv_source.as_ref());
        let has_source = source.is_some_and(|source| {
            self.endpoints.iter().any(|s| s.is_alive && s.placement.endpoint == source.endpoint)
        });
        if (is_same_run && !has_source) || self.fault_occurs(4) {
            let status = if is_same_run { 409 } else { 503 };
            if !is_same_run {
                self.runs.push(Run { request: number, is_same_run, next: 0 });
            }
            self.schedule(after, SimEvent::Step(number, Event::Rejected { epoch, status }));
            return;
        }
        let next = resume.map_or(0, |r| r.next_index);
        self.runs.push(Run { request: number, is_same_run, next });
        let run = self.runs.len() - 1;
        self.schedule(after, SimEvent::SendToken(Stream { request: number, epoch, run, endpoint }));
    }

    fn send_token(&mut self, stream: Stream) {
        let Stream { request: number, epoch, run, endpoint } = stream;
        let after = self.random_millis(self.max_token_delay);
        if !self.endpoints[endpoint].is_alive || self.fault_occurs(1) {
            self.schedule(after, SimEvent::Step(number, Event::StreamCut { epoch }));
            return;
        }
        if self.endpoints[endpoint].is_frozen {
            self.schedule(Millis(1000), SimEvent::SendToken(stream));
            return;
        }
        let next = self.runs[run].next;
        let tokens = Some(self.callers[number].spec.max_tokens);
        if next >= self.callers[number].spec.max_tokens {
            self.schedule(after, SimEvent::Step(number, Event::Done { epoch, tokens }));
            return;
        }
        let event = Event::Token { epoch, index: next };
        if self.fault_occurs(1) {
            self.schedule(after, SimEvent::Step(number, event.clone()));
        }
        self.runs[run].next += if self.fault_occurs(1) { 2 } else { 1 };
        self.step(number, event);
        self.schedule(after, SimEvent::SendToken(stream));
    }

    fn inject_fault(&mut self) {
        let endpoint = self.rng.random_range(0..self.endpoints.len());
        match self.rng.random_range(0..if self.faults == Faults::All { 8 } else { 2 }) {
            0 => self.reclaim(endpoint),
            1 => (0..self.endpoints.len()).for_each(|s| {
                if s % 2 == endpoint % 2 {
                    self.reclaim(s);
                }
            }),
            2 => self.kill_endpoint(endpoint),
            3 => self.endpoints[endpoint].is_frozen = true,
            4 => self.endpoints[endpoint].is_frozen = false,
            5 => self.has_quorum = !self.has_quorum,
            6 => self.kill_or_hand_off(),
            _ => self.disconnect_caller(),
        }
        if self.chance(60) {
            self.add_endpoint(false);
        }
    }

    fn reclaim(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].is_permanent || self.endpoints[endpoint].dies_at.is_some() {
            return;
        }
        let time_left = self.random_millis(30_000);
        self.endpoints[endpoint].dies_at = Some(self.now + time_left);
        let is_early = self.fault_occurs(30);
        let dies_in = if is_early { self.random_millis(time_left.0) } else { time_left };
        self.schedule(Millis::ZERO, SimEvent::NotifyLeaving(endpoint));
        self.schedule(dies_in, SimEvent::KillEndpoint(endpoint));
    }

    fn notify_leaving(&mut self, endpoint: usize) {
        let Some(dies_at) =
            self.endpoints[endpoint].dies_at.filter(|_| self.endpoints[endpoint].is_alive)
        else {
            return;
        };
        let placement = self.endpoints[endpoint].placement.clone();
        for number in 0..self.requests.len() {
            let event = Event::EndpointLeaving {
                endpoint: placement.endpoint.clone(),
                incarnation: placement.incarnation,
                time_left: dies_at.since(self.now),
            };
            self.step(number, event);
        }
        self.schedule(Millis(1000), SimEvent::NotifyLeaving(endpoint));
    }

    fn kill_endpoint(&mut self, endpoint: usize) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.is_alive &= endpoint.is_permanent;
        if !endpoint.is_permanent {
            endpoint.dies_at.get_or_insert(self.now);
        }
    }

    /// Kills an entry instance, or makes it hand its requests in flight over to another one.
    fn kill_or_hand_off(&mut self) {
        let entry = self.rng.random_range(0..3);
        let can_hand_off = self.chance(50);
        for number in 0..self.requests.len() {
            if self.callers[number].entry != entry || self.callers[number].end.is_some() {
                continue;
            }
            let Some(request) = self.requests[number].take() else {
                continue;
            };
            if can_hand_off && request.may_have_sent() && request.spec().kind == ServiceKind::Model
            {
                let (next, from) = (request.next_index(), request.placement().cloned());
                let spec = request.spec().clone();
                let seed = self.rng.random();
                self.requests[number] =
                    Some(InFlightRequest::from_hand_off(self.cfg, spec, next, seed));
                self.callers[number].entry = (entry + 1) % 3;
                self.step(number, Event::TakenOver { from });
            } else {
                self.callers[number].end = Some(RequestEnd::EntryKilled);
            }
        }
    }

    fn disconnect_caller(&mut self) {
        if !self.callers.is_empty() {
            let number = self.rng.random_range(0..self.callers.len());
            self.step(number, Event::CallerDisconnected);
        }
    }
}
