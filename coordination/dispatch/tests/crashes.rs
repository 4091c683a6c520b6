//! Which requests are blocked after endpoints have crashed.

use sill_base::{Millis, Name};
use sill_dispatch::{BlockChange, BrokenAnswer, BrokenAnswers, BrokenRequest, CrashLog};
use sill_wire::{CompletedRequest, EndpointCrash, Incarnation, RequestKey};

/// Time by which all crashes of a case count.
const SETTLED: Millis = Millis(60_000);

fn key(name: &str) -> RequestKey {
    RequestKey::of(&[name.as_bytes()])
}

fn crash(number: usize, requests: &[&str]) -> EndpointCrash {
    EndpointCrash {
        endpoint: format!("e{number}").into(),
        incarnation: Incarnation(1),
        requests: requests.iter().map(|name| key(name)).collect(),
        prompts: Vec::new(),
        age: Millis::ZERO,
        is_presumed: false,
    }
}

fn completed(name: &str) -> CompletedRequest {
    CompletedRequest { request: key(name), age: Millis::ZERO }
}

/// What an entry instance learns, in order.
enum Step {
    /// An endpoint crashed while it ran these requests.
    Crash(&'static [&'static str]),
    /// A request was answered completely.
    Completed(&'static str),
}

use Step::{Completed, Crash};

/// Steps are 100 ms apart.
fn log_after(steps: &[Step]) -> CrashLog {
    let mut log = CrashLog::default();
    for (i, step) in steps.iter().enumerate() {
        let now = Millis(100 * (i as u64 + 1));
        match step {
            Crash(requests) => _ = log.record(now, &crash(i, requests)),
            Completed(name) => _ = log.record_completed(now, completed(name)),
        }
    }
    log
}

/// One request crashes each endpoint that runs it. It must be blocked after the third crash, and
/// none that ran beside it, also not those that come again.
#[test]
fn only_the_request_that_crashes_endpoints_is_blocked() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        blocked: &'static [&'static str],
    }
    let cases = [
        Case { name: "two crashes", steps: &[Crash(&["p"]), Crash(&["p"])], blocked: &[] },
        Case {
            name: "three crashes",
            steps: &[Crash(&["p"]), Crash(&["p"]), Crash(&["p"])],
            blocked: &["p"],
        },
        Case {
            name: "others ran beside",
            steps: &[Crash(&["p", "a", "b"]), Crash(&["p", "c"]), Crash(&["p", "d", "a"])],
            blocked: &["p"],
        },
        Case {
            name: "another one ran beside twice and alone once",
            steps: &[
                Crash(&["p", "a"]),
                Crash(&["p", "a"]),
                Crash(&["p"]),
                Crash(&["p"]),
                Crash(&["a"]),
            ],
            blocked: &["p"],
        },
        Case {
            name: "another one ran beside each time",
            steps: &[Crash(&["p", "a"]), Crash(&["p", "a"]), Crash(&["p", "a"])],
            blocked: &[],
        },
        Case {
            name: "another one ran beside each time but the last",
            steps: &[Crash(&["p", "a"]), Crash(&["p", "a"]), Crash(&["p", "a"]), Crash(&["p"])],
            blocked: &["p"],
        },
        Case {
            name: "another one was answered completely",
            steps: &[Crash(&["p", "a"]), Crash(&["p", "a"]), Crash(&["p", "a"]), Completed("a")],
            blocked: &["p"],
        },
        Case {
            name: "two that crash endpoints, once together",
            steps: &[
                Crash(&["p", "q"]),
                Crash(&["p"]),
                Crash(&["q"]),
                Crash(&["p"]),
                Crash(&["q"]),
                Crash(&["q"]),
                Crash(&["p"]),
            ],
            blocked: &["p", "q"],
        },
        Case {
            name: "answered completely after the crashes",
            steps: &[Crash(&["p"]), Crash(&["p"]), Crash(&["p"]), Completed("p")],
            blocked: &[],
        },
        Case {
            name: "answered completely before the last crash",
            steps: &[Crash(&["p"]), Crash(&["p"]), Completed("p"), Crash(&["p"])],
            blocked: &[],
        },
    ];
    for case in cases {
        let mut log = log_after(case.steps);
        log.review(SETTLED);
        for name in ["p", "q", "a", "b", "c", "d"] {
            let is_blocked = log.blocked_for(SETTLED, key(name)).is_some();
            assert_eq!(is_blocked, case.blocked.contains(&name), "{name}: {}", case.name);
        }
    }
}

