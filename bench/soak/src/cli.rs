//! Command line of the soak test.

use std::path::PathBuf;

use eyre::{Result, bail};
use sill_setup::{Flag, Program};

use crate::run::{self, SoakCfg};

/// Flags and help text of `sill-soak`.
pub const SOAK: Program = Program {
    name: "sill-soak",
    about: "runs the real programs under random faults and checks their guarantees",
    operands: "",
    flags: &[
        Flag::with_default("sill", "FILE", "target/release/sill", "path of the sill program"),
        Flag::with_default(
            "seed",
            "N",
            "1",
            "seed of the first run; each further run uses the next number",
        ),
        Flag::with_default("runs", "N", "1", "number of runs"),
        Flag::with_default("seconds", "S", "20", "seconds during which each run injects faults"),
        Flag::with_default("entries", "N", "3", "number of entry instances"),
        Flag::with_default(
            "crashes",
            "BOOL",
            "true",
            "whether endpoints also crash, and end answers with their connections",
        ),
        Flag::with_default(
            "cuts",
            "BOOL",
            "true",
            "whether entry instances also lose their connections to endpoints",
        ),
        Flag::with_default(
            "rollouts",
            "BOOL",
            "false",
            "whether the operator also orders roll-outs to good and bad versions",
        ),
        Flag::with_default(
            "planned",
            "BOOL",
            "false",
            "whether planned work, near deadlines and ends of all kinds replace the usual faults",
        ),
        Flag::with_default(
            "logs",
            "DIR",
            "target/soak",
            "folder that keeps the logs of runs with findings",
        ),
    ],
};

/// Runs the soak test once for each seed and prints one verdict per run.
///
/// # Errors
///
/// Fails when a flag is invalid, a program can't be started, or a run has findings.
pub fn run(args: Vec<String>) -> Result<()> {
    let Some(mut values) = SOAK.values_or_help(args)? else { return Ok(()) };
    let sill: Option<PathBuf> = values.required("sill");
    let seed: Option<u64> = values.required("seed");
    let runs: Option<u64> = values.required("runs");
    let seconds: Option<u64> = values.required("seconds");
    let entries: Option<usize> = values.required("entries");
    let crashes: Option<bool> = values.required("crashes");
    let cuts: Option<bool> = values.required("cuts");
    let rollouts: Option<bool> = values.required("rollouts");
    let planned: Option<bool> = values.required("planned");
    let logs: Option<PathBuf> = values.required("logs");
    values.finish()?;
    let checked = "present once the check succeeded";
    let (sill, logs) = (sill.expect(checked), logs.expect(checked));
    let (first, runs, seconds) =
        (seed.expect(checked), runs.expect(checked), seconds.expect(checked));
    let entries = entries.expect(checked);
    let (crashes, cuts) = (crashes.expect(checked), cuts.expect(checked));
    let (rollouts, planned) = (rollouts.expect(checked), planned.expect(checked));
    let mut failed = Vec::new();
    for seed in first..first + runs {
        let (sill, logs) = (sill.clone(), logs.clone());
        let cfg = SoakCfg { sill, seed, seconds, entries, crashes, cuts, rollouts, planned, logs };
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
