//! Blocks of parts of prompts: which parts, for whom, and until when.

use sill_base::Millis;
use sill_dispatch::{BlockChange, CrashLog, is_assigned};
use sill_wire::{AnsweredPart, EndpointCrash, Incarnation, PartId, SharedParts};

/// Time by which all crashes of a case count.
const SETTLED: Millis = Millis(20_000);

/// Parts of a prompt, separated by spaces.
fn parts(names: &str) -> SharedParts {
    names.split_whitespace().map(|name| PartId::new(&name.into())).collect()
}

fn crash(number: usize, prompts: &[&str]) -> EndpointCrash {
    EndpointCrash {
        endpoint: format!("e{number}").into(),
        incarnation: Incarnation(1),
        requests: Vec::new(),
        prompts: prompts.iter().map(|names| parts(names)).collect(),
        age: Millis::ZERO,
        is_presumed: false,
    }
}

/// What an entry instance learns, in order.
#[derive(Clone, Copy)]
enum Step {
    /// An endpoint crashed as it began to answer prompts with these parts.
    Crash(&'static [&'static str]),
    /// A prompt with these parts was answered.
    Answered(&'static str),
}

use Step::{Answered, Crash};

/// Steps are 300 ms apart.
fn log_after(steps: &[Step]) -> CrashLog {
    let mut log = CrashLog::default();
    for (i, step) in steps.iter().enumerate() {
        let now = Millis(300 * (i as u64 + 1));
        match step {
            Crash(prompts) => _ = log.record(now, &crash(i, prompts)),
            Answered(names) => log.record_answered_here(now, &parts(names)),
        }
    }
    log
}

fn is_blocked(log: &CrashLog, names: &str) -> bool {
    log.block_of_parts(&parts(names)).is_some()
}

/// A part that crashes endpoints is told from those that are there in the same prompts, or in prompts
/// that ran beside.
#[test]
fn only_what_all_crashes_have_in_common_is_blocked() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        blocked: &'static [&'static str],
        served: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "two crashes",
            steps: &[Crash(&["a bad"]), Crash(&["a bad"])],
            blocked: &[],
            served: &["a bad"],
        },
        Case {
            name: "another part was answered before",
            steps: &[
                Answered("a c"),
                Crash(&["a bad c"]),
                Crash(&["a bad c"]),
                Crash(&["a bad c"]),
            ],
            blocked: &["a bad c", "bad", "x bad"],
            served: &["a c", "a x c"],
        },
        Case {
            name: "another part was answered after the first crash",
            steps: &[Crash(&["a bad"]), Crash(&["a bad"]), Answered("a"), Crash(&["a bad"])],
            blocked: &["a bad", "bad"],
            served: &["a"],
        },
        Case {
            name: "two parts, always together",
            steps: &[Crash(&["a bad"]), Crash(&["a bad"]), Crash(&["a bad"])],
            blocked: &["a bad", "a bad c"],
            served: &["a", "bad"],
        },
        Case {
            name: "prompts ran beside",
            steps: &[Crash(&["bad", "x"]), Crash(&["y", "bad"]), Crash(&["bad", "x y"])],
            blocked: &["bad"],
            served: &["x", "y", "x y"],
        },
        Case {
            name: "a prompt ran beside each time",
            steps: &[Crash(&["bad", "x"]), Crash(&["bad", "x"]), Crash(&["bad", "x"])],
            blocked: &[],
            served: &["bad", "x"],
        },
        Case {
            name: "a prompt ran beside each time and is answered",
            steps: &[
                Crash(&["bad", "x"]),
                Crash(&["bad", "x"]),
                Crash(&["bad", "x"]),
                Answered("x"),
            ],
            blocked: &["bad"],
            served: &["x"],
        },
        Case {
            name: "two under one first part",
            steps: &[
                Answered("a"),
                Crash(&["a bad"]),
                Crash(&["a worse"]),
                Crash(&["a bad"]),
                Crash(&["a worse"]),
                Crash(&["a bad"]),
                Crash(&["a worse"]),
            ],
            blocked: &["a bad", "a worse"],
            served: &["a", "a x"],
        },
        Case {
            name: "answered after the crashes",
            steps: &[Crash(&["p"]), Crash(&["p"]), Crash(&["p"]), Answered("p")],
            blocked: &[],
            served: &["p"],
        },
        Case {
            name: "answered before, then in few crashes",
            steps: &[Answered("p"), Crash(&["p"]), Crash(&["p"]), Crash(&["p"]), Crash(&["p"])],
            blocked: &[],
            served: &["p"],
        },
        Case {
            name: "answered before, then in many crashes",
            steps: &[
                Answered("p"),
                Crash(&["p"]),
                Crash(&["p"]),
                Crash(&["p"]),
                Crash(&["p"]),
                Crash(&["p"]),
                Crash(&["p"]),
                Crash(&["p"]),
                Crash(&["p"]),
                Crash(&["p"]),
            ],
            blocked: &["p"],
            served: &[],
        },
    ];
    for case in cases {
        let mut log = log_after(case.steps);
        log.review(SETTLED);
        let blocked = case.blocked.iter().map(|names| (names, true));
        for (names, expected) in blocked.chain(case.served.iter().map(|names| (names, false))) {
            assert_eq!(is_blocked(&log, names), expected, "{names}: {}", case.name);
        }
    }
}

