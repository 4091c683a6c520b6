//! The demand for each account over all entry instances, and what those may admit that are not heard of.
//!
//! What is not known of an entry instance is not taken for nothing. One that is cut off goes on with the
//! share that it had; what a life that is over has admitted stays in the window; and what no report tells
//! is presumed to be an even part of the limit.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_wire::link::{AccountReport, AccountTotal, LIMIT_WINDOW, Totals};

use crate::share::MAX_TOTALS_AGE;
use crate::usage::{EntryIncarnations, ReportStore, StoredReport};

/// Age of a report from which on an entry instance counts as silent. Reports come every 250 ms by way of two
/// control instances; one that is lost is made good within 850 ms.
const SILENT: Millis = Millis(1000);

/// Time for which a silent entry instance keeps its shares. It may be cut off and go on; cuts last for
/// some seconds.
pub const SHARE_HELD_FOR: Millis = Millis(15_000);

/// Time after which a new leader has heard of all entry instances that can reach it: a poll and a call
/// between control instances, twice.
const ALL_HEARD: Millis = Millis(700);

/// Time before the end of a life of which no report told.
const UNREPORTED: Millis = Millis(250);

/// Length of the slices in which reports tell what was admitted.
const SECOND: Millis = Millis(1000);

/// Adds up reports, as the leader.
#[derive(Debug, Default)]
pub struct TotalsAggregator {
    began: Millis,
    /// Entry instances that the leader before knew, or that others say they were told of.
    expected: u32,
    /// What the leader before said of those that were silent.
    held: Map<Name, f64>,
    counted: EntryCounts,
}

/// The entry instances that were added up.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct EntryCounts {
    /// Those whose reports are new enough to be summed.
    pub reporting: u32,
    /// Those that reported a while ago.
    pub silent: u32,
    /// Those that this leader has not heard of.
    pub unknown: u32,
}

/// What is summed for one account.
#[derive(Debug, Default)]
struct Sum {
    asked_per_s: f64,
    admitted: f64,
    admitted_per_s: f64,
    held: f64,
    untold_s: f64,
}

impl TotalsAggregator {
    /// Begins to lead. `last` are the totals of the leader before, which may know of entry instances that
    /// were cut off since.
    pub fn begin(&mut self, now: Millis, last: Option<&Totals>) {
        let last = last.filter(|last| last.age < SHARE_HELD_FOR);
        self.began = now;
        self.expected = last.map_or(0, |last| last.entries);
        let held = last.into_iter().flat_map(|last| &last.accounts);
        self.held = held.map(|total| (total.account.clone(), total.held)).collect();
    }

    /// Adds up the newest reports; nothing while too few are in.
    pub fn aggregate(&mut self, now: Millis, ledger: &ReportStore) -> Option<Totals> {
        let lives = ledger.incarnations(now, SHARE_HELD_FOR);
        self.expect(now, &lives);
        let known = lives.len() as u32;
        let entries = known.max(self.expected).max(1);
        let unknown = entries - known;
        let heard = lives.iter().filter(|lives| is_heard(now, lives.newest)).count() as u32;
        // The first few reports would be taken for all.
        let is_complete = self.expected > 0 && heard == entries;
        if now - self.began < ALL_HEARD && !is_complete {
            return None;
        }
        self.counted = EntryCounts { reporting: heard, silent: known - heard, unknown };

        let mut sums: BTreeMap<&Name, Sum> = BTreeMap::new();
        for lives in &lives {
            add_life(now, lives.newest, &mut sums);
            lives.earlier.iter().for_each(|earlier| add_earlier_life(now, earlier, &mut sums));
        }
        let untold_s = lives.iter().map(|lives| untold(now, lives)).sum::<f64>();
        let untold_s = untold_s / f64::from(entries);
        let accounts = sums.into_iter().map(|(account, sum)| {
            let held = self.held_by_unknown(account, unknown, entries);
            AccountTotal {
                account: account.clone(),
                asked_per_s: sum.asked_per_s,
                admitted: sum.admitted,
                admitted_per_s: sum.admitted_per_s,
                held: (sum.held + held).min(1.0),
                untold_s: Some(sum.untold_s + untold_s + held * LIMIT_WINDOW.as_secs_f64()),
            }
        });
        let accounts = accounts.collect();
        let unknown_s = LIMIT_WINDOW.as_secs_f64() * f64::from(unknown) / f64::from(entries);
        Some(Totals { age: Millis::ZERO, entries, untold_s: untold_s + unknown_s, accounts })
    }

