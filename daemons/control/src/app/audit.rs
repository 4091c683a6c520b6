//! The audit trail: who did what, when and why.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Millis, Name};
use sill_wire::control::AuditRecord;

/// Records that are kept; at 1,800 changes a day they reach back for eleven days.
const MAX_RECORDS: usize = 20_000;

/// The newest records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
}

/// Which records are asked for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AuditFilter {
    /// At this path or below.
    pub path: Option<Name>,
    /// Of this author.
    pub author: Option<Name>,
    /// Not older than this.
    pub since: Option<Millis>,
    /// Not newer than this.
    pub until: Option<Millis>,
}

impl AuditTrail {
    /// Adds a record.
    pub fn add(&mut self, record: AuditRecord) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Iterates over the records that a filter lets through, the oldest first.
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

/// Returns a document with the hashes of keys and tokens struck out.
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