/// Many endpoints are lost at once. Prompts that all of them ran must not be blamed for each by itself.
#[test]
fn crashes_at_once_are_no_evidence_against_a_part() {
    let mut log = CrashLog::default();
    for number in 0..60 {
        log.record(Millis(1000 + 7 * number as u64), &crash(number, &["p q"]));
    }
    log.review(SETTLED);
    assert!(!is_blocked(&log, "p q"));
}

/// An entry instance that has just started hears of old crashes and answers. It must block what the
/// others block, and nothing else.
#[test]
fn an_instance_that_has_just_started_blocks_the_same_parts() {
    let steps =
        [Answered("a"), Crash(&["a bad"]), Answered("a"), Crash(&["a bad"]), Crash(&["a bad"])];
    let mut old = log_after(&steps);
    old.review(SETTLED);
    let (last, update) = old.newer_than(SETTLED, 0);
    let mut new = CrashLog::default();
    let now = Millis(5);
    update.crashes.iter().for_each(|crash| assert!(new.record(now, crash)));
    update.answered.iter().for_each(|answered| new.record_answered(now, answered));
    let [BlockChange::PartsBlocked(block)] = &new.review(now)[..] else { panic!("no block") };
    let known = old.block_of_parts(&parts("bad")).expect("it is blocked");
    assert_eq!((&block.parts, block.until - now), (&known.parts, known.until - SETTLED));
    assert!(!is_blocked(&new, "a"));
    assert!(old.newer_than(SETTLED, last).1.is_empty());
}

/// The endpoints may have been mended. One request of all entry instances together finds out, later
/// after each that crashes an endpoint.
#[test]
fn a_blocked_part_is_tested_more_and_more_rarely() {
    let mut log = log_after(&[Crash(&["p"]), Crash(&["p"]), Crash(&["p"])]);
    let mut last_crash = Millis(900);
    for (number, wait) in [(10, 60_000), (11, 120_000), (12, 240_000)] {
        log.review(last_crash + Millis(2000));
        let block = log.block_of_parts(&parts("p")).expect("it is blocked");
        assert_eq!(block.trial_at, last_crash + Millis(wait));
        last_crash = block.trial_at + Millis(100);
        log.record(last_crash, &crash(number, &["p"]));
    }
    log.record_answered_here(last_crash + Millis(3000), &parts("p"));
    log.review(last_crash + Millis(3000));
    assert!(!is_blocked(&log, "p"), "it was answered");

    let entries: Vec<_> = (0..20).map(|i| format!("g{i}").into()).collect();
    for task in ["p", "q", "r"] {
        let assigned = entries.iter().filter(|own| is_assigned(own, &entries, &task.into()));
        assert_eq!(assigned.count(), 1, "entry instances that test {task}");
    }
}

/// Callers send many different parts while endpoints crash. Memory must stay bounded, and what blocks a
/// part must not be dropped for newer crashes.
#[test]
fn the_log_is_bounded_and_keeps_what_blocks_a_part() {
    let mut log = log_after(&[Crash(&["p"]), Crash(&["p"]), Crash(&["p"])]);
    log.review(SETTLED);
    for number in 0..1200_u64 {
        let now = SETTLED + Millis(number);
        let names: Vec<String> = (0..150).map(|i| format!("{number}/{i}")).collect();
        let prompts: Vec<&str> = names.iter().map(String::as_str).collect();
        log.record(now, &crash(100 + number as usize, &prompts));
        let answered = AnsweredPart { part: PartId::new(&names[0][..].into()), age: Millis(10) };
        log.record_answered(now, &answered);
        names.iter().for_each(|name| log.record_answered_here(now, &parts(name)));
    }
    let now = SETTLED + Millis(4000);
    log.review(now);
    assert!(is_blocked(&log, "p"));
    let (mut seen, mut crashes, mut answers) = (0, 0, 0);
    loop {
        let (last, update) = log.newer_than(now, seen);
        if update.is_empty() {
            break;
        }
        assert!(update.crashes.len() <= 32 && update.answered.len() <= 32);
        assert!(update.crashes.iter().all(|crash| crash.prompts.len() <= 128));
        crashes += update.crashes.len();
        answers += update.answered.len();
        assert!(last > seen);
        seen = last;
    }
    assert!(crashes <= 256 && answers <= 1024, "{crashes} crashes, {answers} answers");
}
