//! Limits of client accounts over all entry instances, on routes.
//!
//! Each entry instance admits out of a token bucket that is filled with its share of the limit, by
//! its part of the demand. While all together are far below the limit nothing is refused: a share
//! of an eighth is less than one large prompt, and the account would be refused within its limit.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};

use sill_base::{Map, Millis, Name};
use sill_limit::Bucket;
use sill_wire::link::{AccountReport, LIMIT_WINDOW, Totals};

use crate::average::Average;
use crate::table::RouteTable;

/// Part of a limit that is spread evenly, so that an account may begin anywhere.
const EVEN_PART: f64 = 0.15;

/// Entry instances that are presumed until the number is known. Too few would give each of them too
/// large a share; the smallest deployments have seven.
const PRESUMED_ENTRIES: u32 = 16;

/// Part of what an account is owed in a window, below which nothing is refused.
const FREE_PART: f64 = 0.96;

/// Part of the slack that is added to it. Small limits are mostly slack.
const FREE_SLACK: f64 = 0.1;

/// Part of the slack that may be admitted beyond what an account is owed.
const GUARD_SLACK: f64 = 0.2;

/// Time until an entry instance notices that a limit is reached. What is asked for beyond the limit
/// meanwhile is kept free below it.
const REACTION: Millis = Millis(1000);

/// How old the reports are that totals are made of, beside the age of the totals.
const REPORT_AGE: Millis = Millis(250);

/// Age of totals from which on only the own share counts.
const FRESH: Millis = Millis(1500);

/// Span of the moving average of demand. A single large prompt would otherwise take the whole share.
const AVERAGE: Millis = Millis(4000);

/// Demand in a second below which an account counts as idle.
const NEGLIGIBLE: f64 = 1e-3;

/// Span of the moving average of what is admitted, by which older sums are brought up to date.
const RECENT: Millis = Millis(700);

/// How long reports are kept to be held against totals.
const KEPT_REPORTS: Millis = Millis(3000);

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

/// A refusal for a limit, with what decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverLimit {
    /// When to come back.
    pub wait: Millis,
    /// The limit, in a second.
    pub rate: f64,
    /// The part of it that is given out here.
    pub share: f64,
    /// What is left here; below zero, a large call was admitted before.
    pub balance: f64,
    /// What all are presumed to have admitted in [`LIMIT_WINDOW`].
    pub admitted: f64,
    /// How old the totals are; none were heard yet.
    pub age: Option<Millis>,
}

