//! A pool of endpoint models under several routers, in virtual time.

mod endpoints;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Machine, Millis, Name, Set};
use sill_route::{
    Choice, Event, Outcome, PolicyCfg, RetryBudget, RetryCfg, RouteRequest, Router, RouterCfg,
    Target,
};
use sill_wire::Priority;
use sill_wire::prefix::BLOCK_TOKENS;

use endpoints::{ANNOUNCE_EVERY, Message};

use super::figures::{Figures, Recompute};
use super::model::{EndpointModel, EndpointSpec, MODEL, Micros, Run, Signal};
use super::traffic::{Mix, Traffic, Wanted};

const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;

/// Where a moved request waits when nothing takes it.
const MOVE_AGAIN: Micros = SECOND / 5;

/// What is run.
#[derive(Debug, Clone)]
pub struct PoolCfg {
    /// Whose work.
    pub mix: Mix,
    /// The endpoints.
    pub endpoints: Vec<EndpointSpec>,
    /// How endpoints are chosen.
    pub policy: PolicyCfg,
    /// Requests a second, in parts of the mix's own rate.
    pub load: f64,
    /// Entry instances, spread over the failure domains.
    pub entries: usize,
    /// How long callers send.
    pub length: Millis,
    /// Requests that arrive before are not counted.
    pub warm_up: Millis,
    /// What befalls the endpoints.
    pub wave: Option<Wave>,
    /// How callers behave.
    pub callers: Callers,
    /// Seed of everything that is random.
    pub seed: u64,
}

/// A reclaim of all endpoints of a failure domain, the reclaimable and the others.
#[derive(Debug, Clone, Copy)]
pub struct Wave {
    /// The failure domain.
    pub domain: usize,
    /// When the notice comes.
    pub at: Millis,
    /// Time from the notice to the end; none came where it is zero.
    pub notice: Millis,
    /// When new endpoints are up, after the end.
    pub replaced_after: Millis,
}

/// How callers behave, and the entry instances towards them.
#[derive(Debug, Clone, Copy)]
pub struct Callers {
    /// How often a request is sent at most.
    pub tries: u32,
    /// How long a caller waits for the first token before it sends again.
    pub patience: Millis,
    /// Whether refused callers wait as long as they are told, or a second.
    pub obey_retry_after: bool,
    /// Whether retries of failed attempts need leave of the retry budget.
    pub retry_budget: bool,
}

/// A request over all its attempts.
#[derive(Debug)]
struct Job {
    wanted: Wanted,
    entry: usize,
    arrived: Micros,
    sent_again: u32,
    attempt: u32,
    endpoint: Option<usize>,
    first_token: Option<Micros>,
    emitted: u32,
    moved: bool,
    closed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Again(usize),
    Move(usize),
    GiveUp(usize, u32),
    Work(usize, u64),
    Announce(usize),
    PublishEvents(usize),
    Notice(usize, Micros),
    Death(usize),
    Start(usize),
    Deliver(usize),
}

/// The pool.
#[derive(Debug)]
pub struct Pool {
    cfg: PoolCfg,
    rng: Rng,
    /// Kept apart, so that every policy meets the same requests at the same times.
    arrivals: Rng,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    scheduled: u64,
    traffic: Traffic,
    endpoints: Vec<EndpointModel>,
    work_version: Vec<u64>,
    routers: Vec<Router>,
    budgets: Vec<RetryBudget>,
    jobs: Vec<Job>,
    messages: Vec<Option<Message>>,
    computed: Set<u64>,
    figures: Figures,
    deciding: Duration,
    decisions: u64,
}

impl Default for Callers {
    fn default() -> Self {
        Self { tries: 4, patience: Millis(30_000), obey_retry_after: true, retry_budget: true }
    }
}

