//! A system in virtual time whose endpoints crash under prompts with certain parts, or by themselves.

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Map, Millis, Name};
use sill_dispatch::CrashLog;
use sill_wire::{EndpointCrash, Incarnation, PartId, RequestKey, SharedParts};

/// Step of the simulation.
const STEP: Millis = Millis(10);

/// Interval at which entry instances poll a control instance.
const POLL_INTERVAL: u64 = 250;

/// Time from a crash until the entry instances that had requests there are sure of it.
const CONFIRM_TIME: Millis = Millis(220);

/// How long an answer is written until it shows that its prompt does not crash the endpoint.
const PROVEN_AFTER: Millis = Millis(1000);

/// Requests that an endpoint holds at a time.
const SLOTS: usize = 12;

/// Attempts at a call.
const MAX_ATTEMPTS: u32 = 2;

/// A kind of calls.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Calls per second over all entry instances.
    pub per_s: f64,
    /// When the first call is made.
    pub from: Millis,
    /// Shared parts of the prompts. `*` at the end of one stands for a number, one of several.
    pub parts: &'static [&'static str],
    /// Time from the first event to the last.
    pub duration: Millis,
    /// From when on, and until when, endpoints crash as they begin to answer; none if they do not.
    pub crashes: Option<(Millis, Millis)>,
}

/// Endpoints that crash by themselves.
#[derive(Debug, Clone, Copy)]
pub struct OwnCrashes {
    pub from: Millis,
    pub interval: Millis,
    /// How many crash at once.
    pub count: usize,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    pub entries: usize,
    pub endpoints: usize,
    pub kinds: Vec<Kind>,
    pub own_crashes: Option<OwnCrashes>,
    /// Interval at which an entry instance is killed and starts again.
    pub kill_interval: Option<Millis>,
    /// When the control instance answers no polls.
    pub control_away: Option<(Millis, Millis)>,
    /// How long an endpoint is down after a crash.
    pub down_time: Millis,
    pub end: Millis,
    pub seed: u64,
}

/// What happened.
#[derive(Debug, Default)]
pub struct Record {
    /// When endpoints crashed under a kind of calls, by its index.
    pub crashes: Vec<(Millis, usize)>,
    /// When calls of a kind were sent to endpoints, by its index.
    pub sends: Vec<(Millis, usize)>,
    /// First attempts of a kind, and whether the answer began.
    pub calls: Vec<(Millis, usize, bool)>,
    /// Calls that were refused because of their parts, by kind.
    pub refused: Vec<(Millis, usize)>,
}

impl Record {
    /// Returns when the fifth endpoint crashed under a kind of calls.
    pub fn fifth_crash(&self, kind: usize) -> Option<Millis> {
        self.crashes.iter().filter(|(_, of)| *of == kind).nth(4).map(|(at, _)| *at)
    }

    /// Returns the number of sends of a kind from `from` on.
    pub fn sends_from(&self, kind: usize, from: Millis) -> usize {
        self.sends.iter().filter(|(at, of)| *of == kind && *at >= from).count()
    }

    /// Returns the number of first attempts of a kind that began, and of all, from `from` on.
    pub fn begun_from(&self, kind: usize, from: Millis) -> (usize, usize) {
        let calls = self.calls.iter().filter(|(at, of, _)| *of == kind && *at >= from);
        (calls.clone().filter(|(.., begun)| *begun).count(), calls.count())
    }
}

struct Run {
    kind: usize,
    entry: usize,
    /// The life of the entry instance that sent it.
    life: u32,
    call: usize,
    parts: SharedParts,
    attempt: u32,
    begins_at: Millis,
    ends_at: Millis,
    is_proven: bool,
}

struct Endpoint {
    runs: Vec<Run>,
    incarnation: u64,
    up_at: Millis,
}

struct Entry {
    log: CrashLog,
    life: u32,
    started_at: Millis,
    sent: u64,
    received: u64,
    poll_at: Millis,
}

/// A crash that an entry instance will be sure of.
struct Pending {
    at: Millis,
    crashed_at: Millis,
    entry: usize,
    life: u32,
    endpoint: usize,
    incarnation: u64,
    prompts: Vec<SharedParts>,
}

struct World {
    plan: Plan,
    rng: Rng,
    now: Millis,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    control: CrashLog,
    pending: Vec<Pending>,
    record: Record,
    call_index: Vec<usize>,
}

