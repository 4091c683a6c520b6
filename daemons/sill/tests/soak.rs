//! A short soak with a fixed seed: the real programs under faults from outside them.

use std::path::PathBuf;

use sill_soak::run::{SHORT, SIZES, SoakCfg, run_once};

/// Faults of all tracks, among them a control instance without its ways, an entry instance that is asked
/// to stop while it serves, and endpoints that hang or lose answers. A caller would notice a request that
/// ran twice, a refusal that was not true, an answer that is not its own, or settings that went back.
#[test]
fn promises_hold_under_faults_from_outside() {
    let cfg = SoakCfg {
        sill: PathBuf::from(env!("CARGO_BIN_EXE_sill")),
        seed: SHORT.seed,
        seconds: SHORT.seconds,
        entries: SIZES.entries,
        logs: std::env::temp_dir().join(format!("sill-soak-{}", std::process::id())),
    };
    let verdict = run_once(&cfg).expect("the programs can be started");
    println!("{verdict}");
    assert!(verdict.answered > 0, "nothing was answered: {verdict}");
    assert!(verdict.findings.is_empty(), "{verdict}");
}
