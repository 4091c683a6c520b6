//! `sill audit`.

use eyre::{Result, eyre};
use serde_json::Value;
use sill_base::Millis;
use sill_setup::{Flag, Program, Values};
use sill_wire::control::AuditRecord;

use crate::operator::{CONTROL_FLAG, JSON_FLAG, Operator, TOKEN_FLAG};
use crate::table::Table;

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill audit",
    about: "print who changed or ordered what, when and why",
    operands: "[PATH]",
    flags: &[
        CONTROL_FLAG,
        TOKEN_FLAG,
        Flag::one("author", "NAME", "only what this one did"),
        Flag::one("since-ms", "N", "only the last N milliseconds"),
        JSON_FLAG,
    ],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag is wrong or the trail can't be read.
pub async fn run(mut values: Values) -> Result<()> {
    let path = values.operands.first().cloned();
    let author: Option<String> = values.optional("author");
    let since = values.optional("since-ms").map(Millis);
    let json = values.switch("json");
    let operator = Operator::read(&mut values)?;
    let mut url = "/audit?".to_owned();
    if let Some(path) = &path {
        url.push_str(&format!("path={path}&"));
    }
    if let Some(author) = &author {
        url.push_str(&format!("author={author}&"));
    }
    let oldest = since.map_or(Millis::ZERO, |span| Millis::wall() - span);
    url.push_str(&format!("since={oldest}"));
    let answer: Value = operator.get(&url).await?;
    let list = answer.get("records").cloned().unwrap_or(answer);
    let records: Vec<AuditRecord> =
        serde_json::from_value(list).map_err(|err| eyre!("/audit: {err}"))?;
    let is_asked = |record: &&AuditRecord| {
        let by_path = path.as_deref().is_none_or(|path| record.subject.starts_with(path));
        let by_author = author.as_deref().is_none_or(|author| *record.author == *author);
        by_path && by_author && record.at >= oldest
    };
    let records: Vec<&AuditRecord> = records.iter().filter(is_asked).collect();
    if json {
        println!("{}", serde_json::to_string(&records)?);
        return Ok(());
    }
    let mut table =
        Table::new(&["INDEX", "TERM", "AT", "AUTHOR", "ACTION", "SUBJECT", "REVISION", "WHY"]);
    for record in records {
        let revision = record.revision.map_or("-".to_owned(), |revision| revision.0.to_string());
        table.row(&[
            &record.index.to_string(),
            &record.term.to_string(),
            &record.at.to_string(),
            &*record.author,
            &*record.action,
            &*record.subject,
            &revision,
            &record.reason,
        ]);
    }
    print!("{table}");
    Ok(())
}
