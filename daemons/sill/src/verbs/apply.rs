//! `sill apply`.

use std::time::Instant;

use eyre::{Result, bail};
use ntex::http::Method;
use sill_base::Millis;
use sill_net::client::Header;
use sill_setup::{Flag, Program, Values};
use sill_wire::control::{ChangeReply, EntryStatus, FleetReply, Revision};
use sill_wire::header;

use crate::operator::{CONTROL_FLAG, JSON_FLAG, Operator, TOKEN_FLAG, accepted};
use crate::settings_file;

/// Pause between two looks at who runs the change.
const POLL: ntex::time::Millis = ntex::time::Millis(50);

/// An entry instance not heard of for this long is gone or cut off, and is named as such.
pub const SILENT: Millis = Millis(15_000);

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
        Flag::switch("wait", "wait until every entry instance runs the change"),
        Flag::with_default("wait-ms", "N", "6000", "longest time for --wait"),
        JSON_FLAG,
    ],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag or the file is wrong, the change is refused, or it is not in force in time.
pub async fn run(mut values: Values) -> Result<()> {
    let [path, file] = values.operands.as_slice() else {
        bail!("expected PATH and FILE");
    };
    let (path, file) = (path.clone(), file.clone());
    let revision: Option<u64> = values.optional("if-match");
    let change_id: Option<String> = values.optional("change-id");
    let wait = values.switch("wait");
    let wait_limit = values.required("wait-ms").map(Millis);
    let json = values.switch("json");
    let operator = Operator::read(&mut values)?;
    let document = settings_file::read(&file, &path)?;

    // One id for all tries: when an answer is lost, the next control instance must not make the
    // same change a second time.
    let change_id = change_id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let mut headers = vec![Header { name: header::CHANGE_ID.into(), value: change_id }];
    if let Some(revision) = revision {
        headers.push(Header { name: "if-match".into(), value: revision.to_string() });
    }
    let url = format!("/tree/{path}");
    let reply = operator.call(Method::PUT, &url, &headers, Some(&document)).await?;
    let mut change: ChangeReply = accepted(&reply)?.json()?;
    if wait && !change.in_force {
        wait_until_in_force(&operator, change.revision, wait_limit.unwrap_or_default()).await?;
        change.in_force = true;
    }
    if json {
        println!("{}", serde_json::to_string(&change)?);
    } else {
        let in_force = if change.in_force { ", in force everywhere" } else { "" };
        println!("{path}: revision {}{in_force}", change.revision.0);
    }
    Ok(())
}

async fn wait_until_in_force(operator: &Operator, revision: Revision, limit: Millis) -> Result<()> {
    let began = Instant::now();
    loop {
        let fleet: FleetReply = operator.get("/fleet").await?;
        let late: Vec<&EntryStatus> =
            fleet.entries.iter().filter(|entry| entry.revision < revision).collect();
        if late.is_empty() {
            return Ok(());
        }
        if Millis::from(began.elapsed()) > limit {
            let names: Vec<String> = late.iter().map(|entry| describe(entry)).collect();
            bail!(
                "revision {} is accepted, but not yet in force at: {}",
                revision.0,
                names.join(", ")
            );
        }
        ntex::time::sleep(POLL).await;
    }
}

fn describe(entry: &EntryStatus) -> String {
    let silent = if entry.heard_ago > SILENT {
        format!(", silent for {} ms", entry.heard_ago)
    } else {
        String::new()
    };
    format!("{} (revision {}{silent})", entry.name, entry.revision.0)
}
