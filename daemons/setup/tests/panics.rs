//! What a log shows of a panic and of the end of a process.

use std::process::{Command, Output};

use sill_base::{Promise, assert_promise};

/// Set for the process that panics.
const CHILD: &str = "SILL_TEST_PANICS";

fn run_again(test: &str) -> Output {
    run_again_as(test, "1")
}

fn run_again_as(test: &str, case: &str) -> Output {
    Command::new(std::env::current_exe().expect("this test"))
        .args(["--exact", test, "--nocapture"])
        .env(CHILD, case)
        .output()
        .expect("the test runs again")
}

/// A fault of our own makes a thread panic, with a caller's text in the message. The usual report
/// has several lines, of which a forged one could not be told; the log shows one.
#[test]
fn a_panic_is_one_line() {
    if std::env::var_os(CHILD).is_some() {
        sill_setup::logs::start(log::LevelFilter::Info).expect("the first logger");
        let thread = std::thread::Builder::new().name("worker".to_owned());
        let text = "bad model \"x\"\nevent=forged level=INFO";
        let ended = thread.spawn(move || panic!("{text}")).expect("a thread").join();
        assert!(ended.is_err());
        return;
    }
    let child = run_again("a_panic_is_one_line");
    let log = String::from_utf8(child.stderr).expect("text");
    let lines: Vec<&str> = log.lines().collect();
    assert_eq!(lines.len(), 1, "{log}");
    assert!(lines[0].contains("event=panic thread=worker place="), "{log}");
    assert!(lines[0].contains(r#"\nevent=forged level=INFO""#), "{log}");
}

/// The task that keeps membership finds a promise broken. Were only the task to end, the instance would
/// go on serving with what it knew at that moment, and nobody would notice.
#[test]
fn a_broken_promise_ends_the_process() {
    if std::env::var_os(CHILD).is_some() {
        sill_setup::logs::start(log::LevelFilter::Info).expect("the first logger");
        let task =
            || assert_promise!(Promise::LeavingGetsNothing, false, "endpoint m1 was offered");
        let _ = std::thread::spawn(task).join();
        return;
    }
    let child = run_again("a_broken_promise_ends_the_process");
    let log = String::from_utf8_lossy(&child.stderr);
    assert_eq!(child.status.code(), Some(3), "{log}");
    assert!(log.contains("promise=leaving_gets_nothing"), "{log}");
}

/// An instance ends, as planned or over a broken promise. Its log is written by a thread of its own, which
/// ended with the process before the last lines were out: nobody could tell how many calls a stop had cut,
/// or which promise was broken.
#[test]
fn the_last_lines_of_a_daemon_are_written() {
    struct Case {
        name: &'static str,
        ends: fn(),
        code: i32,
        last: &'static str,
    }
    let cases = [
        Case {
            name: "planned",
            ends: || {
                let _ = sill_setup::exit_code(Ok(()));
                std::process::exit(0);
            },
            code: 0,
            last: "event=stopped n=100",
        },
        Case {
            name: "promise",
            ends: || assert_promise!(Promise::LeavingGetsNothing, false, "endpoint m1 was offered"),
            code: 3,
            last: "promise=leaving_gets_nothing",
        },
    ];
    if let Ok(name) = std::env::var(CHILD) {
        sill_setup::logs::start_daemon(log::LevelFilter::Info).expect("the first logger");
        for n in 1..=100 {
            sill_base::event!(Warn, "stopped", n = n);
        }
        let case = cases.iter().find(|case| case.name == name).expect("a case");
        return (case.ends)();
    }
    for case in cases {
        let child = run_again_as("the_last_lines_of_a_daemon_are_written", case.name);
        let log = String::from_utf8_lossy(&child.stdout);
        assert_eq!(child.status.code(), Some(case.code), "{}: {log}", case.name);
        for part in ["event=stopped n=1\"", "event=stopped n=100\"", case.last] {
            assert!(log.contains(part), "{}: no {part} in {log}", case.name);
        }
    }
}