impl Pool {
    /// Makes a pool whose endpoints are all up.
    pub fn new(cfg: PoolCfg) -> Self {
        let endpoints: Vec<EndpointModel> =
            (0..).zip(cfg.endpoints.clone()).map(|(n, s)| EndpointModel::new(n, s)).collect();
        let router = |entry: usize| {
            let domain = domain_name(entry % 4);
            Router::with_policy(
                RouterCfg { domain, seed: cfg.seed + entry as u64 },
                cfg.policy.clone(),
            )
        };
        let budget = |_| RetryBudget::new(RetryCfg::default());
        let mut pool = Self {
            rng: random::seeded(cfg.seed),
            arrivals: random::seeded(cfg.seed ^ 1),
            now: 0,
            queue: BinaryHeap::new(),
            scheduled: 0,
            traffic: Traffic::new(cfg.mix),
            work_version: vec![0; endpoints.len()],
            routers: (0..cfg.entries).map(router).collect(),
            budgets: (0..cfg.entries).map(budget).collect(),
            endpoints,
            jobs: Vec::new(),
            messages: Vec::new(),
            computed: Set::default(),
            figures: Figures::new(cfg.mix, cfg.length),
            deciding: Duration::ZERO,
            decisions: 0,
            cfg,
        };
        pool.schedule_start();
        pool
    }

