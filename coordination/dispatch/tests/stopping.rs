//! The planned stop of an entry instance, and the calls that it still accepts meanwhile.

use sill_base::Millis;
use sill_dispatch::{AnswerMode, CallTimes, OpenCalls, StopPhase, StopPlan, StopTimes};

/// Returns recorded call times: plain calls of 20 to 60 ms, and streams of 0.5 to 2.7 s, of which
/// one in twenty took 9 s; one route has few calls.
fn recorded_times() -> CallTimes {
    let mut times = CallTimes::default();
    for turn in 0..20 {
        let stream = if turn == 7 { 9000 } else { 500 + 115 * turn };
        times.record_call(Millis(1000), &"chat".into(), Millis(stream));
        times.record_call(Millis(1000), &"lookup".into(), Millis(20 + 2 * turn));
    }
    for _ in 0..5 {
        times.record_call(Millis(1000), &"rare".into(), Millis(20));
    }
    times
}

/// The balancer still sends calls to a stopping instance, because it has not noticed the stop or
/// too few others of its failure domain are in rotation. A stream that is begun too late is cut in
/// the middle: the caller waited in vain, and may not send it again. A call that is refused
/// although it could be answered is lost as well, if no other instance can take it.
#[test]
fn a_call_is_begun_only_if_it_ends_before_the_instance() {
    struct Case {
        name: &'static str,
        route: &'static str,
        /// Time until the instance ends, and until the call ends at the latest, in ms.
        left: (u64, u64),
        /// Whether the balancer has noticed the stop.
        is_noticed: bool,
        expected: Option<AnswerMode>,
    }
    const NO: Option<AnswerMode> = None;
    const YES: Option<AnswerMode> = Some(AnswerMode::Passed);
    const HELD: Option<AnswerMode> = Some(AnswerMode::Held);
    let case =
        |name, route, left, expected| Case { name, route, left, is_noticed: false, expected };
    let noticed = |name, route, left, expected| Case {
        is_noticed: true,
        ..case(name, route, left, expected)
    };
    let cases = [
        case("a stream, early, although one took longer", "chat", (7500, 15_000), YES),
        case("a stream, as the balancer is about to notice", "chat", (5200, 15_000), YES),
        case("a stream that takes most of what is left", "chat", (4200, 15_000), NO),
        case("a stream where little is left", "chat", (2300, 15_000), NO),
        case("one with a short timeout", "chat", (2300, 2200), YES),
        case("a short call, late", "lookup", (100, 1500), YES),
        case("a short call, at the end", "lookup", (50, 1500), NO),
        case("a call of a route without recorded calls", "new", (4000, 15_000), NO),
        case("one that is answered in time in any case", "new", (4000, 3000), YES),
        noticed("a stream that may be longer than usual", "chat", (5000, 15_000), NO),
        noticed("a stream with a short timeout", "chat", (4000, 3900), YES),
        noticed("a short call", "lookup", (1600, 1500), YES),
        noticed("a short call, late", "lookup", (1400, 1500), HELD),
        noticed("a short call, at the end", "lookup", (100, 1500), NO),
        noticed("a stream that is usually over", "chat", (7000, 15_000), HELD),
        noticed("one of a route with few calls", "rare", (1400, 1500), NO),
        noticed("one that ends exactly with the instance", "lookup", (1500, 1500), YES),
        noticed("one that is over too late by a moment", "lookup", (1499, 1500), HELD),
    ];
    for case in cases {
        let now = Millis(5000);
        let noticed_at = if case.is_noticed { now } else { now + Millis(1) };
        let stop = StopTimes { noticed_at, ends_at: now + Millis(case.left.0) };
        let begin =
            recorded_times().answer_mode(now, &case.route.into(), now + Millis(case.left.1), stop);
        assert_eq!(begin, case.expected, "{}", case.name);
    }
}

/// A stream begins while the instance stops, and its endpoint has become slower. If the stream is
/// forwarded, it is cut in the middle at the end of the process; if it is buffered without need,
/// its caller waits for an answer that could be read meanwhile.
#[test]
fn a_stream_is_buffered_if_it_is_expected_to_outlast_the_instance() {
    struct Case {
        name: &'static str,
        route: &'static str,
        /// Time that the first part took, and time until the instance ends, in ms.
        times: (u64, u64),
        expected: AnswerMode,
    }
    let case = |name, times, expected| Case { name, route: "chat", times, expected };
    let cases = [
        case("as usual", (400, 6500), AnswerMode::Passed),
        case("faster than usual", (50, 6500), AnswerMode::Passed),
        case("late, with time left", (800, 8500), AnswerMode::Passed),
        case("late", (800, 6500), AnswerMode::Held),
        case("as usual, and little is left", (400, 3000), AnswerMode::Held),
        Case {
            route: "new",
            ..case("of a route without recorded calls", (400, 6500), AnswerMode::Passed)
        },
    ];
    let mut times = recorded_times();
    for turn in 0..20 {
        times.record_first_part(Millis(1000), &"chat".into(), Millis(100 + 15 * turn));
    }
    for Case { name, route, times: (first, left), expected } in cases {
        let now = Millis(5000);
        let stop = StopTimes { noticed_at: now, ends_at: now + Millis(left) };
        let forecast = times.forecast_stream(now, &route.into(), Millis(first), stop);
        assert_eq!(forecast.mode, expected, "{name}: {forecast:?}");
    }
}

