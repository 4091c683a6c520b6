//! What is drawn from a seed.

use sill_base::Millis;
use sill_soak::cluster::STOP_LIMIT;
use sill_soak::plan::{
    Fault, LinkFault, Misbehavior, ProcessFault, ScheduledFault, Series, Sizes, plan,
};

const SIZES: Sizes = Sizes { controls: 3, entries: 3, endpoints: 4 };

/// Time after which a control instance that lost its disk has everything again.
const CAUGHT_UP: u64 = 4000;

/// The end of a fault that takes a control instance out.
fn out_until(scheduled: &ScheduledFault) -> Option<u64> {
    match scheduled.fault {
        Fault::Control(_, _, span) | Fault::ControlLinks(_, _, span) | Fault::AllControls(span) => {
            Some(scheduled.at.0 + span.0)
        }
        _ => None,
    }
}

/// With two of three control instances out at once no change could be acknowledged, and with two disks
/// lost one after the other acknowledged changes would be gone, whatever the program does. A run that
/// brings that about would report findings that are none.
#[test]
fn no_plan_takes_more_from_the_control_instances_than_they_promise_to_bear() {
    for seed in 0..500 {
        let faults = plan(seed, Millis(60_000), SIZES);
        let outs = faults.iter().filter_map(|scheduled| Some((scheduled, out_until(scheduled)?)));
        let outs: Vec<(&ScheduledFault, u64)> = outs.collect();
        for pair in outs.windows(2) {
            let [(first, until), (second, _)] = pair else { unreachable!() };
            assert!(second.at.0 >= *until, "seed {seed}: {first:?}, then {second:?}");
            if matches!(first.fault, Fault::Control(_, ProcessFault::LoseDisk, _)) {
                let since = second.at.0 - until;
                assert!(since >= CAUGHT_UP, "seed {seed}: {since} ms after {first:?}");
            }
        }
    }
}

/// A call was lost where several entry instances stopped while callers had nowhere else to go. Stops that
/// come alone, or wait until the ones before are over, never show it: in a plan they are often on at once,
/// and beside a kill, a pause or a stop of another track.
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

/// The short run in CI must bring about what can break each promise: an answer that is lost, a connection
/// to an endpoint that is reset, an entry instance and a control instance that go. A run of endpoints
/// that are merely slow passed although the program repeated what must not run twice.
#[test]
fn the_short_run_has_a_fault_for_each_promise() {
    let faults = plan(
        sill_soak::run::SHORT_RUN.seed,
        Millis::from_secs(sill_soak::run::SHORT_RUN.seconds),
        SIZES,
    );
    let has =
        |is_meant: fn(&Fault) -> bool| faults.iter().any(|scheduled| is_meant(&scheduled.fault));
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
