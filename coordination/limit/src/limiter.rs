//! The limiter of one entry instance, which admits requests within its shares of the limits.

use serde::{Deserialize, Serialize};
use sill_base::{Machine, Map, Millis, Name, Promise, assert_promise};
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
    /// Name of the entry instance.
    pub entry: Name,
    /// Failure domain of the entry instance.
    pub domain: Name,
}

/// How a limit is split among entry instances.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Split {
    /// In proportion to demand. The other variants are baselines for comparison.
    #[default]
    Demand,
    /// Equal shares for all entry instances.
    Equal,
    /// Equal shares for all entry instances with any demand, as `mq-cake` does with its queues.
    Active,
}

/// Parameters of the limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct SplitCfg {
    /// How a limit is split among entry instances.
    pub split: Split,
    /// Fraction of the limit that is divided equally, so that an account is admitted at once at an
    /// entry instance without earlier demand.
    pub floor: f64,
    /// Time between two ticks.
    pub tick: Millis,
    /// Window of the moving average of demand.
    pub averaging_window: Millis,
    /// Lowest number of requests that the moving average covers. If requests are rare, the window
    /// grows accordingly, up to five times `averaging_window`.
    pub min_averaged_requests: f64,
    /// Time for which an unused share is saved up in a token bucket.
    pub burst: Millis,
    /// Age of a report after which the share of its source is frozen.
    pub stale_after: Millis,
    /// Age of the last report after which its source counts as silent.
    pub silent_after: Millis,
    /// Time without any report after which an entry instance with neighbours gives up its shares.
    pub isolated_after: Millis,
    /// Time without a report after which an entry instance counts as dead, if others of its failure
    /// domain report.
    pub dead_after: Millis,
    /// Time without a report after which a whole failure domain counts as dead.
    pub domain_dead_after: Millis,
}

/// The limits of a client account over all entry instances. `None` means unlimited.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// The client account.
    pub account: Name,
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Prompt and answer tokens per second.
    pub tokens_per_s: Option<f64>,
}

/// The cost of a request, in addition to the request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Prompt tokens and requested answer tokens.
    pub tokens: u64,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request is admitted.
    Admit,
    /// The client account has used up its share at this entry instance.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
}

/// An input of the limiter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// All limits in force. They replace the earlier ones.
    Limits(Vec<AccountLimit>),
    /// The current membership.
    Members(Members),
    /// Reports received from a peer, its own first.
    Reports(Vec<DemandReport>),
    /// Periodic tick, at which shares are recomputed and demand is reported.
    Tick,
}

/// An output of the limiter, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a report to a peer, and pass its answer back as [`Event::Reports`].
    Exchange {
        /// The peer to call.
        peer: Peer,
        /// The report to send.
        report: DemandReport,
    },
}

/// Admits requests of client accounts within the shares of this entry instance.
#[derive(Debug)]
pub struct Limiter {
    cfg: SplitCfg,
    limits: Map<Name, AccountLimit>,
    accounts: Map<Name, Account>,
    exchange: Exchange,
    weakening: Option<Weakening>,
}

/// State of an account at this entry instance.
#[derive(Debug)]
struct Account {
    demand: Demand,
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
}

impl Limiter {
    /// Creates a limiter without limits and with the default parameters.
    pub fn new(cfg: LimiterCfg) -> Self {
        Self::with_split(cfg, Incarnation::default(), SplitCfg::default())
    }

    /// Creates a limiter without limits, with a given incarnation and parameters.
    pub fn with_split(cfg: LimiterCfg, incarnation: Incarnation, split: SplitCfg) -> Self {
        Self {
            exchange: Exchange::new(cfg, incarnation, split.clone()),
            cfg: split,
            limits: Map::default(),
            accounts: Map::default(),
            weakening: None,
        }
    }

    /// Leaves out one rule, to test that the checks notice.
    pub fn weaken(&mut self, weakening: Weakening) {
        self.weakening = Some(weakening);
        self.exchange.weaken(weakening);
    }

    /// Admits a request or refuses it. Accounts without a limit are always admitted.
    pub fn admit(&mut self, now: Millis, account: &Name, cost: Cost) -> Verdict {
        if !self.limits.contains_key(account) {
            return Verdict::Admit;
        }
        self.open_account(now, account);
        let burst = self.cfg.burst;
        let is_charged = self.weakening != Some(Weakening::UncountedAdmission);
        let Some(account) = self.accounts.get_mut(account) else {
            return Verdict::Admit;
        };
        account.demand.record(cost.tokens);
        let costs = [1.0, cost.tokens as f64];
        let mut buckets = [account.requests.as_mut(), account.tokens.as_mut()];
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
            if is_charged {
                bucket.charge(cost);
            }
            bucket.meter(cost);
        }
        Verdict::Admit
    }

    /// Returns the answer to the report of a calling peer.
    pub fn reply(&self, caller: &DemandReport) -> Vec<DemandReport> {
        self.exchange.reply(caller)
    }

    /// Returns whether this entry instance sums up the demand of its failure domain.
    pub fn is_domain_root(&self) -> bool {
        self.exchange.is_root()
    }

    /// Returns the share of an account at this entry instance, as fractions of its limit.
    pub fn share(&self, account: &Name) -> Rates {
        self.exchange.share(account)
    }

    fn open_account(&mut self, now: Millis, name: &Name) {
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

    /// Replaces the limits. Accounts whose limit changed or was removed lose their state, and start
    /// with new buckets at their next request.
    fn set_limits(&mut self, limits: Vec<AccountLimit>) {
        let limits: Map<Name, AccountLimit> =
            limits.into_iter().map(|limit| (limit.account.clone(), limit)).collect();
        let previous = std::mem::replace(&mut self.limits, limits);
        let limits = &self.limits;
        self.accounts.retain(|name, _| limits.get(name) == previous.get(name));
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let mut demand = Vec::new();
        for (name, account) in &mut self.accounts {
            let rates = account.demand.update(now, &self.cfg);
            const MIN_REQUESTS_PER_S: f64 = 0.01;
            if rates.requests > MIN_REQUESTS_PER_S {
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
            assert_promise!(
                Promise::AccountLimit,
                share.requests <= 1.0 + 1e-9 && share.tokens <= 1.0 + 1e-9,
                "share of account {name} is more than its whole limit (1): {share:?}"
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
            Event::Reports(reports) => self.exchange.apply_reports(now, reports),
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
