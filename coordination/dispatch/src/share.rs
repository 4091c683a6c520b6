//! Limits of client accounts over all entry instances.
//!
//! Each entry instance admits calls from a token bucket that is filled at its share of the
//! account's limit, by its part of the demand. As long as all entry instances together are far
//! below the limit, none of them refuses a call: with eight of them a share is less than one large
//! prompt, and calls would be refused within the limit.

use sill_base::{Map, Millis, Name};
use sill_wire::link::{AccountReport, AccountTotal, Totals};

use crate::share::account::{ADMITTED_RATE_SPAN, Account, DEMAND_SPAN, Limit, accumulation_span};
use crate::table::RouteTable;
use crate::totals::SHARE_HELD_FOR;

mod account;
mod estimate;
mod over_limit;
mod window;

pub use estimate::{AdmittedByReason, LimitEstimate};
pub use over_limit::OverLimit;

/// Number of entry instances that is presumed until the first totals arrive. Too low a number gives
/// each of them too large a share; the smallest deployments have seven.
const PRESUMED_ENTRIES: u32 = 16;

/// Typical age of the reports from which totals are made, in addition to the age of the totals.
const TYPICAL_REPORT_AGE: Millis = Millis(250);

/// Age of totals from which on only the own share of a limit is used.
pub const MAX_TOTALS_AGE: Millis = Millis(1500);

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Millis = Millis(250);

/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Millis = Millis(5000);

/// How far limits may be exceeded, over all entry instances and one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBounds {
    /// Amount that may be admitted in addition to any limit.
    pub slack: f64,
}

/// The limits of all accounts at one entry instance.
#[derive(Debug)]
pub struct LimitShares {
    bounds: LimitBounds,
    accounts: Map<Name, Account>,
    entries: u32,
    totals_at: Option<Millis>,
    /// Newest totals by account.
    totals: Map<Name, AccountTotal>,
    /// Unreported time of the accounts that are not in `totals`, in seconds of their limits.
    unreported_s: f64,
    admitted: AdmittedByReason,
}

impl LimitShares {
    /// Creates shares without any account.
    pub fn new(bounds: LimitBounds) -> Self {
        Self {
            bounds,
            accounts: Map::default(),
            entries: PRESUMED_ENTRIES,
            totals_at: None,
            totals: Map::default(),
            unreported_s: 0.0,
            admitted: AdmittedByReason::default(),
        }
    }

