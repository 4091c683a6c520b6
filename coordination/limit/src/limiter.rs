//! The limiter of one entry instance.

use serde::{Deserialize, Serialize};
use sill_base::{Machine, Map, Millis, Name, Promise, keep};
use sill_wire::Incarnation;
use sill_wire::limits::{AccountDemand, DemandReport};

use crate::bucket::Bucket;
use crate::demand::{Demand, Rates};
use crate::exchange::Exchange;
use crate::tree::{Members, Peer};
use crate::weakening::Weakening;

/// Settings of a limiter.
#[derive(Debug, Clone)]
pub struct LimiterCfg {
    /// The entry instance.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
}

/// How shares are worked out.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Split {
    /// By demand; the others are baselines to measure it against.
    #[default]
    Demand,
    /// The same for every entry instance.
    Equal,
    /// The same for every entry instance that has any demand, as mq-cake does with its queues.
    Active,
}

/// Figures of the limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct SplitCfg {
    /// How shares are worked out.
    pub split: Split,
    /// Part of the limit that is spread evenly, so that an account may begin anywhere at once.
    pub floor: f64,
    /// Time between two ticks.
    pub tick: Millis,
    /// Span of the demand's moving average.
    pub averaging_window: Millis,
    /// Requests that the average spans at least, where they come slowly, within five times the span.
    pub min_averaged_requests: f64,
    /// Time for which an unused share is saved up.
    pub burst: Millis,
    /// Time without a report after which an entry instance's part of the limit is held fixed.
    pub stale_after: Millis,
    /// Time without a report after which an entry instance counts as silent.
    pub silent_after: Millis,
    /// Time without any word after which an entry instance gives its share up, if it has neighbours.
    pub isolated_after: Millis,
    /// Time after which a silent one counts as dead, where others of its failure domain are heard.
    pub dead_after: Millis,
    /// Time after which a whole silent failure domain counts as dead.
    pub domain_dead_after: Millis,
}

/// The limit of a client account over all entry instances; none where it is missing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// The client account.
    pub account: Name,
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Prompt and answer tokens a second.
    pub tokens_per_s: Option<f64>,
}

/// What a request costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Prompt tokens, and answer tokens asked for.
    pub tokens: u64,
}

/// Whether a request may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may.
    Admit,
    /// The client account is over its limit here.
    Refuse {
        /// When to come back.
        retry_after: Millis,
    },
}

/// What the limiter hears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The limits in force, all of them.
    Limits(Vec<AccountLimit>),
    /// The entry instances that live.
    Members(Members),
    /// Reports that a peer gave, its own first.
    Reports(Vec<DemandReport>),
    /// Time to work out shares anew and to tell others.
    Tick,
}

/// What the limiter wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Give a report to a peer and take in its answer.
    Exchange {
        /// The peer.
        peer: Peer,
        /// The report.
        report: DemandReport,
    },
}

/// Admits requests of client accounts within the share of this entry instance.
#[derive(Debug)]
pub struct Limiter {
    cfg: SplitCfg,
    limits: Map<Name, AccountLimit>,
    accounts: Map<Name, Account>,
    exchange: Exchange,
    weakening: Option<Weakening>,
}

/// An account here.
#[derive(Debug)]
struct Account {
    demand: Demand,
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
}

impl Limiter {
    /// Makes a limiter that knows no limit.
    pub fn new(cfg: LimiterCfg) -> Self {
        Self::with_split(cfg, Incarnation::default(), SplitCfg::default())
    }

    /// Makes a limiter with its life and other figures than the default ones.
    pub fn with_split(cfg: LimiterCfg, incarnation: Incarnation, split: SplitCfg) -> Self {
        Self {
            exchange: Exchange::new(cfg, incarnation, split.clone()),
            cfg: split,
            limits: Map::default(),
            accounts: Map::default(),
            weakening: None,
        }
    }

    /// Leaves out one rule, for tests of the checks.
    pub fn weaken(&mut self, weakening: Weakening) {
        self.weakening = Some(weakening);
        self.exchange.weaken(weakening);
    }