/// Endpoints crash by themselves, four a second, while everybody sends the same three requests.
/// Each crash breaks off all three; complete answers in between must keep them from being blocked,
/// also if reports of crashes arrive late and together.
#[test]
fn requests_that_many_send_are_not_blocked_when_endpoints_crash_by_themselves() {
    const COMMON: [&str; 3] = ["a", "b", "c"];
    for delay in [0, 250, 500] {
        let mut log = CrashLog::default();
        for tick in 0..1200_u64 {
            let now = Millis(1000 + tick * 50);
            if tick % 10 == 9 {
                for crashed in [tick - 9, tick - 4] {
                    let age = Millis((tick - crashed) * 50 + delay);
                    log.record(now, &EndpointCrash { age, ..crash(crashed as usize, &COMMON) });
                }
            }
            if tick % 4 == 1 {
                let name = COMMON[tick as usize / 4 % 3];
                log.record_completed(now, completed(name));
            }
            log.review(now);
            for name in COMMON {
                assert_eq!(log.blocked_for(now, key(name)), None, "{name} at {now}, delay {delay}");
            }
        }
    }
}

/// The answers that break off in one crash come from several entry instances. Before all have
/// reported, a request that ran beside could look like the cause.
#[test]
fn a_crash_counts_only_once_all_have_reported_it() {
    let mut log = CrashLog::default();
    for number in 0..3 {
        log.record(Millis(100), &crash(number, &["a"]));
    }
    assert_eq!(log.review(Millis(1000)), []);
    for number in 0..4 {
        log.record(Millis(1000), &crash(number, &["p"]));
    }
    log.review(Millis(3000));
    assert_eq!(log.blocked_for(Millis(3000), key("a")), None);
    assert!(log.blocked_for(Millis(3000), key("p")).is_some());
}

/// An entry instance that has just started hears of old crashes. It must block the request at once,
/// and not for longer than the others do.
#[test]
fn an_instance_that_has_just_started_blocks_what_the_others_block() {
    let mut old = log_after(&[Crash(&["p"]), Crash(&["p"]), Crash(&["p"])]);
    old.review(SETTLED);
    let (last, update) = old.newer_than(SETTLED, 0);
    let mut new = CrashLog::default();
    let now = Millis(5);
    update.crashes.iter().for_each(|crash| assert!(new.record(now, crash)));
    assert!(
        matches!(new.review(now)[..], [BlockChange::Blocked(request, _)] if request == key("p"))
    );
    assert_eq!(new.blocked_for(now, key("p")), old.blocked_for(SETTLED, key("p")));
    assert!(update.crashes.iter().all(|crash| !new.record(now, crash)), "known crashes are news");
    assert!(old.newer_than(SETTLED, last).1.is_empty());
}

/// A request that was answered before it began to crash endpoints is blocked by the others. One that
/// has just started must not take the answer for later than the crashes.
#[test]
fn an_instance_that_has_just_started_knows_what_was_first() {
    let mut old = log_after(&[Completed("p"), Crash(&["p"]), Crash(&["p"]), Crash(&["p"])]);
    old.review(SETTLED);
    assert!(old.blocked_for(SETTLED, key("p")).is_some());
    let (_, update) = old.newer_than(SETTLED, 0);
    assert_eq!(update.completed.len(), 1);
    let mut new = CrashLog::default();
    let now = Millis(5);
    update.crashes.iter().for_each(|crash| assert!(new.record(now, crash)));
    update.completed.iter().for_each(|completed| _ = new.record_completed(now, *completed));
    new.review(now);
    assert!(new.blocked_for(now, key("p")).is_some());
}

