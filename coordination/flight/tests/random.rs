//! Simulated requests under random faults of endpoints, entry instances and claims.

mod sim;

use std::panic::{AssertUnwindSafe, catch_unwind};

use sill_base::{Promise, random};
use sill_flight::{RequestCfg, Weakening};
use sim::check::{Violation, check};
use sim::{Faults, Simulation};

fn run_simulation(cfg: RequestCfg, faults: Faults, seed: u64) -> Result<(), Violation> {
    let mut sim = Simulation::new(cfg, faults, seed);
    let result = catch_unwind(AssertUnwindSafe(|| sim.run()));
    if let Err(panic) = result {
        let details = panic
            .downcast::<String>()
            .map_or_else(|_| "panic without a text".to_owned(), |text| *text);
        let is_violated = |p: &&Promise| details.starts_with(&format!("promise={} ", p.name()));
        match Promise::ALL.iter().find(is_violated) {
            Some(promise) => return Err(Violation { promise: *promise, details }),
            None => panic!("seed {seed}: {details}"),
        }
    }
    check(&sim, faults)
}

/// Guards against a non-idempotent request that runs twice, an answer with missing tokens, and a
/// request that ran although it was refused as not run. Endpoints are killed, cut, frozen and
/// reclaimed earlier than announced, one by one or half of them at once; chunks arrive late, twice
/// or not at all; entry instances are killed or hand off; claim verdicts are lost; callers
/// disconnect and resend.
#[test]
fn promises_hold_through_all_faults() {
    let first = random::seed(1);
    for seed in first..first + u64::from(random::cases(400)) {
        assert_eq!(run_simulation(RequestCfg::default(), Faults::All, seed), Ok(()), "seed {seed}");
    }
}

/// Guards against a lost idempotent request while one endpoint stays available. The others are
/// reclaimed one by one or half of them at once, each as announced up to thirty seconds before.
#[test]
fn announced_reclaims_lose_no_request() {
    let first = random::seed(1);
    for seed in first..first + u64::from(random::cases(400)) {
        assert_eq!(
            run_simulation(RequestCfg::default(), Faults::ReclaimsOnly, seed),
            Ok(()),
            "seed {seed}"
        );
    }
}

struct Case {
    weakening: Weakening,
    faults: Faults,
    violated: Promise,
}

/// Guards against checks that detect nothing: with one rule of the state machine disabled, a run
/// must violate the promise that the rule protects.
#[test]
fn each_weakening_is_detected() {
    let all = Faults::All;
    let cases = [
        (Weakening::ForwardLate, all, Promise::WholeAnswer),
        (Weakening::ForwardRepeats, all, Promise::WholeAnswer),
        (Weakening::SkipGaps, all, Promise::WholeAnswer),
        (Weakening::EndWithoutMarker, all, Promise::WholeAnswer),
        (Weakening::MoveIsUnsent, all, Promise::NotRunIsTrue),
        (Weakening::CutIsUnsent, all, Promise::NotRunIsTrue),
        (Weakening::RepeatNonIdempotent, all, Promise::AtMostOnce),
        (Weakening::IgnoreTaken, all, Promise::AtMostOnce),
        (Weakening::IgnoreUnavailable, all, Promise::AtMostOnce),
        (Weakening::GiveUpOnReclaim, Faults::ReclaimsOnly, Promise::AcceptedSurvives),
        (Weakening::NoPatience, all, Promise::AcceptedSurvives),
    ];
    let cases = cases.map(|(weakening, faults, violated)| Case { weakening, faults, violated });
    for case in cases {
        let cfg = RequestCfg { weakening: Some(case.weakening), ..RequestCfg::default() };
        let is_expected = |violation: &Violation| violation.promise == case.violated;
        let violation = (1..2000)
            .find_map(|seed| run_simulation(cfg, case.faults, seed).err().filter(is_expected));
        assert!(
            violation.is_some(),
            "{:?} did not violate {} in 1999 runs",
            case.weakening,
            case.violated
        );
    }
}