    /// Admits a request or refuses it.
    pub fn admit(&mut self, now: Millis, account: &Name, cost: Cost) -> Verdict {
        if !self.limits.contains_key(account) {
            return Verdict::Admit;
        }
        self.open(now, account);
        let burst = self.cfg.burst;
        let counts = self.weakening != Some(Weakening::UncountedAdmission);
        let Some(state) = self.accounts.get_mut(account) else {
            return Verdict::Admit;
        };
        state.demand.ask(cost.tokens);
        let costs = [1.0, cost.tokens as f64];
        let mut buckets = [state.requests.as_mut(), state.tokens.as_mut()];
        let mut wait = None;
        for bucket in buckets.iter_mut().flatten() {
            if !bucket.can_admit(now, burst) {
                wait = wait.max(Some(bucket.time_to_admit()));
            }
        }
        if let Some(wait) = wait {
            return Verdict::Refuse { retry_after: wait.max(Millis(100)) };
        }
        for (bucket, cost) in buckets.iter_mut().zip(costs) {
            let Some(bucket) = bucket else {
                continue;
            };
            if counts {
                bucket.charge(cost);
            }
            bucket.meter(cost);
        }
        Verdict::Admit
    }

    /// Returns what a peer that calls is told.
    pub fn reply(&self, caller: &DemandReport) -> Vec<DemandReport> {
        self.exchange.reply(caller)
    }

    /// Returns whether this one adds up the demand of its failure domain.
    pub fn is_domain_root(&self) -> bool {
        self.exchange.is_root()
    }

    /// Returns the share of an account here, in parts of its limit.
    pub fn share(&self, account: &Name) -> Rates {
        self.exchange.share(account)
    }

    fn open(&mut self, now: Millis, name: &Name) {
        if self.accounts.contains_key(name) {
            return;
        }
        let Some(limit) = self.limits.get(name) else {
            return;
        };
        let share = self.exchange.share(name);
        let bucket = |limit: Option<f64>, share: f64| {
            limit.map(|limit| Bucket::new(now, limit * share, self.cfg.burst))
        };
        let account = Account {
            demand: Demand::new(now),
            requests: bucket(limit.requests_per_s, share.requests),
            tokens: bucket(limit.tokens_per_s, share.tokens),
        };
        self.accounts.insert(name.clone(), account);
    }

    /// Forgets accounts without a limit, and opens the buckets of changed limits anew.
    fn set_limits(&mut self, limits: Vec<AccountLimit>) {
        let limits: Map<Name, AccountLimit> =
            limits.into_iter().map(|limit| (limit.account.clone(), limit)).collect();
        let before = std::mem::replace(&mut self.limits, limits);
        let limits = &self.limits;
        self.accounts.retain(|name, _| limits.get(name) == before.get(name));
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut demand = Vec::new();
        for (name, account) in &mut self.accounts {
            let rates = account.demand.update(now, &self.cfg);
            const NEGLIGIBLE: f64 = 0.01;
            if rates.requests > NEGLIGIBLE {
                demand.push(AccountDemand {
                    account: name.clone(),
                    requests_per_s: rates.requests,
                    tokens_per_s: rates.tokens,
                    entries: 1,
                });
            }
        }
        demand.sort_by(|a, b| a.account.cmp(&b.account));
        self.exchange.tick(now, demand, out);
        self.set_rates(now);
    }

    fn set_rates(&mut self, now: Millis) {
        for (name, account) in &mut self.accounts {
            let Some(limit) = self.limits.get(name) else {
                continue;
            };
            let share = self.exchange.share(name);
            keep!(
                Promise::AccountLimit,
                share.requests <= 1.0 + 1e-9 && share.tokens <= 1.0 + 1e-9,
                "the share of {name} is {share:?}"
            );
            if let (Some(bucket), Some(limit)) = (&mut account.requests, limit.requests_per_s) {
                bucket.set_rate(now, limit * share.requests, self.cfg.burst);
            }
            if let (Some(bucket), Some(limit)) = (&mut account.tokens, limit.tokens_per_s) {
                bucket.set_rate(now, limit * share.tokens, self.cfg.burst);
            }
        }
    }
}

impl Machine for Limiter {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Limits(limits) => self.set_limits(limits),
            Event::Members(members) => self.exchange.set_members(&members),
            Event::Reports(reports) => self.exchange.take_in(now, reports),
            Event::Tick => self.tick(now, out),
        }
    }
}

impl Default for SplitCfg {
    fn default() -> Self {
        Self {
            split: Split::Demand,
            floor: 0.005,
            tick: Millis(1_000),
            averaging_window: Millis(1_000),
            min_averaged_requests: 20.0,
            burst: Millis(250),
            stale_after: Millis(1_250),
            silent_after: Millis(3_000),
            isolated_after: Millis(5_000),
            dead_after: Millis(30_000),
            domain_dead_after: Millis(21_600_000),
        }
    }
}