/// Plays a plan.
pub fn play(plan: &Plan) -> Record {
    let mut rng = random::seeded(plan.seed);
    let entry = |i| Entry {
        log: CrashLog::default(),
        life: 0,
        started_at: Millis::ZERO,
        sent: 0,
        received: 0,
        poll_at: Millis(i as u64 * POLL_INTERVAL / plan.entries as u64),
    };
    let endpoint = |_| Endpoint { runs: Vec::new(), incarnation: 1, up_at: Millis::ZERO };
    let mut world = World {
        entries: (0..plan.entries).map(entry).collect(),
        endpoints: (0..plan.endpoints).map(endpoint).collect(),
        rng: random::seeded(rng.random()),
        plan: plan.clone(),
        now: Millis::ZERO,
        control: CrashLog::default(),
        pending: Vec::new(),
        record: Record::default(),
        call_index: Vec::new(),
    };
    while world.now < plan.end {
        world.step();
        world.now = world.now + STEP;
    }
    world.record
}

impl World {
    fn step(&mut self) {
        self.kill();
        self.crash_by_themselves();
        self.advance_runs();
        self.confirm();
        self.poll();
        for kind in 0..self.plan.kinds.len() {
            let Kind { per_s, from, .. } = self.plan.kinds[kind];
            let expected = per_s * STEP.as_secs_f64();
            if self.now >= from && self.rng.random::<f64>() < expected {
                self.call(kind);
            }
        }
    }

    /// Returns the time on the clock of an entry instance, which begins with its process.
    fn clock(&self, entry: usize) -> Millis {
        self.now - self.entries[entry].started_at
    }

    fn kill(&mut self) {
        let Some(interval) = self.plan.kill_interval else { return };
        if !self.now.0.is_multiple_of(interval.0) {
            return;
        }
        let i = self.rng.random_range(0..self.entries.len());
        let (life, poll_at) = (self.entries[i].life + 1, self.now);
        let log = CrashLog::default();
        self.entries[i] = Entry { log, life, started_at: self.now, sent: 0, received: 0, poll_at };
    }

    fn crash_by_themselves(&mut self) {
        let Some(own) = self.plan.own_crashes else { return };
        if self.now < own.from || !(self.now - own.from).0.is_multiple_of(own.interval.0) {
            return;
        }
        let first = self.rng.random_range(0..self.endpoints.len());
        for i in 0..own.count {
            let endpoint = (first + i) % self.endpoints.len();
            if self.endpoints[endpoint].up_at <= self.now {
                self.crash(endpoint);
            }
        }
    }

    fn advance_runs(&mut self) {
        for i in 0..self.endpoints.len() {
            let now = self.now;
            let is_deadly = |run: &Run, kinds: &[Kind]| {
                let span = kinds[run.kind].crashes;
                now >= run.begins_at
                    && span.is_some_and(|(from, until)| (from..until).contains(&now))
            };
            let deadly = self.endpoints[i].runs.iter().find(|run| is_deadly(run, &self.plan.kinds));
            if let Some(kind) = deadly.map(|run| run.kind) {
                self.record.crashes.push((now, kind));
                self.crash(i);
                continue;
            }
            let mut answered = Vec::new();
            for run in &mut self.endpoints[i].runs {
                if now >= run.begins_at && run.attempt == 0 {
                    self.record.calls[self.call_index[run.call]].2 = true;
                }
                let is_over = now >= run.ends_at;
                let is_proven = is_over || now >= run.begins_at + PROVEN_AFTER;
                if is_proven && !std::mem::replace(&mut run.is_proven, true) {
                    answered.push((run.entry, run.life, run.parts.clone()));
                }
            }
            self.endpoints[i].runs.retain(|run| now < run.ends_at);
            for (entry, life, parts) in answered {
                if self.entries[entry].life == life {
                    let clock = self.clock(entry);
                    self.entries[entry].log.record_answered_here(clock, &parts);
                }
            }
        }
    }

