//! A small world in virtual time: entries, endpoints, claims and callers, with faults by seed.

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

const LENGTH: Millis = Millis(60_000);
const DEADLINE: Millis = Millis(90_000);

/// Which faults a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// Announced reclaims only, with one endpoint that stays.
    Reclaims,
    /// Everything that can go wrong.
    All,
}

/// One run of an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    pub flight: usize,
    pub same_run: bool,
    pub next: u32,
}

#[derive(Debug)]
struct Server {
    place: Placement,
    alive: bool,
    frozen: bool,
    leaving: Option<Millis>,
    stays: bool,
}

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    Whole,
    NotRun(ErrorCode, Option<Millis>),
    Failed(ErrorCode, Option<Millis>),
    PassedOn,
    Attached,
    Gone,
    EntryKilled,
}

/// One request as its caller sees it.
#[derive(Debug)]
pub struct Caller {
    pub spec: RequestSpec,
    pub notice: usize,
    pub tokens: Vec<u32>,
    pub end: Option<End>,
    pub entry: usize,
}

/// An attempt that an endpoint sends tokens for.
#[derive(Debug, Clone, Copy)]
struct Stream {
    flight: usize,
    epoch: Epoch,
    run: usize,
    server: usize,
}

#[derive(Debug)]
enum Due {
    Flight(usize, Event),
    Apply(usize, ClaimAsk, bool),
    Send(Stream),
    Notice(usize),
    Die(usize),
    Fault,
    Request,
}

pub struct World {
    pub callers: Vec<Caller>,
    pub runs: Vec<Run>,
    flights: Vec<Option<InFlightRequest>>,
    cfg: RequestCfg,
    faults: Faults,
    servers: Vec<Server>,
    claims: ClaimTable,
    quorum: bool,
    pace: u64,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    due: BTreeMap<u64, Due>,
    number: u64,
    rng: Rng,
}

impl World {
    pub fn new(cfg: RequestCfg, faults: Faults, seed: u64) -> Self {
        let mut world = Self {
            callers: Vec::new(),
            runs: Vec::new(),
            flights: Vec::new(),
            cfg,
            faults,
            servers: Vec::new(),
            claims: ClaimTable::default(),
            quorum: true,
            pace: [40, 400, 1500][seed as usize % 3],
            now: Millis::ZERO,
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            number: 0,
            rng: seeded(seed),
        };
        for i in 0..4 {
            world.add_server(i == 0 && faults == Faults::Reclaims);
        }
        for _ in 0..12 {
            let at = world.below(20_000);
            world.at(at, Due::Request);
        }
        for _ in 0..10 {
            let at = world.below(40_000);
            world.at(at, Due::Fault);
        }
        world
    }