/// A block must end: the endpoints may have been mended.
#[test]
fn a_block_ends_ten_minutes_after_the_third_to_last_crash() {
    let mut log = log_after(&[Crash(&["p"]), Crash(&["p"]), Crash(&["p"])]);
    log.review(SETTLED);
    let end = Millis(600_100);
    assert_eq!(log.blocked_for(SETTLED, key("p")), Some(end - SETTLED));
    assert_eq!(log.review(end), [BlockChange::Lifted(key("p"))]);
    assert_eq!(log.blocked_for(end, key("p")), None);
}

/// Callers send many different requests while endpoints crash. Memory must stay bounded, and the
/// crashes that block a request must not be dropped for newer ones.
#[test]
fn the_log_is_bounded_and_keeps_what_blocks() {
    let mut log = log_after(&[Crash(&["p"]), Crash(&["p"]), Crash(&["p"])]);
    log.review(SETTLED);
    for number in 0..1200_u64 {
        let now = SETTLED + Millis(number);
        let names: Vec<String> = (0..150).map(|i| format!("{number}/{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        log.record(now, &crash(100 + number as usize, &names));
        log.record_completed(now, completed(&format!("{number}/0")));
    }
    let now = SETTLED + Millis(4000);
    log.review(now);
    assert!(log.blocked_for(now, key("p")).is_some());
    let (mut seen, mut crashes, mut answers) = (0, 0, 0);
    loop {
        let (last, update) = log.newer_than(now, seen);
        if update.is_empty() {
            break;
        }
        assert!(update.crashes.len() <= 32 && update.completed.len() <= 32);
        assert!(update.crashes.iter().all(|crash| crash.requests.len() <= 128));
        crashes += update.crashes.len();
        answers += update.completed.len();
        assert!(last > seen);
        seen = last;
    }
    assert!(crashes <= 256 && answers <= 1024, "{crashes} crashes, {answers} answers");
}

/// A single answer breaks off, or the network fails, and the endpoint goes on. Its requests must
/// not be blamed for a crash, neither then nor when it crashes later.
#[test]
fn broken_answers_count_only_if_their_endpoint_has_crashed() {
    let (endpoint, incarnation) = (Name::from("e"), Incarnation(1));
    let mut broken = BrokenAnswers::default();
    let record = |broken: &mut BrokenAnswers, at, name| {
        let request = BrokenRequest { request: key(name), prompt: None };
        broken.record(Millis(at), &endpoint, incarnation, request)
    };
    assert_eq!(record(&mut broken, 0, "a"), BrokenAnswer::Check);
    assert_eq!(record(&mut broken, 10, "b"), BrokenAnswer::Pending);
    broken.finish_check(&endpoint, incarnation);
    assert_eq!(record(&mut broken, 5000, "p"), BrokenAnswer::Check);
    assert_eq!(record(&mut broken, 5001, "c"), BrokenAnswer::Pending);
    let crash = broken.confirm(Millis(5100), &endpoint, incarnation, false).expect("a crash");
    let mut expected = vec![key("p"), key("c")];
    expected.sort_unstable();
    assert_eq!((crash.requests, crash.age), (expected, Millis(99)));
    assert_eq!(broken.confirm(Millis(5200), &endpoint, incarnation, false), None);
    let later = record(&mut broken, 5300, "d");
    assert!(matches!(later, BrokenAnswer::Crash(crash) if crash.requests == [key("d")]));
    assert_eq!(broken.confirm(Millis(5400), &endpoint, Incarnation(2), false), None);
    record(&mut broken, 6000, "x");
    assert_eq!(broken.confirm(Millis(11_001), &endpoint, incarnation, false), None);
}

/// Endpoints stand still, and the requests that wait there are blocked as if they had crashed them,
/// although the endpoints return.
#[test]
fn what_the_silence_of_an_endpoint_counted_against_requests_goes_with_its_return() {
    struct Case {
        name: &'static str,
        /// Whether connections to the endpoints are refused as well.
        is_refused: bool,
        is_blocked: bool,
    }
    let cases = [
        Case { name: "silent", is_refused: false, is_blocked: false },
        Case { name: "refused", is_refused: true, is_blocked: true },
    ];
    for Case { name, is_refused, is_blocked } in cases {
        let mut log = CrashLog::default();
        let presumed = |i| EndpointCrash { is_presumed: true, ..crash(i, &["a"]) };
        (0..4).for_each(|i| _ = log.record(Millis(1000), &presumed(i)));
        if is_refused {
            (0..4).for_each(|i| _ = log.record(Millis(1500), &crash(i, &["a"])));
        }
        assert_eq!(log.review(Millis(4000)).len(), 1, "{name}: blocked while they are silent");
        for i in 0..4 {
            let endpoint: Name = format!("e{i}").into();
            let is_withdrawn = log.record_return(Millis(4500), &endpoint, Incarnation(1));
            assert_eq!(is_withdrawn, !is_refused, "{name}");
        }
        log.review(Millis(4500));
        let is_still = log.blocked_for(Millis(4500), key("a")).is_some();
        assert_eq!(is_still, is_blocked, "{name}");
        // Another instance reports what it had concluded before the return.
        let late = |i| EndpointCrash { age: Millis(3000), ..presumed(i) };
        (0..4).for_each(|i| _ = log.record(Millis(5000), &late(i)));
        log.review(Millis(9000));
        let is_still = log.blocked_for(Millis(9000), key("a")).is_some();
        assert_eq!(is_still, is_blocked, "{name}: reported late");
        assert_eq!(log.crash_count(key("a")), if is_refused { 4 } else { 0 }, "{name}");
    }
}

/// An endpoint that was silent returns and then crashes.
#[test]
fn an_endpoint_that_returned_may_crash() {
    let (mut broken, endpoint): (BrokenAnswers, Name) = (BrokenAnswers::default(), "e1".into());
    let request = |name| BrokenRequest { request: key(name), prompt: None };
    let incarnation = Incarnation(1);
    broken.record(Millis(1000), &endpoint, incarnation, request("a"));
    let crash = broken.confirm(Millis(3000), &endpoint, incarnation, true).expect("a crash");
    assert!(crash.is_presumed);
    assert_eq!(broken.confirm(Millis(3100), &endpoint, incarnation, true), None);
    broken.record_return(&endpoint, incarnation);
    let later = broken.record(Millis(3500), &endpoint, incarnation, request("b"));
    assert_eq!(later, BrokenAnswer::Check);
    let crash = broken.confirm(Millis(3600), &endpoint, incarnation, false).expect("a crash");
    assert_eq!((crash.requests, crash.is_presumed), (vec![key("b")], false));
    let mut log = CrashLog::default();
    log.record_return(Millis(3200), &endpoint, incarnation);
    let later = EndpointCrash { endpoint, is_presumed: true, ..self::crash(1, &["b"]) };
    assert!(log.record(Millis(9000), &later));
}

/// An endpoint that is silent and whose connections are then refused has crashed, and its return
/// changes nothing.
#[test]
fn a_crash_that_was_presumed_may_be_confirmed() {
    let (mut broken, endpoint): (BrokenAnswers, Name) = (BrokenAnswers::default(), "e1".into());
    let incarnation = Incarnation(1);
    let request = BrokenRequest { request: key("a"), prompt: None };
    broken.record(Millis(1000), &endpoint, incarnation, request);
    let presumed = broken.confirm(Millis(3000), &endpoint, incarnation, true).expect("a crash");
    let confirmed = broken.confirm(Millis(3100), &endpoint, incarnation, false).expect("a crash");
    let mut log = CrashLog::default();
    log.record(Millis(3000), &presumed);
    assert!(log.record(Millis(3100), &confirmed));
    assert!(!log.record_return(Millis(3200), &endpoint, incarnation));
    assert_eq!(log.crash_count(key("a")), 1);
}
