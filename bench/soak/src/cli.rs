//! The command line of the soak.

use std::path::PathBuf;

use eyre::{Result, bail};
use sill_setup::{Flag, Program};

use crate::run::{self, SoakCfg};

/// `sill-soak`.
pub const SOAK: Program = Program {
    name: "sill-soak",
    about: "runs the real programs under random faults and checks what they promise",
    operands: "",
    flags: &[
        Flag::with_default("sill", "FILE", "target/release/sill", "the program to run"),
        Flag::with_default(
            "seed",
            "N",
            "1",
            "seed of the first run; each further run takes the next",
        ),
        Flag::with_default("runs", "N", "1", "how many runs"),
        Flag::with_default("seconds", "S", "20", "how long faults go on in each run"),
        Flag::with_default("entries", "N", "3", "how many entry instances there are"),
        Flag::with_default(
            "logs",
            "DIR",
            "target/soak",
            "where the logs of a run with findings stay",
        ),
    ],
};

/// Runs the soak.
///
/// # Errors
///
/// Fails when a flag is wrong, a program can't be started, or a run has findings.
pub fn run(args: Vec<String>) -> Result<()> {
    let Some(mut values) = SOAK.values_or_help(args)? else { return Ok(()) };
    let sill: Option<PathBuf> = values.required("sill");
    let seed: Option<u64> = values.required("seed");
    let runs: Option<u64> = values.required("runs");
    let seconds: Option<u64> = values.required("seconds");
    let entries: Option<usize> = values.required("entries");
    let logs: Option<PathBuf> = values.required("logs");
    values.finish()?;
    let checked = "present once the check succeeded";
    let (sill, logs) = (sill.expect(checked), logs.expect(checked));
    let (first, runs, seconds) =
        (seed.expect(checked), runs.expect(checked), seconds.expect(checked));
    let entries = entries.expect(checked);
    let mut failed = Vec::new();
    for seed in first..first + runs {
        let cfg = SoakCfg { sill: sill.clone(), seed, seconds, entries, logs: logs.clone() };
        let verdict = run::run_once(&cfg)?;
        println!("{verdict}");
        if !verdict.findings.is_empty() {
            failed.push(seed);
        }
    }
    if !failed.is_empty() {
        bail!("runs with findings, by seed: {failed:?}");
    }
    Ok(())
}
