//! Endpoints that reject requests because they are full.

mod sim;

use sill_base::Millis;
use sim::{Brittle, Limited, Plan, play, possible};

/// Part of the calls that endpoints have room for that is to be answered.
const SERVED: f64 = 0.9;

/// Calls per second that the endpoints of the default plan can answer.
const CAPACITY_PER_S: f64 = 80.0;

/// Entry instances take endpoints that rejected requests for full for ever, and refuse all calls
/// although the endpoints are idle.
#[test]
fn endpoints_that_rejected_requests_are_asked_again() {
    struct Case {
        name: &'static str,
        plan: Plan,
    }
    let after =
        |burst: f64, calls_per_s: f64| vec![(Millis::ZERO, burst), (Millis(4000), calls_per_s)];
    let base = || Plan { calls_per_s: after(200.0, 20.0), end: Millis(14_000), ..Plan::default() };
    let cases = [
        Case { name: "loads told", plan: base() },
        Case { name: "no loads told", plan: Plan { reports_load: false, ..base() } },
        Case { name: "no control instance", plan: Plan { has_control: false, ..base() } },
        Case { name: "30 entry instances", plan: Plan { entries: 30, ..base() } },
        Case {
            name: "rare calls",
            plan: Plan { calls_per_s: after(200.0, 2.0), end: Millis(30_000), ..base() },
        },
        Case {
            name: "90 entry instances, 60 endpoints",
            plan: Plan { entries: 90, endpoints: 60, calls_per_s: after(2000.0, 200.0), ..base() },
        },
    ];
    for Case { name, plan } in cases {
        let record = play(&plan);
        // A second after the burst, its requests have been answered.
        let (answered, all) = record.answered(Millis(6000), plan.end);
        println!("{name}: {answered} of {all}, {} rejections", record.rejections.len());
        assert!(all >= 40, "{name}: too few calls: {all}");
        assert!(answered as f64 >= 0.97 * all as f64, "{name}: {answered} of {all} answered");
    }
}

/// Endpoints stay idle, or reject most of what they get, while callers ask for more than they hold.
#[test]
fn full_endpoints_are_kept_busy() {
    let from = Millis(3000);
    for entries in [3, 30] {
        for load in [0.5, 1.0, 2.0, 4.0, 8.0] {
            let plan = Plan {
                entries,
                calls_per_s: vec![(Millis::ZERO, load * CAPACITY_PER_S)],
                end: Millis(21_000),
                ..Plan::default()
            };
            let record = play(&plan);
            let (answered, all) = record.answered(from, plan.end);
            let possible = possible(&plan, from);
            let line = format!(
                "{entries} entry instances, load {load}: {answered} of {all}, {possible} possible, \
                 {} rejections",
                record.rejections.len()
            );
            println!("{line}");
            assert!(answered as f64 >= SERVED * possible as f64, "{line}");
        }
    }
}

/// A system whose endpoints hold less while they are brittle, at twice what they then hold. They say so
/// for three seconds before.
fn brittle() -> Plan {
    Plan {
        room: vec![(Millis::ZERO, 12), (Millis(9000), 4)],
        calls_per_s: vec![(Millis::ZERO, 2.0 * CAPACITY_PER_S)],
        brittle: Some(Brittle {
            from: Millis(6000),
            until: Millis(22_000),
            falls_from: Millis(9000),
            bound: 3,
        }),
        end: Millis(22_000),
        ..Plan::default()
    }
}

struct BrittleCase {
    name: &'static str,
    plan: Plan,
    /// Part of the calls that endpoints have room for that is to be answered.
    served: f64,
}

fn check_brittle(case: &BrittleCase) {
    let BrittleCase { name, plan, served } = case;
    let from = Millis(12_000);
    let record = play(plan);
    let (answered, all) = record.answered(from, plan.end);
    let possible = possible(plan, from);
    let line = format!(
        "{name}: {answered} of {all}, {possible} possible, {} falls, {} rejections",
        record.falls.len(),
        record.rejections.len()
    );
    println!("{line}");
    assert!(10 * record.falls.len() <= 20 + plan.endpoints, "{line}");
    assert!(answered as f64 >= served * possible as f64, "{line}");
}

