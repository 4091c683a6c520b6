//! Totals that the leader makes of the reports of entry instances.

use sill_base::{Millis, Name};
use sill_dispatch::{EntryCounts, ReportStore, TotalsAggregator};
use sill_wire::Incarnation;
use sill_wire::link::{AccountReport, AccountTotal, EntryReport, Totals};

/// The last report of an entry instance as the leader receives it. Times are in ms.
struct LastReport {
    entry: &'static str,
    incarnation: u64,
    at: u64,
    up: Option<u64>,
    entries: u32,
    /// Amounts admitted by second, the newest first.
    by_second: &'static [u64],
    /// Recent admitted amount per second.
    admitted_per_s: f64,
    share: f64,
}

const EMPTY_REPORT: LastReport = LastReport {
    entry: "e1",
    incarnation: 1,
    at: 0,
    up: None,
    entries: 0,
    by_second: &[],
    admitted_per_s: 0.0,
    share: 0.0,
};

fn account() -> Name {
    "desk".into()
}

fn report(last: &LastReport) -> EntryReport {
    let demand = AccountReport {
        account: account(),
        asked_per_s: 0.0,
        admitted: last.by_second.iter().sum::<u64>() as f64,
        admitted_per_s: last.admitted_per_s,
        by_second: last.by_second.to_vec(),
        share: last.share,
    };
    EntryReport {
        entry: last.entry.into(),
        incarnation: Incarnation(last.incarnation),
        domain: "a".into(),
        sequence: last.at + 1,
        wall: Millis(last.at),
        uptime: last.up.map(Millis),
        entries: last.entries,
        age: Millis::ZERO,
        usage: Vec::new(),
        accounts: vec![demand],
        services: Vec::new(),
        loads: Vec::new(),
        relay: None,
        peer: None,
    }
}

fn report_store(last_reports: &[LastReport]) -> ReportStore {
    let mut reports = ReportStore::default();
    for last in last_reports {
        reports.record(Millis(last.at), report(last), true);
    }
    reports
}

fn of_account(totals: &Totals) -> &AccountTotal {
    totals
        .accounts
        .iter()
        .find(|total| total.account == account())
        .expect("the account was reported")
}