    /// Runs until every request has come to its end.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse((at, _, due))) = self.queue.pop() {
            let sending = at < self.cfg.length.0 * MILLI;
            let open = self.jobs.iter().rev().take(4096).any(|job| !job.closed);
            if !sending && !open {
                break;
            }
            self.now = at;
            self.handle(due);
        }
        let hours = self.cfg.length.as_secs_f64() / 3600.0;
        let price: u64 = self.endpoints.iter().map(|e| e.spec.price).sum();
        self.figures.fleet_cost = price as f64 / 1000.0 * hours;
        self.figures.decision_us = self.deciding.as_secs_f64() * 1e6 / self.decisions.max(1) as f64;
        self.figures
    }

    fn schedule_start(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            let first = self.rng.random_range(0..ANNOUNCE_EVERY);
            self.at(first, Due::Announce(endpoint));
            self.at(first, Due::PublishEvents(endpoint));
        }
        if let Some(wave) = self.cfg.wave {
            for endpoint in 0..self.endpoints.len() {
                if self.endpoints[endpoint].spec.domain == wave.domain {
                    let end = (wave.at + wave.notice).0 * MILLI;
                    self.at(wave.at.0 * MILLI, Due::Notice(endpoint, end));
                    self.at(end, Due::Death(endpoint));
                    self.at(end + wave.replaced_after.0 * MILLI, Due::Start(endpoint));
                }
            }
        }
        self.at(2 * SECOND, Due::Arrival);
    }

    fn at(&mut self, time: Micros, due: Due) {
        self.scheduled += 1;
        self.queue.push(Reverse((time, self.scheduled, due)));
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrival(),
            Due::Again(job) => self.dispatch(job),
            Due::Move(job) => self.dispatch(job),
            Due::GiveUp(job, attempt) => self.give_up(job, attempt),
            Due::Work(endpoint, version) if self.work_version[endpoint] == version => {
                self.work(endpoint);
            }
            Due::Work(..) => {}
            Due::Announce(endpoint) => self.announce(endpoint),
            Due::PublishEvents(endpoint) => self.publish_events(endpoint),
            Due::Notice(endpoint, end) => self.notice(endpoint, end),
            Due::Death(endpoint) => self.death(endpoint),
            Due::Start(endpoint) => self.endpoints[endpoint].restart(self.now),
            Due::Deliver(message) => self.deliver(message),
        }
    }

    fn arrival(&mut self) {
        let wanted = self.traffic.next(&mut self.arrivals);
        self.jobs.push(Job {
            wanted,
            entry: self.arrivals.random_range(0..self.cfg.entries),
            arrived: self.now,
            sent_again: 0,
            attempt: 0,
            endpoint: None,
            first_token: None,
            emitted: 0,
            moved: false,
            closed: false,
        });
        let job = self.jobs.len() - 1;
        if self.is_counted(job) {
            self.figures.arrived(self.now);
        }
        self.dispatch(job);
        let rate = self.cfg.mix.rate() * self.cfg.load;
        let gap = -self.arrivals.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        let next = self.now + (gap * SECOND as f64) as Micros;
        if next < self.cfg.length.0 * MILLI {
            self.at(next, Due::Arrival);
        }
    }

    fn dispatch(&mut self, job: usize) {
        let Job { entry, moved, closed, .. } = self.jobs[job];
        if closed {
            return;
        }
        let ask = self.ask(job);
        let now = self.millis();
        let began = Instant::now();
        let choice = self.routers[entry].choose(now, &ask);
        self.deciding += began.elapsed();
        self.decisions += 1;
        match choice {
            Choice::Endpoint(chosen) => self.send(job, ask, &chosen.endpoint),
            Choice::Refuse(_) if moved => self.at(self.now + MOVE_AGAIN, Due::Move(job)),
            Choice::Refuse(refusal) => {
                let wait = match self.cfg.callers.obey_retry_after {
                    true => refusal.retry_after,
                    false => Millis(1000),
                };
                self.send_again(job, wait.0 * MILLI);
            }
        }
    }

    fn ask(&self, job: usize) -> RouteRequest {
        let Job { wanted, emitted, moved, attempt, .. } = &self.jobs[job];
        RouteRequest {
            request: format!("{job}-{attempt}").into(),
            target: Target::Model(MODEL.into()),
            blocks: wanted.blocks.clone(),
            prompt_tokens: wanted.prompt_tokens + u64::from(*emitted),
            max_tokens: wanted.tokens - emitted,
            // What was accepted goes before what is new.
            priority: if *moved { Priority::High } else { wanted.priority },
            deadline: Millis::MAX,
            exclude: Vec::new(),
        }
    }

    fn send(&mut self, job: usize, ask: RouteRequest, name: &Name) {
        let endpoint = self.endpoint(name);
        let entry = self.jobs[job].entry;
        let run = Run {
            job,
            attempt: self.jobs[job].attempt,
            blocks: ask.blocks.clone(),
            prompt_tokens: ask.prompt_tokens,
            tokens: ask.max_tokens,
            priority: ask.priority,
        };
        let sent = Event::Sent { endpoint: name.clone(), ask };
        self.tell(entry, sent);
        self.jobs[job].endpoint = Some(endpoint);
        if !self.endpoints[endpoint].up {
            self.failed(job, endpoint);
            return;
        }
        self.endpoints[endpoint].offer(run);
        let active = self.endpoints[endpoint].active();
        self.figures.active(self.now, active, self.endpoints[endpoint].spec.slots);
        if self.jobs[job].first_token.is_none() {
            let patience = self.cfg.callers.patience.0 * MILLI;
            self.at(self.now + patience, Due::GiveUp(job, self.jobs[job].attempt));
        }
        self.work(endpoint);
    }

    /// The caller goes away and sends the request again.
    fn give_up(&mut self, job: usize, attempt: u32) {
        let Job { attempt: current, first_token, closed, endpoint, .. } = self.jobs[job];
        if closed || current != attempt || first_token.is_some() {
            return;
        }
        if let Some(endpoint) = endpoint {
            self.ended(job, endpoint, Outcome::Cancelled);
            self.endpoints[endpoint].cancel(self.now, job);
            self.work(endpoint);
        }
        self.send_again(job, 0);
    }

    fn send_again(&mut self, job: usize, wait: Micros) {
        let counted = self.is_counted(job);
        self.jobs[job].sent_again += 1;
        self.jobs[job].attempt += 1;
        self.jobs[job].endpoint = None;
        if counted {
            self.figures.refused(self.now, self.jobs[job].wanted.priority);
        }
        if self.jobs[job].sent_again >= self.cfg.callers.tries {
            self.jobs[job].closed = true;
            if counted {
                self.figures.lost(self.now);
            }
            return;
        }
        self.at(self.now + wait, Due::Again(job));
    }

    fn work(&mut self, endpoint: usize) {
        if !self.endpoints[endpoint].up {
            return;
        }
        let mut signals = Vec::new();
        let due = self.endpoints[endpoint].work(self.now, &mut signals);
        self.work_version[endpoint] += 1;
        if let Some(due) = due {
            self.at(due, Due::Work(endpoint, self.work_version[endpoint]));
        }
        for signal in signals {
            match signal {
                Signal::Prefill { run, cached_blocks } => {
                    self.count_computed(endpoint, &run, cached_blocks);
                }
                Signal::FirstToken(run) => self.first_token(endpoint, &run),
                Signal::Finished(run) => self.finished(endpoint, &run),
            }
        }
    }

    /// Sorts the tokens that have to be computed by why they were not found in the cache.
    fn count_computed(&mut self, endpoint: usize, run: &Run, cached: usize) {
        let missing = &run.blocks[cached.min(run.blocks.len())..];
        let again = missing.iter().filter(|b| self.computed.contains(b)).count();
        let others = self.endpoints.iter().enumerate().filter(|(e, m)| *e != endpoint && m.up);
        let held = others.map(|(_, m)| m.cache.longest_prefix(&run.blocks)).max().unwrap_or(0);
        let held_elsewhere = held.saturating_sub(cached).min(again);
        let cached_tokens = (cached * BLOCK_TOKENS) as u64;
        let computed = run.prompt_tokens.saturating_sub(cached_tokens);
        let tokens = |blocks: usize| (blocks * BLOCK_TOKENS) as u64;
        let recompute = if self.jobs[run.job].moved {
            Recompute { reclaim: computed, ..Recompute::default() }
        } else {
            Recompute {
                elsewhere: tokens(held_elsewhere),
                evicted: tokens(again - held_elsewhere),
                reclaim: 0,
            }
        };
        if self.is_counted(run.job) {
            self.figures.computed(run.prompt_tokens, computed, recompute);
        }
        self.computed.extend(missing);
    }

    fn first_token(&mut self, endpoint: usize, run: &Run) {
        let Job { entry, arrived, first_token, .. } = self.jobs[run.job];
        let request = request_name(run);
        let event = Event::FirstToken { endpoint: self.endpoints[endpoint].name.clone(), request };
        self.tell(entry, event);
        if first_token.is_none() {
            let elsewhere = self.endpoints[endpoint].spec.domain != entry % 4;
            let way = if elsewhere { 2 * self.cfg.mix.between_domains() } else { 0 };
            self.jobs[run.job].first_token = Some(self.now + way);
            if self.is_counted(run.job) {
                self.figures.first_token(self.now, self.now + way - arrived);
            }
        }
    }

    fn finished(&mut self, endpoint: usize, run: &Run) {
        self.ended(run.job, endpoint, Outcome::Finished);
        let entry = self.jobs[run.job].entry;
        self.budgets[entry].record_success(&MODEL.into(), &Target::Model(MODEL.into()));
        let job = &mut self.jobs[run.job];
        job.closed = true;
        let first = job.first_token.unwrap_or(self.now);
        let (ttft, span, tokens) =
            (first - job.arrived, self.now.saturating_sub(first), job.wanted.tokens);
        if self.is_counted(run.job) {
            self.figures.answered(self.now, ttft, span / u64::from(tokens.max(2) - 1));
        }
    }

    fn ended(&mut self, job: usize, endpoint: usize, outcome: Outcome) {
        let Job { entry, attempt, .. } = self.jobs[job];
        let event = Event::Ended {
            endpoint: self.endpoints[endpoint].name.clone(),
            request: format!("{job}-{attempt}").into(),
            tokens: 0,
            outcome,
        };
        self.tell(entry, event);
    }

    fn move_job(&mut self, job: usize) {
        self.jobs[job].moved = true;
        self.jobs[job].attempt += 1;
        self.dispatch(job);
    }

    /// An attempt failed before its first token: the entry retries it if the budget allows.
    fn failed(&mut self, job: usize, endpoint: usize) {
        self.ended(job, endpoint, Outcome::Failed);
        if self.jobs[job].moved {
            self.jobs[job].attempt += 1;
            self.at(self.now + MOVE_AGAIN, Due::Move(job));
            return;
        }
        let entry = self.jobs[job].entry;
        let (account, target) = (MODEL.into(), Target::Model(MODEL.into()));
        let leave = self.budgets[entry].try_spend(&account, &target);
        if leave || !self.cfg.callers.retry_budget {
            self.jobs[job].attempt += 1;
            self.at(self.now + MILLI, Due::Again(job));
        } else {
            let wait = self.rng.random_range(SECOND..3 * SECOND);
            self.send_again(job, wait);
        }
    }

    fn tell(&mut self, entry: usize, event: Event) {
        let now = self.millis();
        self.routers[entry].step(now, event, &mut Vec::new());
    }

    fn endpoint(&self, name: &Name) -> usize {
        self.endpoints.iter().position(|e| e.name == *name).expect("routers know only these")
    }

    fn is_counted(&self, job: usize) -> bool {
        self.jobs[job].arrived >= self.cfg.warm_up.0 * MILLI
    }

    fn millis(&self) -> Millis {
        Millis(self.now / MILLI)
    }
}

fn domain_name(domain: usize) -> Name {
    ["d0", "d1", "d2", "d3"][domain].into()
}

fn request_name(run: &Run) -> Name {
    format!("{}-{}", run.job, run.attempt).into()
}
