//! Processes that end or panic in a test that is about something else.

use std::fs;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::Command;
use std::thread;
use std::time::Duration;

use sill_standin::panics::PanicCheck;
use sill_standin::program::Program;

/// How the test ends the process.
#[derive(Debug, Clone, Copy)]
enum End {
    /// It ends by itself.
    Own,
    /// It ends by itself, and then is killed.
    OwnThenKill,
    Kill,
    Stop,
    /// It runs until the program is dropped.
    Drop,
}

/// A broken promise or a failed start ends a process while the test looks at something else, or a
/// panic ends a task of it. Each must fail the test; what the test did itself must not.
#[test]
fn a_process_that_ends_by_itself_or_panics_fails_its_test() {
    struct Case {
        name: &'static str,
        script: &'static str,
        end: End,
        fails: bool,
    }
    let case = |name, script, end, fails| Case { name, script, end, fails };
    let cases = [
        case("broken promise", "echo ready; exit 3", End::Own, true),
        case("broken promise, killed later", "echo ready; exit 3", End::OwnThenKill, true),
        case("end with 0", "echo ready", End::Own, true),
        case("abort", "echo ready; kill -ABRT $$", End::Own, true),
        case("killed from outside", "echo ready; kill -KILL $$", End::Own, true),
        case("panic", "echo ready event=panic thread=t; exec sleep 600", End::Drop, true),
        case(
            "panic, killed later",
            "echo ready event=panic thread=t; exec sleep 600",
            End::Kill,
            true,
        ),
        case(
            "panic before logging",
            "echo ready; echo \"thread 'main' (7) panicked at x.rs:1:\"; exec sleep 600",
            End::Drop,
            true,
        ),
        case("runs", "echo ready; exec sleep 600", End::Drop, false),
        case("killed", "echo ready; exec sleep 600", End::Kill, false),
        case("stopped by the signal", "echo ready; exec sleep 600", End::Stop, false),
        case(
            "stopped with 0",
            "trap 'exit 0' TERM; echo ready; while true; do sleep 0.01; done",
            End::Stop,
            false,
        ),
        case(
            "stopped with 3",
            "trap 'exit 3' TERM; echo ready; while true; do sleep 0.01; done",
            End::Stop,
            true,
        ),
        case(
            "abort in a stop",
            "trap 'kill -ABRT $$' TERM; echo ready; while true; do sleep 0.01; done",
            End::Stop,
            true,
        ),
    ];
    let folder = std::env::temp_dir().join(format!("sill-program-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder can be created");
    for (i, Case { name, script, end, fails }) in cases.into_iter().enumerate() {
        let log = folder.join(format!("{i}.log"));
        let mut command = Command::new("sh");
        let mut program = Program::start(command.args(["-c", script]), &log).expect("sh starts");
        while !fs::read_to_string(&log).is_ok_and(|text| text.contains("ready")) {
            thread::sleep(Duration::from_millis(2));
        }
        match end {
            End::Own => _ = program.wait(),
            End::OwnThenKill => {
                program.wait();
                program.kill();
            }
            End::Kill => program.kill(),
            End::Stop => {
                program.signal("-TERM");
                program.wait();
            }
            End::Drop => {}
        }
        let dropped = catch_unwind(AssertUnwindSafe(|| drop(program)));
        assert_eq!(dropped.is_err(), fails, "{name}");
    }
    let _ = fs::remove_dir_all(&folder);
}

/// A task of a daemon that runs inside the test panics: its thread ends and the test goes on.
#[test]
fn a_panic_of_a_daemon_in_the_test_fails_it() {
    let check = PanicCheck::start();
    let failed = thread::spawn(|| panic!("an assertion of a test")).join();
    assert!(failed.is_err());
    assert!(catch_unwind(AssertUnwindSafe(|| drop(check))).is_ok(), "a test's own assertion");
    let check = PanicCheck::start();
    // It panics in the library, as a daemon panics in its own code.
    let failed = thread::spawn(|| "ab".repeat(usize::MAX)).join();
    assert!(failed.is_err());
    assert!(catch_unwind(AssertUnwindSafe(|| drop(check))).is_err(), "a daemon's panic");
}
