//! `sill hash`.

use std::io;

use eyre::{Result, bail};
use sill_setup::{Program, Values};
use sill_tree::KeyHash;

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill hash",
    about: "print the hash of a key or token, read from standard input, for a settings file",
    operands: "",
    flags: &[],
};

/// Runs the verb. The secret comes by standard input, because others can read a command line.
///
/// # Errors
///
/// Fails when the input can't be read or is empty.
pub async fn run(_values: Values) -> Result<()> {
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    if line.trim().is_empty() {
        bail!("standard input: expected a key or token");
    }
    println!("{}", KeyHash::of(line.trim()).0);
    Ok(())
}
