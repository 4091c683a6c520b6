//! Aggregation of account demand over all entry instances, including an estimate of what instances
//! without current reports may admit.
//!
//! Missing reports do not count as zero. An entry instance that is cut off continues with the share
//! that it had; what an earlier incarnation admitted stays in the window; and for time without any
//! report, an even part of the limit is presumed.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_wire::link::{AccountReport, AccountTotal, LIMIT_WINDOW, QueueLoad, QueueTotal, Totals};

use crate::share::MAX_TOTALS_AGE;
use crate::usage::{EntryIncarnations, ReportStore, StoredReport};

/// Age of a report from which on an entry instance counts as silent. Reports arrive every 250 ms by
/// way of two control instances; a lost one is made up for within 850 ms.
const SILENT_AFTER: Millis = Millis(1000);

/// How long a silent entry instance keeps its shares. It may be cut off and continue; partitions
/// last for some seconds.
pub const SHARE_HELD_FOR: Millis = Millis(15_000);

/// Time after which a new leader has reports of all entry instances that can reach it: a poll and a
/// call between control instances, twice.
const LEADER_WARMUP: Millis = Millis(700);

/// Time before the end of an incarnation that its last report does not cover.
const UNREPORTED_TAIL: Millis = Millis(250);

/// Length of the slices in which reports list admitted amounts.
const REPORT_SLICE: Millis = Millis(1000);

/// Aggregates reports into totals, on the leader.
#[derive(Debug, Default)]
pub struct TotalsAggregator {
    began_at: Millis,
    /// Entry instances that the previous leader knew, or that other entry instances were informed
    /// of.
    expected: u32,
    /// Parts of the limits held by silent entry instances according to the previous leader.
    held: Map<Name, f64>,
    entry_counts: EntryCounts,
}

/// Numbers of entry instances by the state of their reports.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct EntryCounts {
    /// Those whose reports are recent enough to be summed.
    pub reporting: u32,
    /// Those whose last report is too old to be summed.
    pub silent: u32,
    /// Those without any report at this leader.
    pub unknown: u32,
}

/// Sums for one account.
#[derive(Debug, Default)]
struct AccountSum {
    asked_per_s: f64,
    admitted: f64,
    admitted_per_s: f64,
    held: f64,
    unreported_s: f64,
}

impl TotalsAggregator {
    /// Begins aggregation at a new leader. `last` are the totals of the previous leader, which may
    /// include entry instances that were cut off since.
    pub fn begin(&mut self, now: Millis, last: Option<&Totals>) {
        let last = last.filter(|last| last.age < SHARE_HELD_FOR);
        self.began_at = now;
        self.expected = last.map_or(0, |last| last.entries);
        let held = last.into_iter().flat_map(|last| &last.accounts);
        self.held = held.map(|total| (total.account.clone(), total.held)).collect();
    }

    /// Returns the totals of the newest reports, or `None` while too few were received.
    pub fn aggregate(&mut self, now: Millis, reports: &ReportStore) -> Option<Totals> {
        let by_entry = reports.incarnations(now, SHARE_HELD_FOR);
        self.update_expected(now, &by_entry);
        let reported = by_entry.len() as u32;
        let entries = reported.max(self.expected).max(1);
        let unknown = entries - reported;
        let reporting =
            by_entry.iter().filter(|entry| is_reporting(now, entry.newest)).count() as u32;
        // Otherwise the first few reports would pass for all.
        let is_complete = self.expected > 0 && reporting == entries;
        if now - self.began_at < LEADER_WARMUP && !is_complete {
            return None;
        }
        self.entry_counts = EntryCounts { reporting, silent: reported - reporting, unknown };

        let mut sums: BTreeMap<&Name, AccountSum> = BTreeMap::new();
        for entry in &by_entry {
            add_newest(now, entry.newest, &mut sums);
            entry.earlier.iter().for_each(|earlier| add_earlier(now, earlier, &mut sums));
        }
        let unreported_s = by_entry.iter().map(|entry| unreported_s(now, entry)).sum::<f64>();
        let unreported_s = unreported_s / f64::from(entries);
        let accounts = sums.into_iter().map(|(account, sum)| {
            let held = self.held_by_unknown(account, unknown, entries);
            AccountTotal {
                account: account.clone(),
                asked_per_s: sum.asked_per_s,
                admitted: sum.admitted,
                admitted_per_s: sum.admitted_per_s,
                held: (sum.held + held).min(1.0),
                unreported_s: Some(
                    sum.unreported_s + unreported_s + held * LIMIT_WINDOW.as_secs_f64(),
                ),
            }
        });
        let accounts = accounts.collect();
        let unknown_s = LIMIT_WINDOW.as_secs_f64() * f64::from(unknown) / f64::from(entries);
        Some(Totals {
            age: Millis::ZERO,
            entries,
            unreported_s: unreported_s + unknown_s,
            accounts,
            queues: sum_queues(now, &by_entry),
        })
    }

