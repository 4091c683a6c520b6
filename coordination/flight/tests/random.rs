//! Random runs of requests against failing endpoints, entries and claims, in virtual time.

mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

use sill_base::{Promise, random};
use sill_flight::{RequestCfg, Weakening};
use world::check::{Broken, check};
use world::{Faults, World};

fn run(cfg: RequestCfg, faults: Faults, seed: u64) -> Result<(), Broken> {
    let mut world = World::new(cfg, faults, seed);
    let asserted = catch_unwind(AssertUnwindSafe(|| world.run()));
    if let Err(panic) = asserted {
        let how = panic.downcast::<String>().map_or_else(|_| "a panic".to_owned(), |text| *text);
        let named = |p: &&Promise| how.starts_with(&format!("promise={} ", p.name()));
        match Promise::ALL.iter().find(named) {
            Some(promise) => return Err(Broken { promise: *promise, how }),
            None => panic!("seed {seed}: {how}"),
        }
    }
    check(&world, faults)
}

/// Endpoints are killed, cut, frozen and reclaimed with notices that lie, one by one and half of
/// them at once; chunks come late, twice or not at all; entries die or hand off; verdicts on claims
/// are lost; callers leave and send again. A fault here is a notice sent twice, an answer with a
/// hole in it, or a request that was said not to have run.
#[test]
fn promises_hold_through_all_faults() {
    let first = random::seed(1);
    for seed in first..first + u64::from(random::cases(400)) {
        assert_eq!(run(RequestCfg::default(), Faults::All, seed), Ok(()), "seed {seed}");
    }
}

/// Endpoints go one after the other and half of them at once, each with a true notice of up to
/// thirty seconds. While one endpoint stays, every request that may be run again is answered whole.
#[test]
fn announced_reclaims_lose_no_request() {
    let first = random::seed(1);
    for seed in first..first + u64::from(random::cases(400)) {
        assert_eq!(run(RequestCfg::default(), Faults::Reclaims, seed), Ok(()), "seed {seed}");
    }
}

struct Case {
    weakening: Weakening,
    faults: Faults,
    breaks: Promise,
}

/// Were one line of the machine left out, the runs above have to notice; a check that notices
/// nothing proves nothing.
#[test]
fn each_weakening_is_noticed() {
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
        (Weakening::GiveUpOnReclaim, Faults::Reclaims, Promise::AcceptedSurvives),
        (Weakening::NoPatience, all, Promise::AcceptedSurvives),
    ];
    let cases = cases.map(|(weakening, faults, breaks)| Case { weakening, faults, breaks });
    for case in cases {
        let cfg = RequestCfg { weakening: Some(case.weakening), ..RequestCfg::default() };
        let breaks = |broken: &Broken| broken.promise == case.breaks;
        let noticed = (1..2000).find_map(|seed| run(cfg, case.faults, seed).err().filter(breaks));
        assert!(noticed.is_some(), "{:?} broke nothing", case.weakening);
    }
}