    fn crash(&mut self, i: usize) {
        let runs = std::mem::take(&mut self.endpoints[i].runs);
        let incarnation = self.endpoints[i].incarnation;
        self.endpoints[i].incarnation += 1;
        self.endpoints[i].up_at = self.now + self.plan.down_time;
        let mut broken: Map<(usize, u32), Vec<SharedParts>> = Map::default();
        for run in &runs {
            let prompts = broken.entry((run.entry, run.life)).or_default();
            if self.now < run.begins_at + PROVEN_AFTER {
                prompts.push(run.parts.clone());
            }
        }
        for ((entry, life), prompts) in broken {
            let (at, crashed_at) = (self.now + CONFIRM_TIME, self.now);
            let pending =
                Pending { at, crashed_at, entry, life, endpoint: i, incarnation, prompts };
            self.pending.push(pending);
        }
        for run in runs {
            if run.attempt + 1 < MAX_ATTEMPTS && self.entries[run.entry].life == run.life {
                self.send(run.kind, run.entry, run.call, run.parts, run.attempt + 1);
            }
        }
    }

    fn confirm(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.pending).into_iter().partition(|p| p.at <= now);
        self.pending = later;
        for pending in due {
            let pending: Pending = pending;
            if self.entries[pending.entry].life != pending.life {
                continue;
            }
            let crash = EndpointCrash {
                endpoint: Name::from(format!("e{}", pending.endpoint)),
                incarnation: Incarnation(pending.incarnation),
                requests: Vec::<RequestKey>::new(),
                prompts: pending.prompts,
                age: now - pending.crashed_at,
                is_presumed: false,
            };
            let clock = self.clock(pending.entry);
            self.entries[pending.entry].log.record(clock, &crash);
        }
    }

    fn poll(&mut self) {
        if self.plan.control_away.is_some_and(|(from, until)| (from..until).contains(&self.now)) {
            return;
        }
        for i in 0..self.entries.len() {
            if self.now < self.entries[i].poll_at {
                continue;
            }
            let (clock, now) = (self.clock(i), self.now);
            let entry = &mut self.entries[i];
            let (sent, update) = entry.log.newer_than(clock, entry.sent);
            update.crashes.iter().for_each(|crash| _ = self.control.record(now, crash));
            update.answered.iter().for_each(|part| self.control.record_answered(now, part));
            let (received, update) = self.control.newer_than(now, entry.received);
            update.crashes.iter().for_each(|crash| _ = entry.log.record(clock, crash));
            update.answered.iter().for_each(|part| entry.log.record_answered(clock, part));
            (entry.sent, entry.received) = (sent, received);
            entry.poll_at = now + Millis(POLL_INTERVAL);
        }
    }

    fn call(&mut self, kind: usize) {
        let parts = self.plan.kinds[kind].parts;
        let parts = parts.iter().map(|part| match part.strip_suffix('*') {
            Some(part) => format!("{part}{}", self.rng.random_range(0..8)),
            None => (*part).to_owned(),
        });
        let parts: Vec<PartId> = parts.map(|part| PartId::new(&part.into())).collect();
        let parts: SharedParts = parts.into_iter().collect();
        let entry = self.rng.random_range(0..self.entries.len());
        self.record.calls.push((self.now, kind, false));
        self.call_index.push(self.record.calls.len() - 1);
        let call = self.call_index.len() - 1;
        self.send(kind, entry, call, parts, 0);
    }

    fn send(&mut self, kind: usize, entry: usize, call: usize, parts: SharedParts, attempt: u32) {
        let clock = self.clock(entry);
        let log = &mut self.entries[entry].log;
        log.review(clock);
        if log.block_of_parts(&parts).is_some() {
            self.record.refused.push((self.now, kind));
            return;
        }
        let has_room = |endpoint: &Endpoint| endpoint.runs.len() < SLOTS;
        let up: Vec<usize> = (0..self.endpoints.len())
            .filter(|i| self.endpoints[*i].up_at <= self.now && has_room(&self.endpoints[*i]))
            .collect();
        if up.is_empty() {
            return;
        }
        let i = up[self.rng.random_range(0..up.len())];
        self.record.sends.push((self.now, kind));
        let begins_at = self.now + Millis(self.rng.random_range(30..200));
        let run = Run {
            kind,
            entry,
            life: self.entries[entry].life,
            call,
            parts,
            attempt,
            begins_at,
            ends_at: begins_at + self.plan.kinds[kind].duration,
            is_proven: false,
        };
        self.endpoints[i].runs.push(run);
    }
}
