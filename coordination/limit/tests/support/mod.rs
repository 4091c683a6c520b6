//! Simulation of entry instances that share limits over a network with partitions, in virtual time.
#![allow(dead_code)]

use sill_base::{Machine, Millis, Name};
use sill_limit::{
    AccountLimit, Action, Cost, Event, Limiter, LimiterCfg, Members, Peer, SplitCfg, Verdict,
    Weakening,
};
use sill_wire::Incarnation;

pub const LIMIT: f64 = 1000.0;
pub const STEP: Millis = Millis(10);
const TICK_MS: u64 = 1000;

/// Entry instances whose callers use one client account, with one token for each request.
pub struct Fleet {
    pub now: Millis,
    pub limiters: Vec<Limiter>,
    pub is_up: Vec<bool>,
    /// Requests per second at each entry instance.
    pub demand: Vec<f64>,
    /// The side of a network partition that each entry instance is on.
    pub side: Vec<u32>,
    /// Requests admitted in each step, over all entry instances.
    pub admitted: Vec<u32>,
    domains: usize,
    /// When each entry instance died, if it did not restart since.
    died_at: Vec<Option<Millis>>,
    /// Whether each entry instance is alive according to membership.
    is_member: Vec<bool>,
    /// Requests that are due at each entry instance, with a fraction.
    due_requests: Vec<f64>,
    incarnations: Vec<u64>,
    weakening: Option<Weakening>,
}

impl Fleet {
    pub fn new(entries: usize, domains: usize, weakening: Option<Weakening>) -> Self {
        let mut fleet = Self {
            now: Millis(10_000),
            limiters: Vec::new(),
            is_up: vec![true; entries],
            demand: vec![0.0; entries],
            side: vec![0; entries],
            admitted: Vec::new(),
            domains,
            died_at: vec![None; entries],
            is_member: vec![true; entries],
            due_requests: vec![0.0; entries],
            incarnations: vec![1; entries],
            weakening,
        };
        fleet.limiters = (0..entries).map(|i| fleet.start(i)).collect();
        fleet
    }

    /// Restarts an entry instance without its state.
    pub fn restart(&mut self, i: usize) {
        self.incarnations[i] += 1;
        self.limiters[i] = self.start(i);
        self.is_up[i] = true;
        self.died_at[i] = None;
        if !self.is_member[i] {
            self.is_member[i] = true;
            self.publish_members();
        }
    }

    /// Stops an entry instance. Membership removes it some seconds later.
    pub fn kill(&mut self, i: usize) {
        self.is_up[i] = false;
        self.died_at[i].get_or_insert(self.now);
    }

    /// Partitions one failure domain from all others.
    pub fn partition(&mut self, domain: usize, domains: usize) {
        for i in 0..self.side.len() {
            self.side[i] = u32::from(i % domains == domain);
        }
    }

    /// Ends the network partition.
    pub fn heal(&mut self) {
        self.side.fill(0);
    }

