//! Limits of client accounts over all entry instances, on routes.
//!
//! Each entry instance admits out of a token bucket that is filled with its share of the limit, by
//! its part of the demand. While all together are far below the limit nothing is refused: a share
//! of an eighth is less than one large prompt, and the account would be refused within its limit.

use std::collections::VecDeque;

use sill_base::{Map, Millis, Name};
use sill_limit::Bucket;
use sill_wire::link::{AccountReport, LIMIT_WINDOW, Totals};

use crate::table::RouteTable;

/// Part of a limit that is spread evenly, so that an account may begin anywhere.
const EVEN_PART: f64 = 0.15;

/// Entry instances that are presumed until the number is known. Too few would give each of them too
/// large a share; the smallest deployments have seven.
const PRESUMED_ENTRIES: u32 = 16;

/// Part of what a limit allows in its window, below which nothing is refused. News of the others are
/// up to half a second old; a demand of four times the limit adds a quarter of the window meanwhile.
const FREE_PART: f64 = 0.5;

/// Age of totals from which on only the own share counts.
const FRESH: Millis = Millis(1500);

/// Span of the moving average of demand. A single large prompt would otherwise take the whole share.
const AVERAGE: Millis = Millis(4000);

/// Slices of the window in which admitted amounts are kept.
const SLICE: Millis = Millis(500);

/// Shortest time after which a caller over its limit may come back.
const SHORTEST_WAIT: Millis = Millis(250);

/// Longest time after which a caller over its limit is told to come back.
const LONGEST_WAIT: Millis = Millis(5000);

/// How far limits may be passed, over all entry instances and one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBounds {
    /// An amount that may come on top of every limit.
    pub slack: f64,
}

/// The accounts' limits at one entry instance.
#[derive(Debug)]
pub struct Shares {
    bounds: LimitBounds,
    accounts: Map<Name, Account>,
    entries: u32,
    heard: Option<Millis>,
}

#[derive(Debug)]
struct Account {
    limit: Limit,
    bucket: Bucket,
    asked: Average,
    admitted: Window,
    /// Admitted everywhere in the last window, when it was last heard.
    total: f64,
    since_total: f64,
    share: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    rate: f64,
    burst: f64,
}

#[derive(Debug)]
struct Average {
    rate: f64,
    at: Millis,
}

#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<Slice>,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    number: u64,
    amount: f64,
}

impl Shares {
    /// Makes shares of no account.
    pub fn new(bounds: LimitBounds) -> Self {
        Self { bounds, accounts: Map::default(), entries: PRESUMED_ENTRIES, heard: None }
    }

    /// Takes in the limits in force. Accounts whose limit stays keep their buckets.
    pub fn set_limits(&mut self, now: Millis, table: &RouteTable) {
        let mut kept = Map::default();
        for (name, entry) in &table.accounts {
            let limit = entry.account.limit.unwrap_or_default();
            let Some(rate) = limit.tokens_per_s.or(limit.requests_per_s) else { continue };
            let limit = Limit { rate, burst: entry.account.burst.unwrap_or_default() };
            let known = self.accounts.remove(name);
            let account = match known {
                Some(mut known) => {
                    known.limit = limit;
                    known
                }
                None => self.open(now, limit),
            };
            kept.insert(name.clone(), account);
        }
        self.accounts = kept;
        self.set_rates(now);
    }

    fn open(&self, now: Millis, limit: Limit) -> Account {
        let share = 1.0 / f64::from(self.entries);
        Account {
            limit,
            bucket: Bucket::new(now, limit.rate * share, self.saved(limit)),
            asked: Average { rate: 0.0, at: now },
            admitted: Window::default(),
            total: 0.0,
            since_total: 0.0,
            share: None,
        }
    }

    /// Takes in the demand over all entry instances.
    pub fn set_totals(&mut self, now: Millis, totals: &Totals) {
        self.entries = totals.entries.max(1);
        self.heard = Some(now - totals.age);
        for total in &totals.accounts {
            let Some(account) = self.accounts.get_mut(&total.account) else { continue };
            let own = account.asked.at(now);
            let all = total.asked_per_s.max(own);
            let by_demand = if all > 0.0 { own / all } else { 0.0 };
            let even = EVEN_PART / f64::from(self.entries);
            account.share = Some((1.0 - EVEN_PART) * by_demand + even);
            account.total = total.admitted;
            account.since_total = 0.0;
        }
        self.set_rates(now);
    }

