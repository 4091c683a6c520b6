//! What differs between two settings documents.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// One place at which two documents differ.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// The fields down to it, joined by dots.
    pub place: String,
    /// The value in force, if there is one.
    pub before: Option<Value>,
    /// The new value, if there is one.
    pub after: Option<Value>,
}

/// Returns all differences, sorted by place.
pub fn between(before: &Value, after: &Value) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare("", Some(before), Some(after), &mut differences);
    differences
}

fn compare(
    place: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    let is_set = |value: &&Value| !value.is_null();
    let (before, after) = (before.filter(is_set), after.filter(is_set));
    if before == after {
        return;
    }
    let empty = Map::new();
    let fields = |value: Option<&Value>| value.map(|v| v.as_object().cloned());
    let (old, new) = match (fields(before), fields(after)) {
        (Some(Some(old)), Some(Some(new))) => (old, new),
        (None, Some(Some(new))) if !new.is_empty() => (empty, new),
        (Some(Some(old)), None) if !old.is_empty() => (old, empty),
        _ => {
            let (before, after) = (before.cloned(), after.cloned());
            differences.push(Difference { place: place.to_owned(), before, after });
            return;
        }
    };
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let dot = if place.is_empty() { "" } else { "." };
        compare(&format!("{place}{dot}{name}"), old.get(name), new.get(name), differences);
    }
}
