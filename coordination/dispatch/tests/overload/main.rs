//! Endpoints that reject requests because they are full.

mod sim;

use sill_base::Millis;
use sim::{Plan, play, possible};

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
