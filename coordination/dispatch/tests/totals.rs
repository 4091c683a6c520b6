//! What the leader makes of the reports of entry instances.

use sill_base::{Millis, Name};
use sill_dispatch::{EntryCounts, ReportStore, TotalsAggregator};
use sill_wire::Incarnation;
use sill_wire::link::{AccountReport, AccountTotal, EntryReport, Totals};

/// The last report of an entry instance, as the leader gets it.
struct Told {
    entry: &'static str,
    life: u64,
    at: u64,
    up: Option<u64>,
    entries: u32,
    /// Admitted by seconds, the newest first.
    by_second: &'static [u64],
    /// Admitted in a second, of late.
    per_s: f64,
    share: f64,
}

const QUIET: Told = Told {
    entry: "e1",
    life: 1,
    at: 0,
    up: None,
    entries: 0,
    by_second: &[],
    per_s: 0.0,
    share: 0.0,
};

fn account() -> Name {
    "desk".into()
}

fn report(told: &Told) -> EntryReport {
    let demand = AccountReport {
        account: account(),
        asked_per_s: 0.0,
        admitted: told.by_second.iter().sum::<u64>() as f64,
        admitted_per_s: told.per_s,
        by_second: told.by_second.to_vec(),
        share: told.share,
    };
    EntryReport {
        entry: told.entry.into(),
        incarnation: Incarnation(told.life),
        domain: "a".into(),
        sequence: told.at + 1,
        wall: Millis(told.at),
        up: told.up.map(Millis),
        entries: told.entries,
        age: Millis::ZERO,
        usage: Vec::new(),
        accounts: vec![demand],
        services: Vec::new(),
        loads: Vec::new(),
    }
}

fn ledger(told: &[Told]) -> ReportStore {
    let mut ledger = ReportStore::default();
    for told in told {
        ledger.record(Millis(told.at), report(told), true);
    }
    ledger
}

fn of_account(totals: &Totals) -> &AccountTotal {
    totals.accounts.iter().find(|total| total.account == account()).expect("it was reported")
}

#[test]
fn what_is_not_heard_of_now_counts_as_used() {
    struct Case {
        name: &'static str,
        told: &'static [Told],
        now: u64,
        entries: u32,
        admitted: f64,
        held: f64,
        untold_s: f64,
    }
    let cases = [
        Case {
            name: "heard",
            told: &[Told { at: 20_000, by_second: &[5, 3], share: 0.2, ..QUIET }],
            now: 20_500,
            entries: 1,
            admitted: 8.0,
            held: 0.0,
            untold_s: 0.0,
        },
        Case {
            name: "silent: what it admitted leaves the window, its share is used",
            told: &[Told { at: 20_000, by_second: &[5, 3, 0, 4], share: 0.2, ..QUIET }],
            now: 26_500,
            entries: 1,
            admitted: 8.0,
            held: 0.2,
            untold_s: 0.2 * 5.0,
        },
        Case {
            name: "silent for a moment: it goes on as before",
            told: &[Told { at: 20_000, by_second: &[5, 3], per_s: 2.0, share: 0.2, ..QUIET }],
            now: 21_200,
            entries: 1,
            admitted: 8.0 + 2.0 * 1.2,
            held: 0.2,
            untold_s: 0.0,
        },
        Case {
            name: "restarted: the life before stays in the window",
            told: &[
                Told { at: 20_000, by_second: &[5, 3, 0, 4], share: 0.2, ..QUIET },
                Told { at: 25_900, life: 2, up: Some(5000), by_second: &[1], ..QUIET },
            ],
            now: 26_500,
            entries: 1,
            admitted: 9.0,
            held: 0.0,
            untold_s: 0.0,
        },
        Case {
            name: "restarted, with its clock set back",
            told: &[
                Told { at: 20_000, life: 9, by_second: &[5], share: 0.2, ..QUIET },
                Told { at: 21_900, life: 2, by_second: &[1], ..QUIET },
            ],
            now: 22_000,
            entries: 1,
            admitted: 6.0,
            held: 0.0,
            untold_s: 0.0,
        },
        Case {
            name: "young: nothing is known of a life before it",
            told: &[Told { at: 20_000, up: Some(2000), by_second: &[1], ..QUIET }],
            now: 20_000,
            entries: 1,
            admitted: 1.0,
            held: 0.0,
            untold_s: 6.0,
        },
        Case {
            name: "told of: one that was never heard of",
            told: &[Told { at: 20_000, entries: 4, by_second: &[1], ..QUIET }],
            now: 20_000,
            entries: 4,
            admitted: 1.0,
            held: 0.75,
            untold_s: 6.0,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut adder = TotalsAggregator::default();
        adder.begin(Millis(case.now - 1000), None);
        let totals = adder.aggregate(Millis(case.now), &ledger(case.told)).expect(name);
        let total = of_account(&totals);
        assert_eq!(totals.entries, case.entries, "{name}");
        assert!((total.admitted - case.admitted).abs() < 1e-9, "{name}: {total:?}");
        assert!((total.held - case.held).abs() < 1e-9, "{name}: {total:?}");
        let untold_s = total.untold_s.expect("it is told");
        assert!((untold_s - case.untold_s).abs() < 1e-9, "{name}: {total:?}");
    }
}

/// A new leader with no memory adds up its first few reports: each entry instance would take itself for one of few.
#[test]
fn a_new_leader_waits_for_those_that_others_were_told_of() {
    let at = 20_000;
    let mut told =
        vec![Told { at, entries: 3, ..QUIET }, Told { at, entry: "e2", entries: 3, ..QUIET }];
    let mut adder = TotalsAggregator::default();
    adder.begin(Millis(at), None);
    assert_eq!(adder.aggregate(Millis(at + 100), &ledger(&told)), None, "one is missing");
    told.push(Told { at: at + 200, entry: "e3", ..QUIET });
    let totals = adder.aggregate(Millis(at + 200), &ledger(&told)).expect("all are there");
    assert_eq!(totals.entries, 3);
    assert_eq!(adder.entry_counts(), EntryCounts { reporting: 3, silent: 0, unknown: 0 });

    told.pop();
    let mut adder = TotalsAggregator::default();
    adder.begin(Millis(at), None);
    let totals = adder.aggregate(Millis(at + 800), &ledger(&told)).expect("it has waited");
    assert_eq!(totals.entries, 3);
    assert_eq!(adder.entry_counts(), EntryCounts { reporting: 2, silent: 0, unknown: 1 });
    // One that does not come back is gone some time later.
    let late = Millis(at + 15_100);
    let still: Vec<Told> = told.into_iter().map(|told| Told { at: late.0, ..told }).collect();
    let totals = adder.aggregate(late, &ledger(&still)).expect("it leads");
    assert_eq!(totals.entries, 2);
}

/// Reports are passed on to a new leader with the age that they have: an entry instance that is gone would be taken
/// for alive.
#[test]
fn a_report_that_is_passed_on_keeps_its_age() {
    let told = Told { at: 20_000, by_second: &[5], share: 0.2, ..QUIET };
    let mut first = ledger(&[told]);
    let passed_on = first.take_unforwarded(Millis(24_000));
    assert_eq!(passed_on.iter().map(|report| report.age).collect::<Vec<_>>(), [Millis(4000)]);
    let mut second = ReportStore::default();
    passed_on.into_iter().for_each(|report| second.record(Millis(50_000), report, false));
    assert!(second.live(Millis(50_000)).is_empty());
}
