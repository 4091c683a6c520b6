//! `sill apply`.

use std::fs;

use eyre::{Context, Result, bail};
use ntex::http::Method;
use serde_json::Value;
use sill_net::client::Header;
use sill_setup::{Flag, Program, Values};
use sill_wire::header;

use crate::operator::{CONTROL_FLAG, Operator, TOKEN_FLAG};

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill apply",
    about: "put a settings file in place of a subtree",
    operands: "PATH FILE",
    flags: &[
        CONTROL_FLAG,
        TOKEN_FLAG,
        Flag::one("if-match", "REVISION", "apply only if the subtree is at this revision"),
        Flag::one("change-id", "ID", "name of the change, the same when it is sent again"),
    ],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag or the file is wrong, or the change is refused.
pub async fn run(mut values: Values) -> Result<()> {
    let [path, file] = values.operands.as_slice() else {
        bail!("expected PATH and FILE");
    };
    let (path, file) = (path.clone(), file.clone());
    let revision: Option<u64> = values.optional("if-match");
    let change_id: Option<String> = values.optional("change-id");
    let operator = Operator::read(&mut values)?;
    let text = fs::read_to_string(&file).wrap_err_with(|| file.clone())?;
    let document: Value = serde_json::from_str(&text).wrap_err_with(|| file.clone())?;
    let mut headers = Vec::new();
    if let Some(revision) = revision {
        headers.push(Header { name: "if-match".into(), value: revision.to_string() });
    }
    if let Some(id) = change_id {
        headers.push(Header { name: header::CHANGE_ID.into(), value: id });
    }
    let url = format!("/tree/{path}");
    let reply = operator.call(Method::PUT, &url, &headers, Some(&document)).await?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    if !reply.is_ok() {
        bail!("{text}");
    }
    println!("{text}");
    Ok(())
}
