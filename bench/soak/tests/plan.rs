//! Tests of the fault schedule that is generated from a seed.

use std::collections::BTreeSet;

use sill_base::Millis;
use sill_soak::cluster::STOP_LIMIT;
use sill_soak::plan::{
    Crash, Fault, LinkFault, Misbehavior, ProcessFault, Remains, ScheduledFault, Series, Sizes,
    crash_plan, plan, planned_work,
};

const SIZES: Sizes = Sizes { controls: 3, entries: 3, endpoints: 4 };

/// Minimum time in milliseconds that a control instance needs to recover after losing its disk.
const MIN_CATCH_UP_MS: u64 = 4000;

/// Returns the end in milliseconds of a fault that takes down a control instance.
fn outage_end(scheduled: &ScheduledFault) -> Option<u64> {
    match scheduled.fault {
        Fault::Control(_, _, span) | Fault::ControlLinks(_, _, span) | Fault::AllControls(span) => {
            Some(scheduled.at.0 + span.0)
        }
        _ => None,
    }
}

/// With two of three control instances down no change can be acknowledged, and with two disks lost
/// in quick succession acknowledged changes are lost, whatever the program does. A plan that causes
/// this would report false findings.
#[test]
fn no_plan_exceeds_the_faults_that_control_instances_tolerate() {
    for seed in 0..500 {
        let faults = plan(seed, Millis(60_000), SIZES);
        let outages =
            faults.iter().filter_map(|scheduled| Some((scheduled, outage_end(scheduled)?)));
        let outages: Vec<(&ScheduledFault, u64)> = outages.collect();
        for pair in outages.windows(2) {
            let [(first, until), (second, _)] = pair else { unreachable!() };
            assert!(second.at.0 >= *until, "seed {seed}: {first:?}, then {second:?}");
            if matches!(first.fault, Fault::Control(_, ProcessFault::LoseDisk, _)) {
                let since = second.at.0 - until;
                assert!(since >= MIN_CATCH_UP_MS, "seed {seed}: {since} ms after {first:?}");
            }
        }
    }
}

/// Guards against lost requests when several entry instances stop at once and callers have no other
/// instance to use. Separate stops, or stops that wait for the previous one, never show this. Plans
/// must often have overlapping stops, also beside a kill, a pause or a stop of another track.
#[test]
fn planned_stops_overlap_with_each_other_and_with_other_faults() {
    const SEEDS: u64 = 200;
    let (mut at_once, mut beside) = (0, 0);
    for seed in 0..SEEDS {
        let faults = plan(seed, Millis(15_000), SIZES);
        let series = faults.iter().filter_map(|scheduled| match scheduled.fault {
            Fault::Stops(series) => Some((scheduled.at, series)),
            _ => None,
        });
        let series: Vec<(Millis, Series)> = series.collect();
        let is_hit_at = |from: Millis| {
            let hits = faults.iter().filter(|p| matches!(p.fault, Fault::Entry(..)));
            hits.into_iter().any(|p| p.at >= from && p.at - from < STOP_LIMIT)
        };
        at_once += u64::from(series.iter().any(|(_, s)| s.count > 1 && s.gap < STOP_LIMIT));
        beside += u64::from(series.iter().any(|(at, _)| is_hit_at(*at)));
    }
    assert!(at_once > SEEDS * 3 / 4, "{at_once} of {SEEDS} seeds have stops at once");
    assert!(beside > SEEDS / 2, "{beside} of {SEEDS} seeds have stops beside other faults");
}

/// The short run in CI must inject faults that can break each guarantee: a lost answer, a reset
/// connection to an endpoint, the loss of an entry instance and of a control instance. With
/// endpoints that are only slow, the run passes even if the program repeats non-idempotent
/// requests.
#[test]
fn the_short_run_has_a_fault_for_each_guarantee() {
    let faults = plan(
        sill_soak::run::SHORT_RUN.seed,
        Millis::from_secs(sill_soak::run::SHORT_RUN.seconds),
        SIZES,
    );
    let has =
        |is_kind: fn(&Fault) -> bool| faults.iter().any(|scheduled| is_kind(&scheduled.fault));
    assert!(has(|f| matches!(f, Fault::Endpoint(_, Misbehavior::LoseAnswer, _))));
    assert!(has(|f| matches!(f, Fault::EndpointLink(_, LinkFault::Reset | LinkFault::Silent, _))));
    assert!(has(|f| matches!(f, Fault::Endpoint(_, Misbehavior::CutAnswer, _))));
    assert!(has(|f| matches!(f, Fault::Entry(_, ProcessFault::Kill | ProcessFault::Stop, _))));
    assert!(has(|f| matches!(
        f,
        Fault::Control(_, ProcessFault::Kill | ProcessFault::LoseDisk, _)
    )));
    assert!(has(
        |f| matches!(f, Fault::Stops(series) if series.count > 1 && series.gap < STOP_LIMIT)
    ));
}

/// A proof that is right for one kind of crash is wrong for another. Plans must have all of them:
/// what the address shows afterwards, with an announcement and without.
#[test]
fn crashes_are_of_all_kinds() {
    let crashes = (0..20).flat_map(|seed| crash_plan(seed, Millis(15_000), SIZES));
    let crashes: Vec<Crash> = crashes
        .map(|scheduled| match scheduled.fault {
            Fault::Crash(_, crash) => crash,
            other => panic!("{other:?} is no crash"),
        })
        .collect();
    for remains in [Remains::Refusal, Remains::Listener, Remains::FullQueue] {
        for is_announced in [false, true] {
            let is_kind = |c: &&Crash| c.remains == remains && c.is_announced == is_announced;
            let count = crashes.iter().filter(is_kind).count();
            assert!(count >= 5, "{count} crashes of {remains:?}, announced: {is_announced}");
        }
    }
    assert!(crashes.iter().all(|crash| crash.down <= Millis(2000)));
}

/// Faults beside planned work excuse the answers that it cuts. The plans must have none, and all kinds
/// of planned work.
#[test]
fn planned_work_is_of_all_kinds_and_alone() {
    let kind = |fault| match fault {
        Fault::Stops(series) if series.count > 1 && series.gap < STOP_LIMIT => "overlapping stops",
        Fault::Stops(_) => "stops",
        Fault::Leave(_) => "leaving endpoint",
        Fault::Entry(_, ProcessFault::Hangup, _) => "SIGHUP, entry instance",
        Fault::Control(_, ProcessFault::Hangup, _) => "SIGHUP, control instance",
        Fault::Control(_, ProcessFault::Stop, _) => "stop, control instance",
        other => panic!("{other:?} is not planned work"),
    };
    let work = (0..20).flat_map(|seed| planned_work(seed, Millis(15_000), SIZES));
    let kinds: BTreeSet<&str> = work.map(|scheduled| kind(scheduled.fault)).collect();
    assert_eq!(kinds.len(), 6, "{kinds:?}");
}