    /// Returns the numbers of entry instances in the last totals.
    pub fn entry_counts(&self) -> EntryCounts {
        self.entry_counts
    }

    /// Updates the expected number of entry instances. For as long as an instance that is cut off
    /// keeps its shares, instances count that others were informed of before this leader began.
    fn update_expected(&mut self, now: Millis, by_entry: &[EntryIncarnations<'_>]) {
        if now - self.began_at >= SHARE_HELD_FOR {
            self.expected = 0;
            return;
        }
        let informed = by_entry.iter().filter(|entry| is_reporting(now, entry.newest));
        let informed = informed.map(|entry| entry.newest.report.entries).max();
        self.expected = self.expected.max(informed.unwrap_or_default());
    }

    /// Returns the part of a limit held by entry instances without a report at this leader: what
    /// the previous leader reported for silent ones, and at least an even part for each.
    fn held_by_unknown(&self, account: &Name, unknown: u32, entries: u32) -> f64 {
        if unknown == 0 {
            return 0.0;
        }
        let even = f64::from(unknown) / f64::from(entries);
        self.held.get(account).copied().unwrap_or_default().max(even)
    }
}

/// Sums the wait queues of the entry instances that report.
fn sum_queues(now: Millis, by_entry: &[EntryIncarnations<'_>]) -> Vec<QueueTotal> {
    let mut sums: BTreeMap<&Name, (QueueLoad, BTreeMap<&Name, f64>)> = BTreeMap::new();
    let newest = by_entry.iter().map(|entry| entry.newest).filter(|r| is_reporting(now, r));
    for service in newest.flat_map(|stored| &stored.report.services) {
        let Some(queue) = &service.queue else { continue };
        let (sum, accounts) = sums.entry(&service.service).or_default();
        sum.waiting += queue.waiting;
        sum.started_per_s += queue.started_per_s;
        for (account, per_s) in &queue.accounts {
            *accounts.entry(account).or_default() += per_s;
        }
    }
    let total = |(service, (sum, accounts)): (&Name, (QueueLoad, BTreeMap<&Name, f64>))| {
        let accounts = accounts.into_iter().map(|(name, per_s)| (name.clone(), per_s)).collect();
        QueueTotal { service: service.clone(), load: QueueLoad { accounts, ..sum } }
    };
    sums.into_iter().map(total).collect()
}

fn is_reporting(now: Millis, newest: &StoredReport) -> bool {
    newest.age(now) < SILENT_AFTER
}

/// Adds the newest report of an entry instance.
fn add_newest<'a>(
    now: Millis,
    newest: &'a StoredReport,
    sums: &mut BTreeMap<&'a Name, AccountSum>,
) {
    let age = newest.age(now);
    for account in &newest.report.accounts {
        let sum = sums.entry(&account.account).or_default();
        if is_reporting(now, newest) {
            sum.asked_per_s += account.asked_per_s;
            sum.admitted += account.admitted;
            sum.admitted_per_s += account.admitted_per_s;
        } else {
            // The instance continues as before for as long as its totals count as current.
            let as_before = age.min(MAX_TOTALS_AGE) - (age - LIMIT_WINDOW);
            let by_share = (age - MAX_TOTALS_AGE).min(LIMIT_WINDOW);
            sum.admitted +=
                still_in_window(account, age) + account.admitted_per_s * as_before.as_secs_f64();
            sum.held += account.share;
            sum.unreported_s += account.share * by_share.as_secs_f64();
        }
    }
}

/// Adds the last report of an earlier incarnation.
fn add_earlier<'a>(
    now: Millis,
    earlier: &'a StoredReport,
    sums: &mut BTreeMap<&'a Name, AccountSum>,
) {
    let age = earlier.age(now);
    if age >= LIMIT_WINDOW {
        return;
    }
    for account in &earlier.report.accounts {
        let unreported = account.admitted_per_s * UNREPORTED_TAIL.as_secs_f64();
        let sum = sums.entry(&account.account).or_default();
        sum.admitted += still_in_window(account, age) + unreported;
    }
}

/// Returns the admitted amount that is still in the window when the report has reached `age`.
fn still_in_window(account: &AccountReport, age: Millis) -> f64 {
    if account.by_second.is_empty() {
        return if age < LIMIT_WINDOW { account.admitted } else { 0.0 };
    }
    let seconds = (LIMIT_WINDOW - age).0.div_ceil(REPORT_SLICE.0) as usize;
    account.by_second.iter().take(seconds).sum::<u64>() as f64
}

/// Returns the seconds of the window for which no report of an entry instance exists, neither of
/// its newest incarnation nor of an earlier one. An instance that does not report its uptime counts
/// as old.
fn unreported_s(now: Millis, entry: &EntryIncarnations<'_>) -> f64 {
    let incarnations = entry.earlier.iter().copied().chain([entry.newest]);
    let uptime =
        incarnations.map(|incarnation| incarnation.uptime(now).unwrap_or(LIMIT_WINDOW)).max();
    (LIMIT_WINDOW - uptime.unwrap_or_default()).as_secs_f64()
}
