//! `sill replay`.

use std::fs;

use eyre::{Context, Result, bail};
use sill_setup::{Program, Values};

use crate::settings_file::in_file;

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill replay",
    about: "run recorded traces of decision cores and compare the stated outcomes",
    operands: "FILE…",
    flags: &[],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails with every line that can't be read, and every outcome that differs.
pub async fn run(values: Values) -> Result<()> {
    if values.operands.is_empty() {
        bail!("expected at least one FILE");
    }
    let mut failed = 0;
    for file in &values.operands {
        let text = fs::read_to_string(file).wrap_err_with(|| file.clone())?;
        match crate::replay::run(&text) {
            Ok(replayed) => println!(
                "{file}: {} events, {} actions, {} outcomes as stated",
                replayed.events, replayed.actions, replayed.outcomes
            ),
            Err(findings) => {
                failed += 1;
                eprintln!("{}", in_file(file, &findings));
            }
        }
    }
    if failed > 0 {
        bail!("{failed} of {} traces failed", values.operands.len());
    }
    Ok(())
}