    /// Runs until nothing is left to happen.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if let Some(due) = self.due.remove(&number) {
                self.happen(due);
            }
            if at > LENGTH + DEADLINE + DEADLINE {
                return;
            }
        }
    }

    fn below(&mut self, most: u64) -> Millis {
        Millis(self.rng.random_range(0..=most))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn broken(&mut self, percent: u32) -> bool {
        self.faults == Faults::All && self.chance(percent)
    }

    fn at(&mut self, after: Millis, due: Due) {
        self.number += 1;
        self.due.insert(self.number, due);
        self.queue.push(Reverse((self.now + after, self.number)));
    }

    fn add_server(&mut self, stays: bool) {
        let name: Name = format!("m{}", self.servers.len()).into();
        let incarnation = Incarnation(1);
        let place =
            Placement { endpoint: name.clone(), incarnation, address: name, cached_tokens: 0 };
        let server = Server { place, alive: true, frozen: false, leaving: None, stays };
        self.servers.push(server);
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Flight(flight, event) => self.step(flight, event),
            Due::Apply(flight, ask, lost) => self.apply(flight, &ask, lost),
            Due::Send(stream) => self.send(stream),
            Due::Notice(server) => self.tell_leaving(server),
            Due::Die(server) => self.die(server),
            Due::Fault => self.fault(),
            Due::Request => self.request(),
        }
    }

    /// A new request, or one that its caller sends again with the same key through another entry.
    fn request(&mut self) {
        let again = if self.chance(30) { self.resendable() } else { None };
        let notice = again.unwrap_or(self.callers.len());
        let number = self.callers.len();
        let entry = self.rng.random_range(0..3);
        let before = again.map(|first| self.callers[first].spec.clone());
        let idempotent = before.as_ref().map_or_else(|| self.chance(60), |s| s.is_idempotent);
        let keyed = before.is_some() || self.chance(60);
        let request: Name = format!("e{entry}-{number}").into();
        let owner = ClaimOwner {
            entry: format!("e{entry}").into(),
            incarnation: Incarnation(1),
            request: request.clone(),
        };
        let key = ClaimKey { account: "clerks".into(), key: format!("k{notice}").into() };
        let retention = DEADLINE * 3;
        let body = BodyHash("b".into());
        let claim = (keyed && !idempotent).then_some(ClaimSpec { key, body, owner, retention });
        let kind = if self.chance(80) { ServiceKind::Model } else { ServiceKind::Plain };
        let max_tokens = if kind == ServiceKind::Model { self.rng.random_range(1..60) } else { 0 };
        let spec = RequestSpec {
            request,
            kind: before.as_ref().map_or(kind, |s| s.kind),
            is_idempotent: idempotent,
            claim,
            is_keyed: keyed,
            deadline: self.now + DEADLINE,
            prompt_tokens: self.rng.random_range(1..4000),
            max_tokens: before.as_ref().map_or(max_tokens, |s| s.max_tokens),
        };
        let seed = self.rng.random();
        self.flights.push(Some(InFlightRequest::new(self.cfg, spec.clone(), seed)));
        self.callers.push(Caller { spec, notice, tokens: Vec::new(), end: None, entry });
        self.step(number, Event::Admitted);
    }

    fn resendable(&mut self) -> Option<usize> {
        let keyed: Vec<usize> = self
            .callers
            .iter()
            .enumerate()
            .filter(|(i, c)| c.spec.is_keyed && c.notice == *i)
            .map(|(i, _)| i)
            .collect();
        (!keyed.is_empty()).then(|| keyed[self.rng.random_range(0..keyed.len())])
    }

    fn step(&mut self, number: usize, event: Event) {
        let Some(flight) = &mut self.flights[number] else {
            return;
        };
        let index = match &event {
            Event::Token { index, .. } => *index,
            _ => 0,
        };
        let tick = event == Event::Tick;
        let mut actions = Vec::new();
        flight.step(self.now, event, &mut actions);
        let wake = flight.wake_at();
        let over = flight.is_finished();
        if !over && wake < Millis::MAX && (tick || !actions.is_empty()) {
            let after = wake.since(self.now).max(Millis(1));
            self.at(after, Due::Flight(number, Event::Tick));
        }
        for action in actions {
            self.act(number, index, action);
        }
    }

    fn act(&mut self, number: usize, index: u32, action: Action) {
        match action {
            Action::TakeClaim(ask) => {
                let lost = self.broken(20);
                let after = self.below(50);
                // The verdict of an ask that is lost on its way back is "unavailable" to the asker.
                if lost {
                    let verdict = Event::Claimed(ClaimVerdict::Unavailable);
                    self.at(Millis(60), Due::Flight(number, verdict));
                }
                self.at(after, Due::Apply(number, ask, lost));
            }
            Action::SettleClaim(ask) => {
                let after = self.below(100);
                self.at(after, Due::Apply(number, ask, true));
            }
            Action::Route { exclude, .. } => self.choose(number, &exclude),
            Action::Dispatch { epoch, placement, resume } => {
                self.dispatch(number, epoch, &placement, resume);
            }
            Action::Cancel { .. }
            | Action::ReleaseEndpoint { outcome: AttemptOutcome::Failed, .. } => {}
            Action::ForwardToken => self.callers[number].tokens.push(index),
            Action::Attach { .. } => self.end(number, End::Attached),
            Action::Finish => self.end(number, End::Whole),
            Action::ForwardError => self.end(number, End::PassedOn),
            Action::Refuse(refusal) => {
                self.end(number, End::NotRun(refusal.code(), refusal.retry_after()));
            }
            Action::Fail(failed) => self.end(number, End::Failed(failed.code, failed.retry_after)),
            Action::Abandon => self.end(number, End::Gone),
            Action::ReleaseEndpoint { .. } | Action::Drop(_) | Action::CountRecomputed { .. } => {}
        }
    }

    fn end(&mut self, number: usize, end: End) {
        if end == End::Whole {
            let spec = &self.callers[number].spec;
            if let Some(claim) = &spec.claim {
                let outcome = ClaimOutcome::Answered { status: 200, body: None };
                let ask = claim.finish_ask(outcome);
                self.at(Millis(5), Due::Apply(number, ask, true));
            }
        }
        self.callers[number].end = Some(end);
    }

    fn apply(&mut self, number: usize, ask: &ClaimAsk, unheard: bool) {
        let settles = !matches!(ask, ClaimAsk::Take { .. });
        if !self.quorum {
            if settles {
                self.at(Millis(500), Due::Apply(number, ask.clone(), true));
            } else if !unheard {
                let verdict = Event::Claimed(ClaimVerdict::Unavailable);
                self.at(Millis(5), Due::Flight(number, verdict));
            }
            return;
        }
        // The entry that restarts or is killed settles nothing.
        if settles && self.flights[number].is_none() {
            return;
        }
        let verdict = self.claims.apply(self.now, ask);
        if self.broken(10) {
            let again = self.below(2000);
            self.at(again, Due::Apply(number, ask.clone(), true));
        }
        if !unheard {
            self.at(Millis(5), Due::Flight(number, Event::Claimed(verdict)));
        }
    }

    fn choose(&mut self, number: usize, exclude: &[Name]) {
        let fits: Vec<Placement> = self
            .servers
            .iter()
            .filter(|s| s.leaving.is_none() && !exclude.contains(&s.place.endpoint))
            .map(|s| s.place.clone())
            .collect();
        let event = if fits.is_empty() || self.broken(3) {
            Event::NoRoute { deadline: false, retry_after: Millis(1000) }
        } else {
            Event::Routed(fits[self.rng.random_range(0..fits.len())].clone())
        };
        self.step(number, event);
    }

    fn dispatch(
        &mut self,
        number: usize,
        epoch: Epoch,
        place: &Placement,
        resume: Option<ResumePoint>,
    ) {
        let server = self.servers.iter().position(|s| s.place.endpoint == place.endpoint);
        let server = server.expect("it was chosen");
        let after = self.below(30);
        if !self.servers[server].alive || self.broken(5) {
            self.at(after, Due::Flight(number, Event::ConnectFailed { epoch }));
            return;
        }
        let same_run = resume.as_ref().is_some_and(|r| r.is_same_run);
        let source = resume.as_ref().and_then(|r| r.kv_source.as_ref());
        let has_source = source.is_some_and(|source| {
            self.servers.iter().any(|s| s.alive && s.place.endpoint == source.endpoint)
        });
        if (same_run && !has_source) || self.broken(4) {
            let status = if same_run { 409 } else { 503 };
            if !same_run {
                self.runs.push(Run { flight: number, same_run, next: 0 });
            }
            self.at(after, Due::Flight(number, Event::Rejected { epoch, status }));
            return;
        }
        let next = resume.map_or(0, |r| r.next_index);
        self.runs.push(Run { flight: number, same_run, next });
        let run = self.runs.len() - 1;
        self.at(after, Due::Send(Stream { flight: number, epoch, run, server }));
    }

    fn send(&mut self, stream: Stream) {
        let Stream { flight: number, epoch, run, server } = stream;
        let after = self.below(self.pace);
        if !self.servers[server].alive || self.broken(1) {
            self.at(after, Due::Flight(number, Event::StreamCut { epoch }));
            return;
        }
        if self.servers[server].frozen {
            self.at(Millis(1000), Due::Send(stream));
            return;
        }
        let next = self.runs[run].next;
        let tokens = Some(self.callers[number].spec.max_tokens);
        if next >= self.callers[number].spec.max_tokens {
            self.at(after, Due::Flight(number, Event::Done { epoch, tokens }));
            return;
        }
        let event = Event::Token { epoch, index: next };
        if self.broken(1) {
            self.at(after, Due::Flight(number, event.clone()));
        }
        self.runs[run].next += if self.broken(1) { 2 } else { 1 };
        self.step(number, event);
        self.at(after, Due::Send(stream));
    }

    fn fault(&mut self) {
        let server = self.rng.random_range(0..self.servers.len());
        match self.rng.random_range(0..if self.faults == Faults::All { 8 } else { 2 }) {
            0 => self.reclaim(server),
            1 => (0..self.servers.len()).for_each(|s| {
                if s % 2 == server % 2 {
                    self.reclaim(s);
                }
            }),
            2 => self.die(server),
            3 => self.servers[server].frozen = true,
            4 => self.servers[server].frozen = false,
            5 => self.quorum = !self.quorum,
            6 => self.kill_or_hand_off(),
            _ => self.caller_leaves(),
        }
        if self.chance(60) {
            self.add_server(false);
        }
    }

    fn reclaim(&mut self, server: usize) {
        if self.servers[server].stays || self.servers[server].leaving.is_some() {
            return;
        }
        let left = self.below(30_000);
        self.servers[server].leaving = Some(self.now + left);
        let lies = self.broken(30);
        let dies = if lies { self.below(left.0) } else { left };
        self.at(Millis::ZERO, Due::Notice(server));
        self.at(dies, Due::Die(server));
    }

    fn tell_leaving(&mut self, server: usize) {
        let Some(dies) = self.servers[server].leaving.filter(|_| self.servers[server].alive) else {
            return;
        };
        let place = self.servers[server].place.clone();
        for flight in 0..self.flights.len() {
            let event = Event::EndpointLeaving {
                endpoint: place.endpoint.clone(),
                incarnation: place.incarnation,
                time_left: dies.since(self.now),
            };
            self.step(flight, event);
        }
        self.at(Millis(1000), Due::Notice(server));
    }

    fn die(&mut self, server: usize) {
        let server = &mut self.servers[server];
        server.alive &= server.stays;
        if !server.stays {
            server.leaving.get_or_insert(self.now);
        }
    }

    /// An entry instance is killed, or hands all it has in flight to another one.
    fn kill_or_hand_off(&mut self) {
        let entry = self.rng.random_range(0..3);
        let hands_off = self.chance(50);
        for number in 0..self.flights.len() {
            if self.callers[number].entry != entry || self.callers[number].end.is_some() {
                continue;
            }
            let Some(flight) = self.flights[number].take() else {
                continue;
            };
            if hands_off && flight.may_have_sent() && flight.spec().kind == ServiceKind::Model {
                let (next, from) = (flight.next_index(), flight.placement().cloned());
                let spec = flight.spec().clone();
                let seed = self.rng.random();
                self.flights[number] =
                    Some(InFlightRequest::from_hand_off(self.cfg, spec, next, seed));
                self.callers[number].entry = (entry + 1) % 3;
                self.step(number, Event::TakenOver { from });
            } else {
                self.callers[number].end = Some(End::EntryKilled);
            }
        }
    }

    fn caller_leaves(&mut self) {
        if !self.callers.is_empty() {
            let number = self.rng.random_range(0..self.callers.len());
            self.step(number, Event::CallerDisconnected);
        }
    }
}
