//! `sill drain`.

use eyre::{Result, bail};
use ntex::http::Method;
use sill_net::client::Header;
use sill_setup::{Flag, Program, Values};
use sill_wire::header;

use crate::operator::{CONTROL_FLAG, Operator, TOKEN_FLAG, accepted};

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill drain",
    about: "note in the audit trail that an endpoint is to be drained; nothing carries it out yet",
    operands: "NAME",
    flags: &[
        CONTROL_FLAG,
        TOKEN_FLAG,
        Flag::one("change-id", "ID", "name of the order, the same when it is sent again"),
    ],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag is wrong or the order is refused.
pub async fn run(mut values: Values) -> Result<()> {
    let Some(name) = values.operands.first().cloned() else {
        bail!("expected NAME");
    };
    let change_id: Option<String> = values.optional("change-id");
    let operator = Operator::read(&mut values)?;
    let change_id = change_id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let headers = [Header { name: header::CHANGE_ID.into(), value: change_id }];
    let reply = operator.call(Method::POST, &format!("/drain/{name}"), &headers, None).await?;
    accepted(&reply)?;
    println!("{name}: noted in the audit trail; entry instances are not told yet");
    Ok(())
}