/// Brittle endpoints end again and again under the requests that they have to reject, or are hardly
/// used for fear of that.
#[test]
fn brittle_endpoints_are_used_and_do_not_fall() {
    let case = |name, plan| BrittleCase { name, plan, served: SERVED };
    let cases = [
        case("three entry instances", brittle()),
        case(
            "30 entry instances, 60 endpoints",
            Plan {
                entries: 30,
                endpoints: 60,
                calls_per_s: vec![(Millis::ZERO, 20.0 * CAPACITY_PER_S)],
                ..brittle()
            },
        ),
        case(
            "83 entry instances, 112 endpoints without a queue, answers of 2 s",
            Plan {
                entries: 83,
                endpoints: 112,
                room: vec![(Millis::ZERO, 18), (Millis(9000), 12)],
                service_time: Millis(2000),
                calls_per_s: vec![(Millis::ZERO, 1000.0)],
                ..brittle()
            },
        ),
        case(
            "half of the load",
            Plan { calls_per_s: vec![(Millis::ZERO, 0.5 * CAPACITY_PER_S)], ..brittle() },
        ),
        case("no loads told", Plan { reports_load: false, ..brittle() }),
        // Nobody knows how many others there are, so each takes little.
        BrittleCase {
            name: "no control instance",
            plan: Plan { has_control: false, ..brittle() },
            served: 0.0,
        },
    ];
    cases.iter().for_each(check_brittle);
}

/// More entry instances than brittle endpoints bear rejections: some get no endpoint at all.
#[test]
fn few_brittle_endpoints_serve_many_entry_instances() {
    let plan = Plan { entries: 30, ..brittle() };
    check_brittle(&BrittleCase { name: "30 entry instances", plan, served: SERVED });
}

/// Endpoints that take few requests from all entry instances together get as many as each of these may
/// send, or hardly any.
#[test]
fn limits_that_endpoints_name_hold_over_all_entry_instances() {
    struct Case {
        name: &'static str,
        entries: usize,
        endpoints: usize,
        limited: usize,
        per_s: f64,
        calls_per_s: f64,
        /// Whether callers ask for more than the limits.
        is_short: bool,
    }
    let case = |name, entries, endpoints, limited, per_s, calls_per_s, is_short| Case {
        name,
        entries,
        endpoints,
        limited,
        per_s,
        calls_per_s,
        is_short,
    };
    let cases = [
        case("two of six name 2", 3, 6, 2, 2.0, 60.0, false),
        case("all six name 2.5", 3, 6, 6, 2.5, 60.0, true),
        case("two of six name 0.4", 3, 6, 2, 0.4, 60.0, false),
        case("two of twelve name 1.7, eight entry instances", 8, 12, 2, 1.7, 90.0, false),
        case("all of twelve name 1.7, eight entry instances", 8, 12, 12, 1.7, 90.0, true),
        case("all of 112 name 2, 83 entry instances", 83, 112, 112, 2.0, 600.0, true),
        case("all of 112 name 0.4, 90 entry instances", 90, 112, 112, 0.4, 600.0, true),
        case("one names 40", 8, 12, 1, 40.0, 400.0, false),
    ];
    for Case { name, entries, endpoints, limited, per_s, calls_per_s, is_short } in cases {
        let (from, until) = (Millis(5000), Millis(25_000));
        let plan = Plan {
            entries,
            endpoints,
            room: vec![(Millis::ZERO, 12)],
            calls_per_s: vec![(Millis::ZERO, calls_per_s)],
            limited: Some(Limited { from, until, per_s, endpoints: limited }),
            end: Millis(35_000),
            ..Plan::default()
        };
        let record = play(&plan);
        let judged = from + Millis(3000);
        let span = Millis(4000);
        let allowed = 1.5 * per_s * span.as_secs_f64() + 5.0;
        let most = (0..limited).map(|i| record.most_arrivals(i, judged, until, span)).max();
        let got = record.arrivals(limited, judged, until) as f64;
        let owed = per_s * limited as f64 * (until - judged).as_secs_f64();
        let after = record.arrivals(limited, until + Millis(5000), plan.end) as f64 / 5.0;
        let before = record.arrivals(limited, Millis(2000), from) as f64 / 3.0;
        let line = format!(
            "{name}: most {} of {allowed:.1} allowed, {got} of {owed:.0} in all, \
             {before:.0} a second before and {after:.0} after",
            most.unwrap_or_default()
        );
        println!("{line}");
        assert!(most.unwrap_or_default() as f64 <= allowed, "{line}");
        assert!(!is_short || got >= SERVED * owed, "{line}");
        assert!(after >= 0.8 * before, "{line}");
    }
}