#[test]
fn missing_reports_count_as_used() {
    struct Case {
        name: &'static str,
        last_reports: &'static [LastReport],
        now: u64,
        entries: u32,
        admitted: f64,
        held: f64,
        unreported_s: f64,
    }
    let cases = [
        Case {
            name: "reporting",
            last_reports: &[LastReport {
                at: 20_000,
                by_second: &[5, 3],
                share: 0.2,
                ..EMPTY_REPORT
            }],
            now: 20_500,
            entries: 1,
            admitted: 8.0,
            held: 0.0,
            unreported_s: 0.0,
        },
        Case {
            name: "silent: admitted amounts leave the window, the share counts as used",
            last_reports: &[LastReport {
                at: 20_000,
                by_second: &[5, 3, 0, 4],
                share: 0.2,
                ..EMPTY_REPORT
            }],
            now: 26_500,
            entries: 1,
            admitted: 8.0,
            held: 0.2,
            unreported_s: 0.2 * 5.0,
        },
        Case {
            name: "silent for a moment: it continues as before",
            last_reports: &[LastReport {
                at: 20_000,
                by_second: &[5, 3],
                admitted_per_s: 2.0,
                share: 0.2,
                ..EMPTY_REPORT
            }],
            now: 21_200,
            entries: 1,
            admitted: 8.0 + 2.0 * 1.2,
            held: 0.2,
            unreported_s: 0.0,
        },
        Case {
            name: "restarted: what the old incarnation admitted stays in the window",
            last_reports: &[
                LastReport { at: 20_000, by_second: &[5, 3, 0, 4], share: 0.2, ..EMPTY_REPORT },
                LastReport {
                    at: 25_900,
                    incarnation: 2,
                    up: Some(5000),
                    by_second: &[1],
                    ..EMPTY_REPORT
                },
            ],
            now: 26_500,
            entries: 1,
            admitted: 9.0,
            held: 0.0,
            unreported_s: 0.0,
        },
        Case {
            name: "restarted, with its clock set back",
            last_reports: &[
                LastReport {
                    at: 20_000,
                    incarnation: 9,
                    by_second: &[5],
                    share: 0.2,
                    ..EMPTY_REPORT
                },
                LastReport { at: 21_900, incarnation: 2, by_second: &[1], ..EMPTY_REPORT },
            ],
            now: 22_000,
            entries: 1,
            admitted: 6.0,
            held: 0.0,
            unreported_s: 0.0,
        },
        Case {
            name: "just started: no report covers the time before",
            last_reports: &[LastReport {
                at: 20_000,
                up: Some(2000),
                by_second: &[1],
                ..EMPTY_REPORT
            }],
            now: 20_000,
            entries: 1,
            admitted: 1.0,
            held: 0.0,
            unreported_s: 6.0,
        },
        Case {
            name: "others know of an instance without a report",
            last_reports: &[LastReport { at: 20_000, entries: 4, by_second: &[1], ..EMPTY_REPORT }],
            now: 20_000,
            entries: 4,
            admitted: 1.0,
            held: 0.75,
            unreported_s: 6.0,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut aggregator = TotalsAggregator::default();
        aggregator.begin(Millis(case.now - 1000), None);
        let totals =
            aggregator.aggregate(Millis(case.now), &report_store(case.last_reports)).expect(name);
        let total = of_account(&totals);
        assert_eq!(totals.entries, case.entries, "{name}");
        assert!((total.admitted - case.admitted).abs() < 1e-9, "{name}: {total:?}");
        assert!((total.held - case.held).abs() < 1e-9, "{name}: {total:?}");
        let unreported_s = total.unreported_s.expect("totals contain the unreported time");
        assert!((unreported_s - case.unreported_s).abs() < 1e-9, "{name}: {total:?}");
    }
}

/// A new leader without any state aggregates its first few reports. Each entry instance would then
/// take itself for one of few, with a large share.
#[test]
fn a_new_leader_waits_for_entry_instances_that_others_know_of() {
    let at = 20_000;
    let mut last_reports = vec![
        LastReport { at, entries: 3, ..EMPTY_REPORT },
        LastReport { at, entry: "e2", entries: 3, ..EMPTY_REPORT },
    ];
    let mut aggregator = TotalsAggregator::default();
    aggregator.begin(Millis(at), None);
    assert_eq!(
        aggregator.aggregate(Millis(at + 100), &report_store(&last_reports)),
        None,
        "the report of one entry instance is missing"
    );
    last_reports.push(LastReport { at: at + 200, entry: "e3", ..EMPTY_REPORT });
    let totals = aggregator
        .aggregate(Millis(at + 200), &report_store(&last_reports))
        .expect("all entry instances have reported");
    assert_eq!(totals.entries, 3);
    assert_eq!(aggregator.entry_counts(), EntryCounts { reporting: 3, silent: 0, unknown: 0 });

    last_reports.pop();
    let mut aggregator = TotalsAggregator::default();
    aggregator.begin(Millis(at), None);
    let totals = aggregator
        .aggregate(Millis(at + 800), &report_store(&last_reports))
        .expect("the leader has waited long enough");
    assert_eq!(totals.entries, 3);
    assert_eq!(aggregator.entry_counts(), EntryCounts { reporting: 2, silent: 0, unknown: 1 });
    // An instance that does not return is dropped after a while.
    let late = Millis(at + 15_100);
    let still: Vec<LastReport> =
        last_reports.into_iter().map(|last| LastReport { at: late.0, ..last }).collect();
    let totals = aggregator
        .aggregate(late, &report_store(&still))
        .expect("the leader has waited long enough");
    assert_eq!(totals.entries, 2);
}

/// Reports are forwarded to a new leader with their age. Otherwise an entry instance that is gone
/// would count as alive.
#[test]
fn a_forwarded_report_keeps_its_age() {
    let last = LastReport { at: 20_000, by_second: &[5], share: 0.2, ..EMPTY_REPORT };
    let mut first = report_store(&[last]);
    let forwarded = first.take_unforwarded(Millis(24_000));
    assert_eq!(forwarded.iter().map(|report| report.age).collect::<Vec<_>>(), [Millis(4000)]);
    let mut second = ReportStore::default();
    forwarded.into_iter().for_each(|report| second.record(Millis(50_000), report, false));
    assert!(second.live(Millis(50_000)).is_empty());
}