impl Display for OverLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { rate, share, balance, admitted, .. } = self;
        write!(
            f,
            "{share:.3} of {rate:.0}/s, {balance:.0} left, {admitted:.0} admitted everywhere"
        )?;
        match self.age {
            Some(age) => write!(f, " as of {age} ms ago"),
            None => f.write_str(", no totals heard"),
        }
    }
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
    /// The average demand as it was reported, since totals come back later.
    reported: VecDeque<Reported>,
    recent: Average,
    admitted: Window,
    /// Admitted everywhere in the last window, when it was last heard.
    total: f64,
    /// Admitted everywhere in a second, then.
    total_per_s: f64,
    since_total: f64,
    total_asked_per_s: f64,
    share: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    asked_per_s: f64,
    at: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    rate: f64,
    burst: f64,
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
            asked: Average::new(now),
            reported: VecDeque::new(),
            recent: Average::new(now),
            admitted: Window::default(),
            total: 0.0,
            total_per_s: 0.0,
            since_total: 0.0,
            total_asked_per_s: 0.0,
            share: None,
        }
    }

    /// Takes in the demand over all entry instances.
    pub fn set_totals(&mut self, now: Millis, totals: &Totals) {
        self.entries = totals.entries.max(1);
        self.heard = Some(now - totals.age);
        for total in &totals.accounts {
            let Some(account) = self.accounts.get_mut(&total.account) else { continue };
            let own = account.told(now - totals.age - REPORT_AGE);
            let all = total.asked_per_s.max(own);
            let by_demand = if all > 0.0 { own / all } else { 0.0 };
            let even = EVEN_PART / f64::from(self.entries);
            let left = 1.0 - total.held;
            account.share = Some(left * ((1.0 - EVEN_PART) * by_demand + even));
            // What those admit that are not heard of is not in the sum.
            let elsewhere = total.held * account.limit.rate * LIMIT_WINDOW.as_secs_f64();
            account.total = total.admitted + elsewhere;
            account.total_per_s = total.admitted_per_s;
            account.since_total = 0.0;
            account.total_asked_per_s = total.asked_per_s;
        }
        self.set_rates(now);
    }

    /// Admits a call, or tells when to come back.
    ///
    /// # Errors
    ///
    /// Fails with the time to wait where the account is over its limit here.
    pub fn admit(&mut self, now: Millis, name: &Name, amount: f64) -> Result<(), OverLimit> {
        let even = 1.0 / f64::from(self.entries);
        let is_fresh = self.heard.is_some_and(|heard| now - heard < FRESH);
        let unseen = REPORT_AGE + self.heard.map_or(Millis::ZERO, |heard| now - heard);
        let Some(account) = self.accounts.get_mut(name) else { return Ok(()) };
        account.asked.add(now, AVERAGE, amount);
        let saved = saved(account.limit, self.bounds);
        let is_far_below = account.presumed_total(unseen) + amount < account.free(self.bounds);
        // A prompt may be larger than what a small share ever holds; it then takes a full bucket and
        // goes into debt. Were any rest enough, each entry instance could go into debt at once.
        let is_open = account.bucket.covers(now, saved, amount);
        // Prompts that no share ever holds go into debt, each entry instance with one of its own; of hundreds
        // of them that alone is more than the limit.
        let is_over = account.presumed_total(unseen) + amount > account.most(self.bounds);
        let is_let_in = if is_fresh { is_far_below || is_open && !is_over } else { is_open };
        if !is_let_in {
            let (here, everywhere) = account.waits(unseen, amount, self.bounds);
            let wait = match (is_fresh, is_open) {
                (false, _) => here,
                (true, true) => everywhere,
                // The account has room again once what all admitted has left the window, mostly long before a
                // large debt here is paid.
                (true, false) => here.min(everywhere),
            };
            return Err(OverLimit {
                wait: wait.max(SHORTEST_WAIT).min(LONGEST_WAIT),
                rate: account.limit.rate,
                share: account.share.unwrap_or(even),
                balance: account.bucket.balance(),
                admitted: account.presumed_total(unseen),
                age: self.heard.map(|heard| now - heard),
            });
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
        let even = 1.0 / f64::from(self.entries);
        let reports = self.accounts.iter_mut().map(|(name, account)| AccountReport {
            account: name.clone(),
            asked_per_s: account.tell(now),
            admitted: account.admitted.sum(now),
            admitted_per_s: account.recent.at(now, RECENT),
            share: account.share.unwrap_or(even),
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
    /// Returns how much may be admitted everywhere in a window without a look at the own share.
    fn free(&self, bounds: LimitBounds) -> f64 {
        // What is admitted shows a jump of demand seconds before the average of what is asked for does.
        let demand = self.total_asked_per_s.max(self.total_per_s);
        let excess = (demand - self.limit.rate).max(0.0);
        FREE_PART * self.owed() + FREE_SLACK * bounds.slack - excess * REACTION.as_secs_f64()
    }

    /// Returns what the account may use in a window.
    fn owed(&self) -> f64 {
        self.limit.rate * LIMIT_WINDOW.as_secs_f64() + self.limit.burst
    }

    /// Returns how much may be admitted everywhere in a window at all, as far as is known.
    fn most(&self, bounds: LimitBounds) -> f64 {
        self.owed() + GUARD_SLACK * bounds.slack
    }

    /// Returns when an amount fits here, into the own share, and when everywhere, into what all may admit.
    fn waits(&self, unseen: Millis, amount: f64, bounds: LimitBounds) -> (Millis, Millis) {
        let here = self.bucket.holds_in(amount);
        let beyond = (self.presumed_total(unseen) + amount - self.free(bounds)).max(0.0);
        let everywhere = Millis((beyond / self.limit.rate.max(1e-9) * 1000.0) as u64);
        (here, everywhere)
    }

    /// Returns what all are presumed to have admitted in the last window, of which what came after the
    /// reports is unseen. While demand jumps, that alone may be a second's worth of the limit.
    fn presumed_total(&self, unseen: Millis) -> f64 {
        self.total + self.total_per_s * unseen.as_secs_f64() + self.since_total
    }

    fn tell(&mut self, now: Millis) -> f64 {
        let asked_per_s = self.asked.at(now, AVERAGE);
        let asked_per_s = if asked_per_s < NEGLIGIBLE { 0.0 } else { asked_per_s };
        self.reported.push_back(Reported { asked_per_s, at: now });
        while self.reported.front().is_some_and(|told| now - told.at > KEPT_REPORTS) {
            self.reported.pop_front();
        }
        asked_per_s
    }

    /// Returns what was reported last at a point in time.
    ///
    /// Held against totals that are older, the present demand would give every entry instance too
    /// large a share while demand grows everywhere, and all shares together more than the limit.
    fn told(&self, at: Millis) -> f64 {
        let before = self.reported.iter().rev().find(|told| told.at <= at);
        before.or(self.reported.front()).map_or(0.0, |told| told.asked_per_s)
    }

    fn spend(&mut self, now: Millis, amount: f64) {
        self.bucket.take(amount);
        self.recent.add(now, RECENT, amount);
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