    /// Applies the limits of a route table. Accounts that are known already keep their buckets.
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
                None => self.open_account(now, name, limit),
            };
            kept.insert(name.clone(), account);
        }
        self.accounts = kept;
        self.set_rates(now);
    }

    fn open_account(&self, now: Millis, name: &Name, limit: Limit) -> Account {
        let share = 1.0 / f64::from(self.entries);
        let mut account = Account::open(now, limit, share, self.bounds);
        // Totals arrive before the first settings. Without applying them here, an instance that has
        // just started would take the account for unused.
        match (self.totals_at, self.totals.get(name)) {
            (Some(totals_at), Some(total)) => {
                account.apply_total(totals_at - TYPICAL_REPORT_AGE, self.entries, total)
            }
            (Some(_), None) => account.apply_no_total(self.unreported_s),
            (None, _) => {}
        }
        account
    }

    /// Applies the demand over all entry instances. Totals older than the known ones are ignored.
    pub fn set_totals(&mut self, now: Millis, totals: &Totals) {
        let totals_at = now - totals.age;
        if self.totals_at.is_some_and(|known| totals_at < known) {
            return;
        }
        self.entries = totals.entries.max(1);
        self.totals_at = Some(totals_at);
        self.totals = totals.accounts.iter().map(|t| (t.account.clone(), t.clone())).collect();
        self.unreported_s = totals.unreported_s;
        for (name, account) in &mut self.accounts {
            match self.totals.get(name) {
                Some(total) => {
                    account.apply_total(totals_at - TYPICAL_REPORT_AGE, self.entries, total)
                }
                None => account.apply_no_total(self.unreported_s),
            }
        }
        self.set_rates(now);
    }

    /// Admits a call, or refuses it with a time to retry after.
    ///
    /// # Errors
    ///
    /// Fails if the account is over its limit here.
    pub fn admit(&mut self, now: Millis, name: &Name, amount: f64) -> Result<(), OverLimit> {
        let even_share = 1.0 / f64::from(self.entries);
        let is_fresh = self.totals_at.is_some_and(|totals_at| now - totals_at < MAX_TOTALS_AGE);
        let unreported_span = self.unreported_span(now);
        let Some(account) = self.accounts.get_mut(name) else { return Ok(()) };
        account.demand.add(now, DEMAND_SPAN, amount);
        let accumulation_span = accumulation_span(account.limit, self.bounds);
        let is_far_below = account.is_far_below(unreported_span, amount, self.bounds);
        // A prompt may be larger than a small share ever holds; it then needs a full bucket and
        // puts it into debt. If any balance were enough, every entry instance could go into debt at
        // once.
        let has_share = account.bucket.can_cover(now, accumulation_span, amount);
        // Prompts larger than any share put each entry instance into debt for one of its own; with
        // hundreds of entry instances that alone exceeds the limit.
        let exceeds_total =
            account.presumed_total(unreported_span) + amount > account.max_admitted(self.bounds);
        let is_admitted =
            if is_fresh { is_far_below || has_share && !exceeds_total } else { has_share };
        if !is_admitted {
            account.has_refused = true;
            let (here, everywhere) = account.waits(unreported_span, amount, self.bounds);
            let wait = match (is_fresh, has_share) {
                (false, _) => here,
                (true, true) => everywhere,
                // The account has room again once enough admitted amounts have left the window,
                // usually long before a large debt here is paid.
                (true, false) => here.min(everywhere),
            };
            return Err(OverLimit {
                retry_after: wait.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER),
                rate: account.limit.rate,
                share: account.share.unwrap_or(even_share),
                balance: account.bucket.balance(),
                admitted: account.presumed_total(unreported_span),
                totals_age: self.totals_at.map(|totals_at| now - totals_at),
            });
        }
        let amounts = match (is_fresh, is_far_below) {
            (true, true) => AdmittedByReason { far_below: amount, ..AdmittedByReason::default() },
            (true, false) => AdmittedByReason { share: amount, ..AdmittedByReason::default() },
            (false, _) => AdmittedByReason { stale: amount, ..AdmittedByReason::default() },
        };
        account.admitted_by_reason.add(amounts);
        self.admitted.add(amounts);
        account.spend(now, amount);
        Ok(())
    }

    /// Returns the amounts admitted since the last call.
    pub fn take_admitted(&mut self) -> AdmittedByReason {
        std::mem::take(&mut self.admitted)
    }

    /// Returns estimates for the accounts that are near their limits, at most once a second per
    /// account.
    pub fn take_estimates(&mut self, now: Millis) -> Vec<(Name, LimitEstimate)> {
        let unreported_span = self.unreported_span(now);
        let accounts = self.accounts.iter_mut();
        accounts
            .filter_map(|(name, account)| {
                Some((name.clone(), account.take_estimate(now, unreported_span)?))
            })
            .collect()
    }

    /// Returns the number of entry instances, presumed or from totals, and the age of the newest
    /// totals if any were received.
    pub fn entries_and_totals_age(&self, now: Millis) -> (u32, Option<Millis>) {
        (self.entries, self.totals_at.map(|totals_at| now - totals_at))
    }

    /// Returns the number of entry instances from the newest totals, or 0 if these are too old.
    pub fn recent_entries(&self, now: Millis) -> u32 {
        let is_recent = self.totals_at.is_some_and(|totals_at| now - totals_at < SHARE_HELD_FOR);
        if is_recent { self.entries } else { 0 }
    }

    /// Returns the span before now for which admitted amounts are not in the totals yet.
    fn unreported_span(&self, now: Millis) -> Millis {
        TYPICAL_REPORT_AGE + self.totals_at.map_or(Millis::ZERO, |totals_at| now - totals_at)
    }

    /// Returns whether a call should wait for the first totals: none were received yet, and the
    /// presumed share of the limit does not cover the call.
    pub fn needs_totals(&self, name: &Name, amount: f64) -> bool {
        let account = self.accounts.get(name).filter(|_| self.totals_at.is_none());
        account.is_some_and(|account| !account.holds(amount))
    }

    /// Returns to the account what a call that did not run was charged.
    pub fn refund(&mut self, now: Millis, name: &Name, amount: f64) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.spend(now, -amount);
        }
    }

    /// Returns the demand at this entry instance by account.
    pub fn report(&mut self, now: Millis) -> Vec<AccountReport> {
        let (even_share, unreported_span) =
            (1.0 / f64::from(self.entries), self.unreported_span(now));
        let reports = self.accounts.iter_mut().map(|(name, account)| AccountReport {
            account: name.clone(),
            asked_per_s: account.report_demand(now),
            admitted: account.admitted.sum(now),
            by_second: account.by_second(now, unreported_span),
            admitted_per_s: account.admitted_rate.per_second(now, ADMITTED_RATE_SPAN),
            share: account.share.unwrap_or(even_share),
        });
        reports.filter(|report| report.asked_per_s > 0.0 || report.admitted > 0.0).collect()
    }

    fn set_rates(&mut self, now: Millis) {
        let (bounds, even_share) = (self.bounds, 1.0 / f64::from(self.entries));
        for account in self.accounts.values_mut() {
            let share = account.share.unwrap_or(even_share);
            let accumulation_span = accumulation_span(account.limit, bounds);
            account.bucket.set_rate(now, account.limit.rate * share, accumulation_span);
        }
    }
}
