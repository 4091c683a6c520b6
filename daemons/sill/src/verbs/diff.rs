//! `sill diff`.

use eyre::{Result, bail};
use ntex::http::Method;
use serde_json::{Value, json};
use sill_setup::{Program, Values};
use sill_tree::read;
use sill_wire::control::SubtreeReply;

use crate::difference::{self, Difference};
use crate::operator::{CONTROL_FLAG, JSON_FLAG, Operator, TOKEN_FLAG, accepted};
use crate::settings_file;
use crate::table::Table;

/// The status of a subtree that is not there.
const NOT_FOUND: u16 = 404;

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill diff",
    about: "print what `sill apply` of a settings file would change",
    operands: "PATH FILE",
    flags: &[CONTROL_FLAG, TOKEN_FLAG, JSON_FLAG],
};

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag or the file is wrong, or the subtree can't be read.
pub async fn run(mut values: Values) -> Result<()> {
    let [path, file] = values.operands.as_slice() else {
        bail!("expected PATH and FILE");
    };
    let (path, file) = (path.clone(), file.clone());
    let json = values.switch("json");
    let operator = Operator::read(&mut values)?;
    let after = settings_file::read(&file, &path)?;
    let reply = operator.call(Method::GET, &format!("/tree/{path}"), &[], None).await?;
    let before = if reply.status == NOT_FOUND {
        json!({})
    } else {
        accepted(&reply)?.json::<SubtreeReply>()?.document
    };
    let (before, after) = (normal(&path, &before)?, normal(&path, &after)?);
    let differences = difference::between(&before, &after);
    if json {
        let list: Vec<Value> = differences.iter().map(as_json).collect();
        println!("{}", Value::from(list));
        return Ok(());
    }
    if differences.is_empty() {
        println!("{path}: nothing would change");
        return Ok(());
    }
    let mut table = Table::new(&["FIELD", "IN FORCE", "NEW"]);
    for difference in differences {
        let text = |value: Option<Value>| value.map_or("-".to_owned(), |v| v.to_string());
        table.row(&[difference.place, text(difference.before), text(difference.after)]);
    }
    print!("{table}");
    Ok(())
}

/// Leaves out what says nothing, so that `[]` and a field left out count as the same.
fn normal(path: &str, document: &Value) -> Result<Value> {
    Ok(serde_json::to_value(read::standalone_document(path, document)?)?)
}

fn as_json(difference: &Difference) -> Value {
    let Difference { place, before, after } = difference;
    json!({ "place": place, "before": before, "after": after })
}
