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
    let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
    let (mut now, mut count) = (Millis::ZERO, 0);
    loop {
        match checks.step(now, &"e1", Millis::ZERO, Millis::MAX) {
            EndStep::Decided(check) => return (check, now, count),
            EndStep::NoTime => panic!("there is time"),
            EndStep::Wait(until) => now = until,
            EndStep::Check => {
                count += 1;
                let is_found = now < ends_at;
                let check = if is_found { EndpointCheck::Running } else { EndpointCheck::Ended };
                let began_at = now;
                now = now + if is_found { CHECK_TIME } else { Millis(1) };
                checks.record(now, &"e1", began_at, check);
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
    let mut checks = EndChecks::new(Millis(60_000), CHECK_TIME);
    assert_eq!(checks.step(Millis::ZERO, &"e1", Millis::ZERO, Millis::MAX), EndStep::Check);
    checks.record(CHECK_TIME, &"e1", Millis::ZERO, EndpointCheck::Running);
    let mut now = CHECK_TIME;
    let decided = loop {
        match checks.step(now, &"e1", Millis::ZERO, Millis::MAX) {
            EndStep::Wait(until) => now = until,
            EndStep::Check => {
                let began_at = now;
                now = now + CHECK_TIME;
                checks.record(now, &"e1", began_at, EndpointCheck::Running);
            }
            EndStep::Decided(check) => break check,
            EndStep::NoTime => panic!("there is time"),
        }
    };
    assert_eq!(decided, EndpointCheck::Running);
    assert!(now < Millis(1000), "{now:?}");
}

/// Many streams end at one endpoint. If each checked it alone, the checks would fill its queue.
#[test]
fn ends_at_one_endpoint_share_its_checks() {
    let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
    assert_eq!(checks.step(Millis(10), &"e1", Millis(10), Millis::MAX), EndStep::Check);
    for end in 11..50 {
        let step = checks.step(Millis(end), &"e1", Millis(end), Millis::MAX);
        assert!(matches!(step, EndStep::Wait(_)), "{step:?}");
    }
    assert_eq!(
        checks.step(Millis(50), &"e2", Millis(50), Millis::MAX),
        EndStep::Check,
        "another endpoint"
    );
    checks.record(Millis(60), &"e1", Millis(10), EndpointCheck::Ended);
    for end in 10..50 {
        let step = checks.step(Millis(60), &"e1", Millis(end), Millis::MAX);
        assert_eq!(step, EndStep::Decided(EndpointCheck::Ended));
    }
    // The endpoint runs again.
    assert_eq!(checks.step(Millis(70), &"e1", Millis(70), Millis::MAX), EndStep::Check);
}

/// Plays ends at these times, all of them to be decided by `decide_by`, at an endpoint that checks find
/// if they begin before `ends_at`. Returns the decisions with their times, and the number of checks.
fn play_all(
    ends: &[Millis],
    decide_by: Millis,
    ends_at: Millis,
) -> (Vec<(EndStep, Millis)>, usize) {
    let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
    let mut running: Vec<Millis> = Vec::new();
    let mut decided = vec![None; ends.len()];
    let mut count = 0;
    for now in (0..2000).map(Millis) {
        while let Some(began_at) = running.first().copied().filter(|at| now >= *at + CHECK_TIME) {
            running.remove(0);
            let is_found = began_at < ends_at;
            let check = if is_found { EndpointCheck::Running } else { EndpointCheck::Ended };
            checks.record(now, &"e1", began_at, check);
        }
        for (ended_at, decided) in ends.iter().zip(&mut decided) {
            if now < *ended_at || decided.is_some() {
                continue;
            }
            match checks.step(now, &"e1", *ended_at, decide_by) {
                EndStep::Wait(_) => {}
                EndStep::Check => {
                    running.push(now);
                    count += 1;
                }
                step => *decided = Some((step, now)),
            }
        }
    }
    (decided.into_iter().map(|decided| decided.expect("a decision")).collect(), count)
}

/// Whole streams would be cut whose ends can't be shown in the usual time.
#[test]
fn ends_are_decided_before_the_call_or_the_process_ends() {
    let decide_by = Millis(1000);
    // The last check begins at 900, and an endpoint must have outlived the end by 300 then.
    let ends: Vec<Millis> = (0..=600).step_by(10).map(Millis).collect();
    let (decided, count) = play_all(&ends, decide_by, Millis::MAX);
    for (ended_at, (step, at)) in ends.iter().zip(decided) {
        assert_eq!(step, EndStep::Decided(EndpointCheck::Running), "ended at {ended_at:?}");
        assert!(at <= decide_by, "ended at {ended_at:?}, decided at {at:?}");
        assert!(at >= *ended_at + Millis(300) + CHECK_TIME, "ended at {ended_at:?}: {at:?}");
    }
    assert!(count <= 12, "{count} checks for {} ends", ends.len());
}

/// The last check would come too late if it waited for one that runs.
#[test]
fn the_last_check_does_not_wait_for_one_that_runs() {
    for first in (300..900).map(Millis) {
        let ends = [first, Millis(600)];
        let (decided, _) = play_all(&ends[1..], Millis(1000), Millis::MAX);
        assert!(decided[0].1 <= Millis(1000), "{first:?}: {decided:?}");
        let (decided, _) = play_all(&ends, Millis(1000), Millis::MAX);
        assert_eq!(decided[1].0, EndStep::Decided(EndpointCheck::Running), "{first:?}");
        assert!(decided[1].1 <= Millis(1000), "{first:?}: {decided:?}");
    }
}

/// Short streams would look whole if less time sufficed because a call or the process ends.
#[test]
fn an_end_shortly_before_the_last_moment_is_no_proof() {
    let ends: Vec<Millis> = (0..1000).step_by(7).map(Millis).collect();
    for outlives in [0, 15, 100, 300] {
        for ended_at in &ends {
            let ends_at = *ended_at + Millis(outlives);
            let (decided, _) = play_all(&[*ended_at], Millis(1000), ends_at);
            let (step, _) = decided[0];
            let is_whole = step == EndStep::Decided(EndpointCheck::Running);
            assert!(!is_whole, "ended at {ended_at:?}, the listener {outlives} ms later");
        }
    }
    let (decided, count) = play_all(&[Millis(601)], Millis(1000), Millis::MAX);
    assert_eq!((decided[0], count), ((EndStep::NoTime, Millis(601)), 0));
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
