//! The audit trail: who changed what, when and why.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Millis, Name};
use sill_wire::control::AuditRecord;

/// Records kept; at 1,800 changes a day they cover eleven days.
const MAX_RECORDS: usize = 20_000;

/// The newest audit records, the oldest first; a full trail evicts the oldest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
}

/// Selects audit records; fields that are not set match any record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AuditFilter {
    /// Only records on this path or below it.
    pub path: Option<Name>,
    /// Only records of this author.
    pub author: Option<Name>,
    /// Only records at this wall-clock time or later.
    pub since: Option<Millis>,
    /// Only records at this wall-clock time or earlier.
    pub until: Option<Millis>,
}

impl AuditTrail {
    /// Appends a record, and evicts the oldest one if the trail is full.
    pub fn add(&mut self, record: AuditRecord) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Iterates over the records that match a filter, the oldest first.
    pub fn find<'a>(
        &'a self,
        filter: &'a AuditFilter,
    ) -> impl Iterator<Item = &'a AuditRecord> + 'a {
        self.records.iter().filter(|record| filter.matches(record))
    }
}

impl AuditFilter {
    fn matches(&self, record: &AuditRecord) -> bool {
        let is_path_match = self
            .path
            .as_ref()
            .is_none_or(|path| sill_tree::effective::is_at_or_above(path, &record.subject));
        let is_author_match = self.author.as_ref().is_none_or(|author| *author == record.author);
        let is_time_match = self.since.is_none_or(|since| record.at >= since)
            && self.until.is_none_or(|until| record.at <= until);
        is_path_match && is_author_match && is_time_match
    }
}

/// Returns a copy of a document with the hashes of keys and tokens redacted.
pub fn without_hashes(value: &Value) -> Value {
    match value {
        Value::String(text) if text.starts_with("blake3:") => Value::from("blake3:(left out)"),
        Value::Array(items) => items.iter().map(without_hashes).collect(),
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| (name.clone(), without_hashes(value)));
            Value::Object(fields.collect())
        }
        other => other.clone(),
    }
}