    /// Returns whom the last sums are made of.
    pub fn entry_counts(&self) -> EntryCounts {
        self.counted
    }

    /// Works out how many entry instances there should be. For as long as one that is cut off keeps its
    /// shares, those count that others were told of before this leader began.
    fn expect(&mut self, now: Millis, lives: &[EntryIncarnations<'_>]) {
        if now - self.began >= SHARE_HELD_FOR {
            self.expected = 0;
            return;
        }
        let told = lives.iter().filter(|lives| is_heard(now, lives.newest));
        let told = told.map(|lives| lives.newest.report.entries).max();
        self.expected = self.expected.max(told.unwrap_or_default());
    }

    /// Returns what entry instances hold of a limit that this leader has not heard of: what the one before
    /// said of the silent ones, at least an even part for each.
    fn held_by_unknown(&self, account: &Name, unknown: u32, entries: u32) -> f64 {
        if unknown == 0 {
            return 0.0;
        }
        let even = f64::from(unknown) / f64::from(entries);
        self.held.get(account).copied().unwrap_or_default().max(even)
    }
}

fn is_heard(now: Millis, newest: &StoredReport) -> bool {
    newest.age(now) < SILENT
}

/// Adds what an entry instance told last.
fn add_life<'a>(now: Millis, newest: &'a StoredReport, sums: &mut BTreeMap<&'a Name, Sum>) {
    let age = newest.age(now);
    for account in &newest.report.accounts {
        let sum = sums.entry(&account.account).or_default();
        if is_heard(now, newest) {
            sum.asked_per_s += account.asked_per_s;
            sum.admitted += account.admitted;
            sum.admitted_per_s += account.admitted_per_s;
        } else {
            // For as long as it takes its totals for fresh, it goes on as before.
            let as_before = age.min(MAX_TOTALS_AGE) - (age - LIMIT_WINDOW);
            let by_share = (age - MAX_TOTALS_AGE).min(LIMIT_WINDOW);
            sum.admitted +=
                still_in_window(account, age) + account.admitted_per_s * as_before.as_secs_f64();
            sum.held += account.share;
            sum.untold_s += account.share * by_share.as_secs_f64();
        }
    }
}

/// Adds what a life that is over has admitted.
fn add_earlier_life<'a>(
    now: Millis,
    earlier: &'a StoredReport,
    sums: &mut BTreeMap<&'a Name, Sum>,
) {
    let age = earlier.age(now);
    if age >= LIMIT_WINDOW {
        return;
    }
    for account in &earlier.report.accounts {
        let unreported = account.admitted_per_s * UNREPORTED.as_secs_f64();
        let sum = sums.entry(&account.account).or_default();
        sum.admitted += still_in_window(account, age) + unreported;
    }
}

/// Returns what an account was admitted that is still in the window some time after the report.
fn still_in_window(account: &AccountReport, age: Millis) -> f64 {
    if account.by_second.is_empty() {
        return if age < LIMIT_WINDOW { account.admitted } else { 0.0 };
    }
    let seconds = (LIMIT_WINDOW - age).0.div_ceil(SECOND.0) as usize;
    account.by_second.iter().take(seconds).sum::<u64>() as f64
}

/// Returns for how many seconds of the window nothing is known of an entry instance, neither of its life nor
/// of one before it. One that doesn't tell when it began counts as old.
fn untold(now: Millis, lives: &EntryIncarnations<'_>) -> f64 {
    let all = lives.earlier.iter().copied().chain([lives.newest]);
    let up = all.map(|life| life.uptime(now).unwrap_or(LIMIT_WINDOW)).max();
    (LIMIT_WINDOW - up.unwrap_or_default()).as_secs_f64()
}
