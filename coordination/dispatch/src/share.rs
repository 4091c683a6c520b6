//! Limits of client accounts over all entry instances, on routes.
//!
//! Each entry instance admits out of a token bucket that is filled with its share of the limit, by
//! its part of the demand. While all together are far below the limit nothing is refused: a share
//! of an eighth is less than one large prompt, and the account would be refused within its limit.

use sill_base::{Map, Millis, Name};
use sill_wire::link::{AccountReport, AccountTotal, Totals};

use crate::share::account::{AVERAGE, Account, Limit, RECENT, saved};
use crate::table::RouteTable;
use crate::totals::SHARE_HELD;

mod account;
mod belief;
mod over;
mod window;

pub use belief::{LetIn, LimitBelief};
pub use over::OverLimit;

/// Entry instances that are presumed until the number is known. Too few would give each of them too
/// large a share; the smallest deployments have seven.
const PRESUMED_ENTRIES: u32 = 16;

/// How old the reports are that totals are made of, beside the age of the totals.
const REPORT_AGE: Millis = Millis(250);

/// Age of totals from which on only the own share counts.
pub const FRESH: Millis = Millis(1500);

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
    /// The newest totals by account.
    totals: Map<Name, AccountTotal>,
    /// What they say of all other accounts.
    untold_s: f64,
    let_in: LetIn,
}

impl Shares {
    /// Makes shares of no account.
    pub fn new(bounds: LimitBounds) -> Self {
        Self {
            bounds,
            accounts: Map::default(),
            entries: PRESUMED_ENTRIES,
            heard: None,
            totals: Map::default(),
            untold_s: 0.0,
            let_in: LetIn::default(),
        }
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
                None => self.open(now, name, limit),
            };
            kept.insert(name.clone(), account);
        }
        self.accounts = kept;
        self.set_rates(now);
    }

    fn open(&self, now: Millis, name: &Name, limit: Limit) -> Account {
        let share = 1.0 / f64::from(self.entries);
        let mut account = Account::open(now, limit, share, self.bounds);
        // Totals come before the first settings do. Were they forgotten, an instance that has just started would
        // take the account for unused.
        match (self.heard, self.totals.get(name)) {
            (Some(heard), Some(total)) => account.hear(heard - REPORT_AGE, self.entries, total),
            (Some(_), None) => account.hear_nothing(self.untold_s),
            (None, _) => {}
        }
        account
    }

    /// Takes in the demand over all entry instances; older totals than those that are known change nothing.
    pub fn set_totals(&mut self, now: Millis, totals: &Totals) {
        let heard = now - totals.age;
        if self.heard.is_some_and(|known| heard < known) {
            return;
        }
        self.entries = totals.entries.max(1);
        self.heard = Some(heard);
        self.totals = totals.accounts.iter().map(|t| (t.account.clone(), t.clone())).collect();
        self.untold_s = totals.untold_s;
        for (name, account) in &mut self.accounts {
            match self.totals.get(name) {
                Some(total) => account.hear(heard - REPORT_AGE, self.entries, total),
                None => account.hear_nothing(self.untold_s),
            }
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
        let unseen = self.unseen(now);
        let Some(account) = self.accounts.get_mut(name) else { return Ok(()) };
        account.asked.add(now, AVERAGE, amount);
        let saved = saved(account.limit, self.bounds);
        let is_far_below = account.is_far_below(unseen, amount, self.bounds);
        // A prompt may be larger than what a small share ever holds; it then takes a full bucket and
        // goes into debt. Were any rest enough, each entry instance could go into debt at once.
        let is_open = account.bucket.can_cover(now, saved, amount);
        // Prompts that no share ever holds go into debt, each entry instance with one of its own; of hundreds
        // of them that alone is more than the limit.
        let is_over = account.presumed_total(unseen) + amount > account.most(self.bounds);
        let is_let_in = if is_fresh { is_far_below || is_open && !is_over } else { is_open };
        if !is_let_in {
            account.has_refused = true;
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
        let let_in = match (is_fresh, is_far_below) {
            (true, true) => LetIn { far_below: amount, ..LetIn::default() },
            (true, false) => LetIn { share: amount, ..LetIn::default() },
            (false, _) => LetIn { stale: amount, ..LetIn::default() },
        };
        account.let_in.add(let_in);
        self.let_in.add(let_in);
        account.spend(now, amount);
        Ok(())
    }

    /// Returns what was let in since it was last asked for.
    pub fn take_let_in(&mut self) -> LetIn {
        std::mem::take(&mut self.let_in)
    }

    /// Returns what is believed of the accounts that are near their limits; of each at most once a second.
    pub fn beliefs(&mut self, now: Millis) -> Vec<(Name, LimitBelief)> {
        let unseen = self.unseen(now);
        let accounts = self.accounts.iter_mut();
        accounts
            .filter_map(|(name, account)| Some((name.clone(), account.belief(now, unseen)?)))
            .collect()
    }

    /// Returns how many entry instances are presumed, and how old the newest totals are, if any were heard.
    pub fn heard(&self, now: Millis) -> (u32, Option<Millis>) {
        (self.entries, self.heard.map(|heard| now - heard))
    }

    /// Returns how many entry instances there were by totals that are not too old to tell.
    pub fn told_entries(&self, now: Millis) -> u32 {
        let is_recent = self.heard.is_some_and(|heard| now - heard < SHARE_HELD);
        if is_recent { self.entries } else { 0 }
    }

    /// Returns for how long what is admitted is in no total yet.
    fn unseen(&self, now: Millis) -> Millis {
        REPORT_AGE + self.heard.map_or(Millis::ZERO, |heard| now - heard)
    }

    /// Returns whether a call needs the totals, and none were heard yet: the part of the limit that is presumed
    /// here does not cover it.
    pub fn needs_totals(&self, name: &Name, amount: f64) -> bool {
        let account = self.accounts.get(name).filter(|_| self.heard.is_none());
        account.is_some_and(|account| !account.holds(amount))
    }

    /// Gives back what a call took that did not run.
    pub fn give_back(&mut self, now: Millis, name: &Name, amount: f64) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.spend(now, -amount);
        }
    }

    /// Returns the demand here by account.
    pub fn report(&mut self, now: Millis) -> Vec<AccountReport> {
        let (even, unseen) = (1.0 / f64::from(self.entries), self.unseen(now));
        let reports = self.accounts.iter_mut().map(|(name, account)| AccountReport {
            account: name.clone(),
            asked_per_s: account.tell(now),
            admitted: account.admitted.sum(now),
            by_second: account.by_second(now, unseen),
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
}
