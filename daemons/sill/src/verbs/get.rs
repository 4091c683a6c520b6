//! `sill get`.

use eyre::Result;
use sill_setup::{Program, Values};
use sill_wire::control::SubtreeReply;

use crate::operator::{CONTROL_FLAG, JSON_FLAG, Operator, TOKEN_FLAG};

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill get",
    about: "print a subtree's document, as a file for `sill apply`; with --json also its revision",
    operands: "[PATH]",
    flags: &[CONTROL_FLAG, TOKEN_FLAG, JSON_FLAG],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag is wrong or the subtree can't be read.
pub async fn run(mut values: Values) -> Result<()> {
    let path = values.operands.first().cloned().unwrap_or_default();
    let json = values.switch("json");
    let operator = Operator::read(&mut values)?;
    let subtree: SubtreeReply = operator.get(&format!("/tree/{path}")).await?;
    if json {
        println!("{}", serde_json::to_string(&subtree)?);
    } else {
        println!("{}", serde_json::to_string_pretty(&subtree.document)?);
    }
    Ok(())
}