    /// Admits a call, or tells when to come back.
    ///
    /// # Errors
    ///
    /// Fails with the time to wait where the account is over its limit here.
    pub fn admit(&mut self, now: Millis, name: &Name, amount: f64) -> Result<(), Millis> {
        let is_fresh = self.heard.is_some_and(|heard| now - heard < FRESH);
        let Some(account) = self.accounts.get_mut(name) else { return Ok(()) };
        account.asked.add(now, amount);
        let saved = saved(account.limit, self.bounds);
        let window = account.limit.rate * LIMIT_WINDOW.as_secs_f64() + account.limit.burst;
        let is_far_below = account.total + account.since_total < FREE_PART * window;
        let is_open = account.bucket.is_open(now, saved);
        if !(is_open || is_fresh && is_far_below) {
            return Err(account.bucket.open_in().max(SHORTEST_WAIT).min(LONGEST_WAIT));
        }
        account.spend(now, amount);
        Ok(())
    }

    /// Gives back what a call took that did not run.
    pub fn give_back(&mut self, now: Millis, name: &Name, amount: f64) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.spend(now, -amount);
        }
    }

    /// Returns the demand here by account.
    pub fn report(&mut self, now: Millis) -> Vec<AccountReport> {
        let reports = self.accounts.iter_mut().map(|(name, account)| AccountReport {
            account: name.clone(),
            asked_per_s: account.asked.at(now),
            admitted: account.admitted.sum(now),
        });
        reports.filter(|report| report.asked_per_s > 0.0 || report.admitted > 0.0).collect()
    }

    fn set_rates(&mut self, now: Millis) {
        let (bounds, even) = (self.bounds, 1.0 / f64::from(self.entries));
        for account in self.accounts.values_mut() {
            let share = account.share.unwrap_or(even);
            let saved = saved(account.limit, bounds);
            account.bucket.set_rate(now, account.limit.rate * share, saved);
        }
    }

    fn saved(&self, limit: Limit) -> Millis {
        saved(limit, self.bounds)
    }
}

impl Account {
    fn spend(&mut self, now: Millis, amount: f64) {
        self.bucket.take(amount);
        self.admitted.add(now, amount);
        self.since_total += amount;
    }
}

/// Returns the time for which unused rate is saved up: the burst, and half of the slack. The other
/// half is left for calls larger than what a bucket holds, which go into debt.
fn saved(limit: Limit, bounds: LimitBounds) -> Millis {
    const SLACK_PART: f64 = 0.5;
    let amount = limit.burst + bounds.slack * SLACK_PART;
    Millis((amount / limit.rate.max(1e-9) * 1000.0) as u64)
}

impl Average {
    fn add(&mut self, now: Millis, amount: f64) {
        self.decay(now);
        self.rate += amount / AVERAGE.as_secs_f64();
    }

    fn at(&mut self, now: Millis) -> f64 {
        const NEGLIGIBLE: f64 = 1e-3;
        self.decay(now);
        if self.rate < NEGLIGIBLE { 0.0 } else { self.rate }
    }

    fn decay(&mut self, now: Millis) {
        let passed = (now - self.at).as_secs_f64() / AVERAGE.as_secs_f64();
        self.rate *= (-passed).exp();
        self.at = self.at.max(now);
    }
}

impl Window {
    fn add(&mut self, now: Millis, amount: f64) {
        let number = now.0 / SLICE.0;
        match self.slices.back_mut() {
            Some(slice) if slice.number >= number => slice.amount += amount,
            _ => self.slices.push_back(Slice { number, amount }),
        }
    }

    fn sum(&mut self, now: Millis) -> f64 {
        let oldest = (now - LIMIT_WINDOW).0 / SLICE.0;
        while self.slices.front().is_some_and(|slice| slice.number < oldest) {
            self.slices.pop_front();
        }
        self.slices.iter().map(|slice| slice.amount).sum::<f64>().max(0.0)
    }
}
