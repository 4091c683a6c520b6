//! When streams without a marked end count as whole.

use sill_base::Millis;
use sill_dispatch::events::may_follow;
use sill_dispatch::{EndChecks, EndStep, EndpointCheck, ResumeChecks};

const HEARTBEAT: Millis = Millis(600);

/// Time that a check takes.
const CHECK_TIME: Millis = Millis(100);

/// Plays an end at 0 in virtual time, at an endpoint that a check finds only if it begins before
/// `ends_at`. Returns the decision, its time and the number of checks.
fn play(ends_at: Millis) -> (EndpointCheck, Millis, usize) {
    let mut checks = EndChecks::new(HEARTBEAT);
    let (mut now, mut count) = (Millis::ZERO, 0);
    loop {
        match checks.step(now, &"e1", Millis::ZERO) {
            EndStep::Decided(check) => return (check, now, count),
            EndStep::Wait(until) => now = until,
            EndStep::Check => {
                count += 1;
                let is_found = now < ends_at;
                let check = if is_found { EndpointCheck::Running } else { EndpointCheck::Ended };
                now = now + if is_found { CHECK_TIME } else { Millis(1) };
                checks.record(now, &"e1", check);
            }
        }
    }
}

/// If one check right after the end decided, an endpoint whose listener closes last would pass it.
#[test]
fn an_endpoint_has_to_outlive_the_end_by_a_heartbeat() {
    struct Case {
        ends_at: Millis,
        check: EndpointCheck,
        latest: Millis,
    }
    let ended = |ends_at: u64| Case {
        ends_at: Millis(ends_at),
        check: EndpointCheck::Ended,
        latest: Millis(ends_at + 251),
    };
    let running = Case {
        ends_at: Millis::MAX,
        check: EndpointCheck::Running,
        latest: HEARTBEAT + CHECK_TIME,
    };
    for case in [0, 5, 15, 40, 100, 300, 599].map(ended).into_iter().chain([running]) {
        let (check, at, count) = play(case.ends_at);
        assert_eq!(check, case.check, "ends at {:?}", case.ends_at);
        assert!(at <= case.latest, "ends at {:?}, decided at {at:?}", case.ends_at);
        assert!(count <= 5, "{count} checks");
    }
}

/// Callers leave after 2 s of silence.
#[test]
fn an_end_is_held_for_less_than_callers_wait() {
    let mut checks = EndChecks::new(Millis(60_000));
    assert_eq!(checks.step(Millis::ZERO, &"e1", Millis::ZERO), EndStep::Check);
    checks.record(CHECK_TIME, &"e1", EndpointCheck::Running);
    let mut now = CHECK_TIME;
    let decided = loop {
        match checks.step(now, &"e1", Millis::ZERO) {
            EndStep::Wait(until) => now = until,
            EndStep::Check => {
                now = now + CHECK_TIME;
                checks.record(now, &"e1", EndpointCheck::Running);
            }
            EndStep::Decided(check) => break check,
        }
    };
    assert_eq!(decided, EndpointCheck::Running);
    assert!(now < Millis(1000), "{now:?}");
}

/// Many streams end at one endpoint. If each checked it alone, the checks would fill its queue.
#[test]
fn ends_at_one_endpoint_share_its_checks() {
    let mut checks = EndChecks::new(HEARTBEAT);
    assert_eq!(checks.step(Millis(10), &"e1", Millis(10)), EndStep::Check);
    for end in 11..50 {
        let step = checks.step(Millis(end), &"e1", Millis(end));
        assert!(matches!(step, EndStep::Wait(_)), "{step:?}");
    }
    assert_eq!(checks.step(Millis(50), &"e2", Millis(50)), EndStep::Check, "another endpoint");
    checks.record(Millis(60), &"e1", EndpointCheck::Ended);
    for end in 10..50 {
        let step = checks.step(Millis(60), &"e1", Millis(end));
        assert_eq!(step, EndStep::Decided(EndpointCheck::Ended));
    }
    // The endpoint runs again.
    assert_eq!(checks.step(Millis(70), &"e1", Millis(70)), EndStep::Check);
}

/// Resumptions that show nothing would use up the retries of a service.
#[test]
fn fewer_ends_are_resumed_the_more_were_whole() {
    let service = "desk".into();
    let mut checks = ResumeChecks::default();
    let mut play = |count: usize, was_short| {
        let checked = (0..count).filter(|_| {
            let may_check = checks.may_check(&service);
            if may_check {
                checks.record(&service, was_short);
            }
            may_check
        });
        checked.count()
    };
    assert!((5..=9).contains(&play(100, false)));
    assert!(play(1000, false) <= 17);
    // One that was short is found within the largest pause, and the next are all checked.
    assert!(play(164, true) >= 100);
    assert!(play(100, false) <= 9);
}

/// An endpoint that begins a whole stream anew would have its caller read it twice.
#[test]
fn only_later_events_follow() {
    struct Case {
        last: &'static str,
        events: &'static str,
        may_follow: bool,
    }
    let case = |last, events, may_follow| Case { last, events, may_follow };
    let cases = [
        case("2", "id: 3\ndata: c\n\n", true),
        case("9", "\u{feff}: alive\r\nid:10\r\ndata: j\r\n\r\n", true),
        case("2", "id: 1\ndata: a\n\nid: 2\n\nid: 3\n\n", false),
        case("2", "id: 2\ndata: b\n\n", false),
        case("b", "id: b\n\n", false),
        case("b", "id: c\n\n", true),
        case("2", "data: end\n\n", false),
        case("2", "", false),
    ];
    for Case { last, events, may_follow: expected } in cases {
        assert_eq!(may_follow(last, events.as_bytes()), expected, "{last}: {events:?}");
    }
}
