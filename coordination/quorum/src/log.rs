//! The log in the memory of a replica.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::members::Members;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// A command, new members, or nothing.
    pub payload: Payload,
}

/// The content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "value", rename_all = "snake_case")]
pub enum Payload {
    /// Nothing; a new leader appends one to commit the entries before it.
    Noop,
    /// New members, in effect as soon as the entry is in the log, committed or not.
    Members(Members),
    /// A command of the application.
    Command(Arc<str>),
}

/// The state of the application and of the log after an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The members after that entry.
    pub members: Members,
    /// The serialized state of the application.
    pub data: Arc<str>,
}

/// Entries after a base index, and the snapshot that replaces all up to its index.
#[derive(Debug, Default, Clone)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    members: Vec<MembersAt>,
}

#[derive(Debug, Clone)]
struct MembersAt {
    index: u64,
    members: Members,
}

static NO_MEMBERS: Members = Members {
    voters: std::collections::BTreeSet::new(),
    learners: std::collections::BTreeSet::new(),
};

impl Log {
    pub(crate) fn restore(
        snapshot: Option<Snapshot>,
        base_index: u64,
        base_term: u64,
        entries: Vec<Entry>,
    ) -> Self {
        let mut log = Self { base_index, base_term, ..Self::default() };
        let snapshot_index = snapshot.as_ref().map_or(0, |s| s.index);
        if let Some(snapshot) = &snapshot {
            log.members
                .push(MembersAt { index: snapshot_index, members: snapshot.members.clone() });
        }
        log.snapshot = snapshot;
        for entry in entries {
            log.push(entry);
        }
        log.members.retain(|at| at.index >= snapshot_index);
        log
    }

    pub(crate) fn base(&self) -> (u64, u64) {
        (self.base_index, self.base_term)
    }

    pub(crate) fn first_index(&self) -> u64 {
        self.base_index + 1
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    pub(crate) fn range(&self, from: u64, max: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.first_index()) as usize;
        self.entries.iter().skip(skip).take(max).cloned().collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        let index = self.last_index() + 1;
        if let Payload::Members(members) = &entry.payload {
            self.members.push(MembersAt { index, members: members.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Drops the entry at an index and all entries after it.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.first_index()) as usize;
        self.entries.truncate(kept);
        self.members.retain(|at| at.index < index);
    }

    /// Returns the newest members, whether committed or not.
    pub(crate) fn members(&self) -> &Members {
        self.members.last().map_or(&NO_MEMBERS, |at| &at.members)
    }

    /// Returns the index of the entry or snapshot that set the newest members.
    pub(crate) fn members_index(&self) -> u64 {
        self.members.last().map_or(0, |at| at.index)
    }

    /// Returns the members that were in effect at an index.
    pub(crate) fn members_at(&self, index: u64) -> Members {
        let entry = self.members.iter().rev().find(|at| at.index <= index);
        entry.map(|at| at.members.clone()).unwrap_or_default()
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Replaces everything up to its index by a snapshot of the leader. Entries after that index
    /// stay only if the log matches the snapshot there.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let later = if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.range(snapshot.index + 1, usize::MAX)
        } else {
            Vec::new()
        };
        let (index, term) = (snapshot.index, snapshot.term);
        *self = Self::restore(Some(snapshot), index, term, later);
    }

    /// Replaces old entries by an own snapshot, but keeps `trailing_entries` before its index.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, trailing_entries: u64) {
        let base_index = snapshot.index.saturating_sub(trailing_entries).max(self.base_index);
        let base_term = self.term_at(base_index).unwrap_or(snapshot.term);
        let kept = self.range(base_index + 1, usize::MAX);
        *self = Self::restore(Some(snapshot), base_index, base_term, kept);
    }
}
