//! Log output of a panic and of the end of a process.

use std::process::{Command, Output};

use sill_base::{Promise, assert_promise};

/// Environment variable that is set in the child process; its value selects the case.
const CHILD: &str = "SILL_TEST_PANICS";

fn run_as_child(test: &str) -> Output {
    run_case_as_child(test, "1")
}

fn run_case_as_child(test: &str, case: &str) -> Output {
    Command::new(std::env::current_exe().expect("the path of this test binary"))
        .args(["--exact", test, "--nocapture"])
        .env(CHILD, case)
        .output()
        .expect("the child process runs")
}

/// A bug makes a thread panic with a caller's text in the message. The default report has several
/// lines, among which a forged one could not be detected; the log must contain exactly one.
#[test]
fn a_panic_is_logged_as_one_line() {
    if std::env::var_os(CHILD).is_some() {
        sill_setup::logs::start(log::LevelFilter::Info).expect("no logger is set yet");
        let thread = std::thread::Builder::new().name("worker".to_owned());
        let text = "bad model \"x\"\nevent=forged level=INFO";
        let result = thread.spawn(move || panic!("{text}")).expect("the thread starts").join();
        assert!(result.is_err(), "the thread did not panic");
        return;
    }
    let child = run_as_child("a_panic_is_logged_as_one_line");
    let log = String::from_utf8(child.stderr).expect("the log is UTF-8");
    let lines: Vec<&str> = log.lines().collect();
    assert_eq!(lines.len(), 1, "{log}");
    assert!(lines[0].contains("event=panic thread=worker place="), "{log}");
    assert!(lines[0].contains(r#"\nevent=forged level=INFO""#), "{log}");
}

/// The membership task detects a broken promise. If only the task ended, the instance would
/// continue to serve with outdated membership, and nobody would notice.
#[test]
fn a_broken_promise_ends_the_process() {
    if std::env::var_os(CHILD).is_some() {
        sill_setup::logs::start(log::LevelFilter::Info).expect("no logger is set yet");
        let task =
            || assert_promise!(Promise::LeavingGetsNothing, false, "endpoint m1 was offered");
        let _ = std::thread::spawn(task).join();
        return;
    }
    let child = run_as_child("a_broken_promise_ends_the_process");
    let log = String::from_utf8_lossy(&child.stderr);
    assert_eq!(child.status.code(), Some(3), "{log}");
    assert!(log.contains("promise=leaving_gets_nothing"), "{log}");
}

/// An instance exits, as planned or on a broken promise. Its log is written by a separate thread,
/// which ends with the process. Without a flush, the last lines are lost: how many calls a stop
/// cut, or which promise was broken.
#[test]
fn the_last_lines_of_a_daemon_are_written() {
    struct Case {
        name: &'static str,
        exit: fn(),
        code: i32,
        last_line: &'static str,
    }
    let cases = [
        Case {
            name: "planned",
            exit: || {
                let _ = sill_setup::exit_code(Ok(()));
                std::process::exit(0);
            },
            code: 0,
            last_line: "event=stopped n=100",
        },
        Case {
            name: "promise",
            exit: || assert_promise!(Promise::LeavingGetsNothing, false, "endpoint m1 was offered"),
            code: 3,
            last_line: "promise=leaving_gets_nothing",
        },
    ];
    if let Ok(name) = std::env::var(CHILD) {
        sill_setup::logs::start_daemon(log::LevelFilter::Info).expect("no logger is set yet");
        for n in 1..=100 {
            sill_base::event!(Warn, "stopped", n = n);
        }
        let case = cases.iter().find(|case| case.name == name).expect("a known case");
        return (case.exit)();
    }
    for case in cases {
        let child = run_case_as_child("the_last_lines_of_a_daemon_are_written", case.name);
        let log = String::from_utf8_lossy(&child.stdout);
        assert_eq!(child.status.code(), Some(case.code), "{}: {log}", case.name);
        for part in ["event=stopped n=1\"", "event=stopped n=100\"", case.last_line] {
            assert!(log.contains(part), "{}: no {part} in the log: {log}", case.name);
        }
    }
}