    /// Advances the virtual time by a span.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.detect_deaths();
            self.tick();
            self.send_requests();
        }
    }

    /// Returns what was admitted in the last `span`, as a fraction of the limit.
    pub fn used(&self, span: Millis) -> f64 {
        let steps = (span.0 / STEP.0) as usize;
        let admitted: u32 = self.admitted[self.admitted.len() - steps..].iter().sum();
        f64::from(admitted) / (LIMIT * span.as_secs_f64())
    }

    /// Returns the most that was admitted in any such span after a step, as a fraction of the
    /// limit.
    pub fn most_used(&self, span: Millis, since: usize) -> f64 {
        let steps = (span.0 / STEP.0) as usize;
        let sums = self.admitted[since..].windows(steps).map(|w| w.iter().sum::<u32>());
        f64::from(sums.max().unwrap_or(0)) / (LIMIT * span.as_secs_f64())
    }

    fn start(&self, i: usize) -> Limiter {
        let cfg = LimiterCfg { entry: name(i), domain: domain(i % self.domains) };
        let incarnation = Incarnation(self.incarnations[i]);
        let mut limiter = Limiter::with_split(cfg, incarnation, SplitCfg::default());
        if let Some(weakening) = self.weakening {
            limiter.weaken(weakening);
        }
        let limit =
            AccountLimit { account: account(), requests_per_s: Some(LIMIT), tokens_per_s: None };
        limiter.step(self.now, Event::Limits(vec![limit]), &mut Vec::new());
        limiter.step(self.now, Event::Members(self.members(i)), &mut Vec::new());
        limiter
    }

    /// Returns the membership as an entry instance sees it. The first live one of a failure domain
    /// is its root.
    fn members(&self, i: usize) -> Members {
        let own = i % self.domains;
        let neighbours =
            (own..self.is_member.len()).step_by(self.domains).filter(|n| self.is_member[*n]);
        let domains = (0..self.domains).filter(|d| *d != own);
        Members {
            neighbours: neighbours.map(name).collect(),
            domains: domains.map(domain).collect(),
        }
    }

    fn publish_members(&mut self) {
        for i in 0..self.limiters.len() {
            let members = Event::Members(self.members(i));
            self.limiters[i].step(self.now, members, &mut Vec::new());
        }
    }

    /// Removes entry instances that died some seconds ago from the membership.
    fn detect_deaths(&mut self) {
        const DETECTED_AFTER: Millis = Millis(6_000);
        let detected = |died_at: &Option<Millis>| {
            died_at.is_some_and(|at| self.now.since(at) == DETECTED_AFTER)
        };
        let detected: Vec<usize> =
            (0..self.died_at.len()).filter(|i| detected(&self.died_at[*i])).collect();
        if detected.is_empty() {
            return;
        }
        for i in detected {
            self.is_member[i] = false;
        }
        self.publish_members();
    }

    fn find(&self, peer: &Peer) -> Option<usize> {
        match peer {
            Peer::Entry(target) => (0..self.is_member.len()).find(|i| name(*i) == *target),
            Peer::Domain(target) => (0..self.is_member.len())
                .find(|i| self.is_member[*i] && domain(i % self.domains) == *target),
        }
    }

    fn tick(&mut self) {
        for i in 0..self.limiters.len() {
            let at = (i as u64 * 70) % TICK_MS / STEP.0 * STEP.0;
            if !self.is_up[i] || self.now.0 % TICK_MS != at {
                continue;
            }
            let mut actions = Vec::new();
            self.limiters[i].step(self.now, Event::Tick, &mut actions);
            for Action::Exchange { peer: target, report } in actions {
                let Some(peer) = self.find(&target) else {
                    continue;
                };
                if !self.is_up[peer] || self.side[peer] != self.side[i] {
                    continue;
                }
                let reply = self.limiters[peer].reply(&report);
                let received = Event::Reports(vec![report]);
                self.limiters[peer].step(self.now, received, &mut Vec::new());
                self.limiters[i].step(self.now, Event::Reports(reply), &mut Vec::new());
            }
        }
    }

    fn send_requests(&mut self) {
        let mut admitted = 0;
        for i in 0..self.limiters.len() {
            if !self.is_up[i] {
                continue;
            }
            self.due_requests[i] += self.demand[i] * STEP.as_secs_f64();
            while self.due_requests[i] >= 1.0 {
                self.due_requests[i] -= 1.0;
                let verdict = self.limiters[i].admit(self.now, &account(), Cost { tokens: 1 });
                admitted += u32::from(verdict == Verdict::Admit);
            }
        }
        self.admitted.push(admitted);
    }
}

fn account() -> Name {
    "desk".into()
}

fn name(i: usize) -> Name {
    format!("entry-{i:03}").into()
}

fn domain(d: usize) -> Name {
    format!("d{d}").into()
}
