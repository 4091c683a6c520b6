//! The command line of `sill-gateway`.

use std::process::Command;

/// If only the first missing flag were reported, an operator would have to start the program once
/// for each of them.
#[test]
fn all_missing_flags_are_reported_together() {
    let run = Command::new(env!("CARGO_BIN_EXE_sill-gateway")).env_clear().output();
    let run = run.expect("sill-gateway can be started");
    let text = String::from_utf8_lossy(&run.stderr).into_owned();
    assert_eq!(run.status.code(), Some(2), "{text}");
    let flags = ["name", "domain", "listen", "listen-ready", "listen-metrics", "control"];
    for flag in flags {
        assert!(text.contains(&format!("--{flag}")), "--{flag} is not named in {text}");
    }
}
