//! Usage totals from the reports of entry instances.

use std::collections::BTreeMap;

use sill_base::{Millis, Name};
use sill_dispatch::{ReportStore, TrueTime, UsageCounter};
use sill_wire::Incarnation;
use sill_wire::link::{EntryReport, WindowUsage};

fn report(entry: &str, incarnation: u64, sequence: u64, counts: &[(u64, u64)]) -> EntryReport {
    let usage = counts.iter().map(|(window, count)| WindowUsage {
        window: *window,
        counts: BTreeMap::from([(Name::from("desk"), *count)]),
    });
    EntryReport {
        entry: entry.into(),
        incarnation: Incarnation(incarnation),
        domain: "a".into(),
        sequence,
        wall: Millis::ZERO,
        uptime: None,
        entries: 0,
        age: Millis::ZERO,
        usage: usage.collect(),
        accounts: Vec::new(),
        services: Vec::new(),
        loads: Vec::new(),
        relay: None,
        peer: None,
    }
}

fn total(ledger: &ReportStore, window: u64) -> Option<u64> {
    ledger.total(window).map(|counts| counts.values().sum())
}

/// Reports arrive twice and out of order, by way of two control instances. If each were counted, an
/// account would be charged twice.
#[test]
fn duplicate_and_late_reports_count_once() {
    let mut ledger = ReportStore::default();
    ledger.record(Millis(1000), report("e1", 1, 2, &[(7, 20)]), true);
    ledger.record(Millis(1100), report("e1", 1, 2, &[(7, 20)]), false);
    ledger.record(Millis(1200), report("e1", 1, 1, &[(7, 10)]), false);
    ledger.record(Millis(1300), report("e2", 1, 1, &[(7, 5)]), true);
    assert_eq!(total(&ledger, 7), Some(25));
    assert_eq!(total(&ledger, 8), None, "no report has reached window 8");
}

/// An entry instance restarts in the middle of a window. The requests that it counted before the
/// restart ran as well.
#[test]
fn usage_from_before_and_after_a_restart_counts() {
    let mut ledger = ReportStore::default();
    ledger.record(Millis(1000), report("e1", 1, 9, &[(7, 20)]), true);
    ledger.record(Millis(2000), report("e1", 2, 1, &[(7, 3)]), true);
    assert_eq!(total(&ledger, 7), Some(23));
}

/// Three entry instances are cut off at the end of a window. If the window were charged at once,
/// their requests would be missing for good; they report again a few seconds later.
#[test]
fn a_window_is_complete_once_every_entry_instance_has_reported_after_its_end() {
    let mut ledger = ReportStore::default();
    ledger.record(Millis(1000), report("cut", 1, 1, &[(7, 20)]), true);
    ledger.record(Millis(6000), report("well", 1, 1, &[(7, 30)]), true);
    let end = Millis(5000);
    assert!(!ledger.is_complete(Millis(7000), end));
    ledger.record(Millis(8000), report("cut", 1, 2, &[(7, 25)]), true);
    assert!(ledger.is_complete(Millis(8000), end));
    assert_eq!(total(&ledger, 7), Some(55));
    // The former incarnation of a restarted instance is not waited for.
    ledger.record(Millis(9000), report("cut", 2, 1, &[]), true);
    ledger.record(Millis(9000), report("well", 1, 2, &[]), true);
    assert!(ledger.is_complete(Millis(9500), Millis(9000)));
}

/// The newest windows are part of each report, so that a new leader receives them too.
#[test]
fn the_newest_windows_are_in_every_report() {
    let mut counter = UsageCounter::default();
    for window in 1..=20 {
        counter.count(window, &"desk".into());
    }
    let windows: Vec<u64> = counter.report(20).iter().map(|usage| usage.window).collect();
    assert_eq!(windows, [16, 17, 18, 19, 20]);
    assert_eq!(counter.report(20).len(), 5);
}

/// The time of day jumps on a third of the instances. Windows cut by such a clock would be charged
/// twice or not at all.
#[test]
fn true_time_follows_the_majority_of_clocks() {
    struct Case {
        name: &'static str,
        /// Offset of each clock in ms.
        offsets: &'static [i64],
    }
    let cases = [
        Case { name: "a third ahead", offsets: &[0, 5, -5, 10, 3000, 3000] },
        Case { name: "a third behind", offsets: &[0, 5, -5, 10, -2400, -2400] },
        Case { name: "both ways", offsets: &[0, 5, -5, 10, -2400, 3000] },
    ];
    for case in cases {
        let mut time = TrueTime::default();
        let (now, truth) = (Millis(10_000), 1_000_000_i64);
        for (i, offset) in case.offsets.iter().enumerate() {
            let instance = Name::from(format!("i{i}"));
            time.record(now, &instance, Millis((truth + offset) as u64));
        }
        let time_of_day =
            time.time_of_day(now + Millis(100)).expect("readings were recorded").0 as i64;
        assert!(
            (time_of_day - truth - 100).abs() <= 10,
            "{}: off by {} ms",
            case.name,
            time_of_day - truth - 100
        );
    }
}
