//! The lines of a trace, and the run through them.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Findings, Machine, Millis};

/// One line after the first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged, deny_unknown_fields)]
pub enum Line<E> {
    /// Something that the core took in.
    Event {
        /// When.
        at: Millis,
        /// What.
        event: E,
    },
    /// The actions that must have come since the last such line. Fields that are left out of an
    /// expected action may hold anything.
    Expect {
        /// The actions in order.
        expect: Vec<Value>,
    },
}

/// What a replay went through.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Replayed {
    /// Events that the core took in.
    pub events: u64,
    /// Actions that came of them.
    pub actions: u64,
    /// Outcomes that were compared.
    pub outcomes: u64,
}

/// Runs a core through the lines after the first.
///
/// # Errors
///
/// Returns a finding for each line that can't be read, and each outcome that differs.
pub fn replay<'a, M>(
    mut core: M,
    lines: impl Iterator<Item = &'a str>,
) -> Result<Replayed, Findings>
where
    M: Machine,
    M::Event: DeserializeOwned,
    M::Action: Serialize,
{
    let mut findings = Findings::new();
    let mut replayed = Replayed::default();
    let mut actions = Vec::new();
    let numbered = lines.enumerate().map(|(i, line)| (format!("line {}", i + 2), line));
    for (place, line) in numbered.filter(|(_, line)| !line.trim().is_empty()) {
        match serde_json::from_str::<Line<M::Event>>(line) {
            Err(err) => findings.add(place, err.to_string()),
            Ok(Line::Event { at, event }) => {
                replayed.events += 1;
                core.step(at, event, &mut actions);
            }
            Ok(Line::Expect { expect }) => {
                replayed.outcomes += 1;
                replayed.actions += actions.len() as u64;
                let found: Vec<Value> = actions
                    .drain(..)
                    .map(|action| serde_json::to_value(action).unwrap_or_default())
                    .collect();
                let same = found.len() == expect.len()
                    && found.iter().zip(&expect).all(|(found, expected)| fits(found, expected));
                if !same {
                    let (expect, found) = (Value::from(expect), Value::from(found));
                    findings.add(place, format!("expected {expect}, found {found}"));
                }
            }
        }
    }
    replayed.actions += actions.len() as u64;
    findings.into_result(replayed)
}

/// Returns whether a value has all that is expected of it.
fn fits(found: &Value, expected: &Value) -> bool {
    match (found, expected) {
        (Value::Object(found), Value::Object(expected)) => expected
            .iter()
            .all(|(name, expected)| found.get(name).is_some_and(|found| fits(found, expected))),
        (Value::Array(found), Value::Array(expected)) => {
            found.len() == expected.len()
                && found.iter().zip(expected).all(|(found, expected)| fits(found, expected))
        }
        (found, expected) => found == expected,
    }
}
