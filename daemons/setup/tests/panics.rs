//! What a log shows of a panic.

use std::process::Command;

/// Set for the process that panics.
const CHILD: &str = "SILL_TEST_PANICS";

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
    let child = Command::new(std::env::current_exe().expect("this test"))
        .args(["--exact", "a_panic_is_one_line", "--nocapture"])
        .env(CHILD, "1")
        .output()
        .expect("the test runs again");
    let log = String::from_utf8(child.stderr).expect("text");
    let lines: Vec<&str> = log.lines().collect();
    assert_eq!(lines.len(), 1, "{log}");
    assert!(lines[0].contains("event=panic thread=worker place="), "{log}");
    assert!(lines[0].contains(r#"\nevent=forged level=INFO""#), "{log}");
}
