//! `sill get`.

use eyre::{Result, bail};
use ntex::http::Method;
use sill_setup::{Program, Values};

use crate::operator::{CONTROL_FLAG, Operator, TOKEN_FLAG};

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill get",
    about: "print a subtree",
    operands: "PATH",
    flags: &[CONTROL_FLAG, TOKEN_FLAG],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag is wrong or the subtree can't be read.
pub async fn run(mut values: Values) -> Result<()> {
    let path = values.operands.first().cloned().unwrap_or_default();
    let operator = Operator::read(&mut values)?;
    let reply = operator.call(Method::GET, &format!("/tree/{path}"), &[], None).await?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    if !reply.is_ok() {
        bail!("{text}");
    }
    println!("{text}");
    Ok(())
}
