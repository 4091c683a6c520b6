//! Command line of the experiments.

use std::path::PathBuf;

use eyre::{Result, WrapErr, bail};
use serde::Serialize;
use sill_setup::{Flag, Program};

use super::{limits, overload, route};

/// Flags and help of `sill-load experiment`.
pub const EXPERIMENT: Program = Program {
    name: "sill-load experiment",
    about: "measures the decision cores against simple models, in virtual time",
    operands: "route|overload|limits",
    flags: &[
        Flag::with_default("seed", "N", "1", "seed of all random numbers"),
        Flag::one("json", "FILE", "file to write the figures to"),
    ],
};

/// Runs one experiment and prints its tables.
///
/// # Errors
///
/// Fails when the arguments are invalid or the file can't be written.
pub fn run(mut words: Vec<String>) -> Result<()> {
    let which = if words.is_empty() { String::new() } else { words.remove(0) };
    let Some(mut values) = EXPERIMENT.values_or_help(words)? else {
        return Ok(());
    };
    let seed: Option<u64> = values.required("seed");
    let json: Option<PathBuf> = values.optional("json");
    values.finish()?;
    let seed = seed.expect("present once the check succeeded");
    match which.as_str() {
        "route" => {
            let tables = route::run(seed);
            route::print(&tables);
            write(json, &tables)
        }
        "overload" => {
            let runs = overload::run(seed);
            overload::print(&runs);
            write(json, &runs)
        }
        "limits" => {
            let rows = limits::run(seed);
            limits::print(&rows);
            write(json, &rows)
        }
        _ => bail!("expected one of: {}", EXPERIMENT.operands),
    }
}

fn write<T>(json: Option<PathBuf>, figures: &T) -> Result<()>
where
    T: Serialize,
{
    let Some(path) = json else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(figures)?;
    std::fs::write(&path, text).wrap_err_with(|| path.display().to_string())
}
