//! `sill status`.

use eyre::Result;
use sill_setup::{Program, Values};
use sill_wire::control::{EntryStatus, FleetReply, Revision};

use crate::operator::{CONTROL_FLAG, JSON_FLAG, Operator, TOKEN_FLAG};
use crate::table::Table;
use crate::verbs::apply::SILENT;

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill status",
    about: "print who leads, which entry instances lag behind, and the endpoints",
    operands: "",
    flags: &[CONTROL_FLAG, TOKEN_FLAG, JSON_FLAG],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag is wrong or no control instance has an answer.
pub async fn run(mut values: Values) -> Result<()> {
    let json = values.switch("json");
    let operator = Operator::read(&mut values)?;
    let fleet: FleetReply = operator.get("/fleet").await?;
    if json {
        println!("{}", serde_json::to_string(&fleet)?);
    } else {
        print!("{}", text(&fleet));
    }
    Ok(())
}

fn text(fleet: &FleetReply) -> String {
    let leader = fleet.leader.as_deref().unwrap_or("unknown");
    let mut text = format!(
        "control {} answers; leader {leader}, term {}, revision {}\n\n",
        fleet.control, fleet.term, fleet.revision.0
    );
    let mut entries = Table::new(&["ENTRY", "DOMAIN", "REVISION", "HEARD", "STATE"]);
    for entry in &fleet.entries {
        let heard = format!("{} ms ago", entry.heard_ago);
        let revision = entry.revision.0.to_string();
        let state = state(entry, fleet.revision);
        entries.row(&[&*entry.name, &*entry.domain, &revision, &heard, &state]);
    }
    text.push_str(&entries.to_string());
    if !fleet.endpoints.is_empty() {
        let mut endpoints = Table::new(&["ENDPOINT", "DOMAIN", "STATE", "RUNNING", "SLOTS"]);
        for endpoint in &fleet.endpoints {
            let running = endpoint.running.to_string();
            let slots = endpoint.slots.to_string();
            endpoints.row(&[
                &*endpoint.name,
                &*endpoint.domain,
                &*endpoint.state,
                &running,
                &slots,
            ]);
        }
        text.push('\n');
        text.push_str(&endpoints.to_string());
    }
    let late = fleet.entries.iter().filter(|entry| entry.revision < fleet.revision);
    let laggards: Vec<&str> = late.map(|entry| &*entry.name).collect();
    text.push('\n');
    match laggards.as_slice() {
        [] => text.push_str("every entry instance runs the newest revision\n"),
        names => text.push_str(&format!("laggards: {}\n", names.join(", "))),
    }
    text
}

fn state(entry: &EntryStatus, newest: Revision) -> String {
    if entry.heard_ago > SILENT {
        return "silent".to_owned();
    }
    match newest.0.saturating_sub(entry.revision.0) {
        0 => "current".to_owned(),
        behind => format!("{behind} behind"),
    }
}
