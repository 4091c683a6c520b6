//! `sill explain`.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use eyre::{Result, WrapErr, bail};
use ntex::http::Method;
use serde_json::Value;
use sill_base::{Findings, Millis, Secret};
use sill_net::client;
use sill_setup::{Flag, Program, Values};

use crate::operator::JSON_FLAG;
use crate::table::Table;
use crate::verbs::timeline::{Log, timeline};

/// How long an entry instance may take to answer.
const TIMEOUT: Millis = Millis(5000);

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill explain",
    about: "tell what became of a request, and why",
    operands: "ID",
    flags: &[
        Flag::many("entry", "IP:PORT", "entry instance to ask"),
        Flag::one("key-file", "FILE", "file with the caller's key or the operator's token"),
        Flag::many(
            "log",
            "FILE",
            "log file to read in place of asking; those of all processes help",
        ),
        JSON_FLAG,
    ],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag is wrong or no entry instance knows the request.
pub async fn run(mut values: Values) -> Result<()> {
    let Some(id) = values.operands.first().cloned() else {
        bail!("expected ID");
    };
    let logs: Vec<PathBuf> = values.many("log");
    if !logs.is_empty() {
        values.finish()?;
        return from_logs(&id, &logs);
    }
    let entries: Vec<SocketAddr> = values.many("entry");
    let key = values.secret("key-file");
    let json = values.switch("json");
    if entries.is_empty() {
        values.add_finding("entry", "expected an entry instance, or else --log");
    }
    values.finish()?;
    let key = key.expect("present once the check succeeded");
    let story = ask(&entries, &key, &id).await?;
    if json {
        println!("{story}");
        return Ok(());
    }
    let mut table = Table::new(&["WHAT", "HOW"]);
    flatten("", &story, &mut table);
    print!("{table}");
    Ok(())
}

/// Prints what log files tell, in the order of time.
fn from_logs(id: &str, files: &[PathBuf]) -> Result<()> {
    let read = |file: &PathBuf| {
        let text = fs::read(file).wrap_err_with(|| file.display().to_string())?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        Ok(Log { name, text: String::from_utf8_lossy(&text).into_owned() })
    };
    let logs = files.iter().map(read).collect::<Result<Vec<Log>>>()?;
    let entries = timeline(id, &logs);
    if entries.is_empty() {
        bail!("no line names {id}");
    }
    entries.iter().for_each(|entry| println!("{entry}"));
    Ok(())
}

/// Asks one entry instance after another; each knows the requests that it held itself.
async fn ask(entries: &[SocketAddr], key: &Secret, id: &str) -> Result<Value> {
    let http = client::streaming(4).await?;
    let mut findings = Findings::new();
    for entry in entries {
        let url = format!("http://{entry}/explain/{id}");
        let sent =
            client::send::<Value>(&http, Method::GET, &url, Some(key), &[], None, TIMEOUT).await;
        match sent {
            Ok(reply) if reply.is_ok() => return reply.json(),
            Ok(reply) => findings.add(entry.to_string(), format!("status {}", reply.status)),
            Err(err) => findings.add(entry.to_string(), err.to_string()),
        }
    }
    bail!("no entry instance knows {id}:\n{findings}")
}

fn flatten(place: &str, value: &Value, table: &mut Table) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let dot = if place.is_empty() { "" } else { "." };
                flatten(&format!("{place}{dot}{name}"), value, table);
            }
        }
        Value::Array(list) => {
            for (i, value) in list.iter().enumerate() {
                flatten(&format!("{place}[{i}]"), value, table);
            }
        }
        Value::String(text) => table.row(&[place, text]),
        other => table.row(&[place, &other.to_string()]),
    }
}