/// All endpoints have fallen silent, and calls that wait for them have no time yet from which the usual
/// one would grow. A stream that is begun by it in a stop waits the silence out as well, and is cut.
#[test]
fn a_call_is_not_begun_by_the_usual_time_while_all_endpoints_are_silent() {
    struct Case {
        name: &'static str,
        route: &'static str,
        silence: u64,
        /// Time until the instance ends, and until the call ends at the latest, in ms.
        left: (u64, u64),
        is_noticed: bool,
        expected: Option<AnswerMode>,
    }
    let case = |name, silence, left, expected| Case {
        name,
        route: "chat",
        silence,
        left,
        is_noticed: false,
        expected,
    };
    const YES: Option<AnswerMode> = Some(AnswerMode::Passed);
    const HELD: Option<AnswerMode> = Some(AnswerMode::Held);
    let cases = [
        case("endpoints answer", 0, (5200, 15_000), YES),
        case("no longer than until a first part", 300, (5200, 15_000), YES),
        case("silent for long", 2600, (5200, 15_000), None),
        case("silent, but much time is left", 1200, (7500, 15_000), YES),
        case("silent, and the call ends in time", 2600, (5200, 5000), YES),
        Case { is_noticed: true, ..case("noticed, endpoints answer", 0, (7000, 15_000), HELD) },
        Case { is_noticed: true, ..case("noticed, silent", 2600, (7000, 15_000), None) },
        Case { route: "lookup", ..case("a short call, silent", 1200, (1500, 15_000), None) },
    ];
    for case in cases {
        let mut times = recorded_times();
        for turn in 0..20 {
            times.record_first_part(Millis(1000), &"chat".into(), Millis(100 + 15 * turn));
        }
        times.record_silence(Millis(case.silence));
        let now = Millis(5000);
        let noticed_at = if case.is_noticed { now } else { now + Millis(1) };
        let stop = StopTimes { noticed_at, ends_at: now + Millis(case.left.0) };
        let due = now + Millis(case.left.1);
        assert_eq!(
            times.answer_mode(now, &case.route.into(), due, stop),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// A reclaim made streams slow for some seconds. Long after it, calls must not be refused for that.
#[test]
fn old_call_times_are_forgotten() {
    let mut times = CallTimes::default();
    for _ in 0..10 {
        times.record_call(Millis(2000), &"chat".into(), Millis(6000));
    }
    let fits = |times: &CallTimes, now: Millis| {
        let stop = StopTimes { noticed_at: now + Millis(1000), ends_at: now + Millis(3000) };
        times.answer_mode(now, &"chat".into(), now + Millis(15_000), stop).is_some()
    };
    assert!(!fits(&times, Millis(12_000)));
    for at in [20_000, 36_000] {
        times.record_call(Millis(at), &"chat".into(), Millis(180));
    }
    assert!(fits(&times, Millis(37_000)));
}

/// Callers keep arriving at a stopping instance for as long as too few others are in rotation. If
/// it served them until its time is up, it would return seconds later than possible, and its
/// process might be killed in the middle of a call.
#[test]
fn a_stop_completes_older_calls_and_then_refuses_new_ones() {
    struct Case {
        name: &'static str,
        /// Time in ms, open connections from before and after the notice, and the expected phase.
        steps: &'static [(u64, usize, usize, StopPhase)],
    }
    use StopPhase::{Announcing, Draining, Ended, Refusing};
    let cases = [
        Case { name: "nothing open", steps: &[(0, 0, 0, Announcing), (2300, 0, 0, Ended)] },
        Case {
            name: "older connections, then none",
            steps: &[
                (0, 3, 0, Announcing),
                (2299, 3, 0, Announcing),
                (2300, 2, 0, Draining),
                (4000, 1, 5, Draining),
                (4500, 0, 2, Refusing),
                (4600, 0, 0, Ended),
            ],
        },
        Case {
            name: "a later call does not reopen it",
            steps: &[(2300, 1, 1, Draining), (2400, 0, 1, Refusing), (2500, 1, 1, Refusing)],
        },
        Case {
            name: "it ends in time with calls open",
            steps: &[(2300, 1, 0, Draining), (7499, 1, 0, Draining), (7500, 1, 0, Ended)],
        },
        Case { name: "first step after the end", steps: &[(9000, 4, 0, Ended)] },
    ];
    for case in cases {
        let times = StopTimes { noticed_at: Millis(2300), ends_at: Millis(7500) };
        let mut plan = StopPlan::new(times);
        for (at, older, later, expected) in case.steps {
            let open = OpenCalls { older: *older, later: *later };
            assert_eq!(plan.step(Millis(*at), open), *expected, "{} at {at} ms", case.name);
        }
    }
}
