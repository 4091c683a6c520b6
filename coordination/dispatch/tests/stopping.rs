//! Which calls an entry instance still begins while it stops.

use sill_base::Millis;
use sill_dispatch::{CallBounds, CallTime, CallTimes, StopTimes};

/// What an instance has seen: plain calls of up to 60 ms, and streams of up to 300 ms to the first part
/// and 8 ms a token.
fn seen() -> CallTimes {
    let mut times = CallTimes::default();
    for (first, whole, output) in [(120, 620, 100), (300, 2700, 300), (90, 100, 10)] {
        let call = CallTime { first: Millis(first), whole: Millis(whole), output };
        times.took(Millis(1000), &"chat".into(), call);
    }
    for whole in [20, 60, 40] {
        let call = CallTime { first: Millis(whole), whole: Millis(whole), output: 0 };
        times.took(Millis(1000), &"lookup".into(), call);
    }
    times
}

/// The balancer still sends calls to an instance that stops, because too few others of its failure domain
/// are in rotation. A stream that is begun too late is cut in the middle: the caller waited in vain, and may
/// not send it again. A short call that is refused although it could be answered is lost time as well.
#[test]
fn a_call_is_begun_only_if_it_ends_before_the_instance() {
    struct Case {
        name: &'static str,
        route: &'static str,
        output: u32,
        /// Time until the instance ends, and until the caller has an answer in any case.
        left: (u64, u64),
        /// Whether the balancer has noticed.
        is_noticed: bool,
        expected: bool,
    }
    let case = |name, route, output, left, expected| Case {
        name,
        route,
        output,
        left,
        is_noticed: false,
        expected,
    };
    let noticed = |name, route, output, left, expected| Case {
        is_noticed: true,
        ..case(name, route, output, left, expected)
    };
    let cases = [
        case("a long stream, early", "chat", 300, (4000, 15_000), true),
        case("a long stream, late", "chat", 300, (2500, 15_000), false),
        case("a short stream, as late", "chat", 50, (2500, 15_000), true),
        case("any stream, at the end", "chat", 1, (200, 15_000), false),
        case("a short call, late", "lookup", 0, (100, 1500), true),
        case("a short call, at the end", "lookup", 0, (50, 1500), false),
        case("a call that was never seen", "new", 0, (4000, 15_000), false),
        case("one that is answered in time in any case", "new", 0, (4000, 3000), true),
        noticed("a stream that may be longer than any before", "chat", 50, (4000, 15_000), false),
        noticed("a stream with a short timeout", "chat", 50, (4000, 3900), true),
        noticed("a short call", "lookup", 0, (1600, 1500), true),
        noticed("a short call, at the end", "lookup", 0, (1400, 1500), false),
    ];
    for case in cases {
        let now = Millis(5000);
        let bounds = CallBounds { output: case.output, due: now + Millis(case.left.1) };
        let noticed_at = if case.is_noticed { now } else { now + Millis(1) };
        let stop = StopTimes { noticed_at, ends_at: now + Millis(case.left.0) };
        let fits = seen().fits(now, &case.route.into(), bounds, stop);
        assert_eq!(fits, case.expected, "{}", case.name);
    }
}

/// A reclaim made streams slow for some seconds. Long after it, calls must not be refused for that.
#[test]
fn long_times_of_long_ago_are_forgotten() {
    let mut times = seen();
    let slow = CallTime { first: Millis(5000), whole: Millis(6000), output: 10 };
    times.took(Millis(2000), &"chat".into(), slow);
    let bounds = |now: Millis| CallBounds { output: 10, due: now + Millis(15_000) };
    let fits = |times: &CallTimes, now: Millis| {
        let stop = StopTimes { noticed_at: now + Millis(1000), ends_at: now + Millis(3000) };
        times.fits(now, &"chat".into(), bounds(now), stop)
    };
    assert!(!fits(&times, Millis(12_000)));
    for at in [20_000, 36_000] {
        let usual = CallTime { first: Millis(100), whole: Millis(180), output: 10 };
        times.took(Millis(at), &"chat".into(), usual);
    }
    assert!(fits(&times, Millis(37_000)));
}
