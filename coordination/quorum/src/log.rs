//! The log as a replica holds it in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::members::Members;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that wrote it.
    pub term: u64,
    /// What it says.
    pub payload: Payload,
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "value", rename_all = "snake_case")]
pub enum Payload {
    /// Nothing; a new leader writes one to commit what is before it.
    Noop,
    /// New members, in use as soon as the entry is in the log.
    Members(Members),
    /// A command of the application.
    Command(Arc<str>),
}

/// The state of the application and of the log after some entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it contains.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The members after that entry.
    pub members: Members,
    /// The application's state.
    pub data: Arc<str>,
}

/// Entries from an index on, and the snapshot that stands for all before.
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
        let after = snapshot.as_ref().map_or(0, |s| s.index);
        if let Some(snapshot) = &snapshot {
            log.members.push(MembersAt { index: after, members: snapshot.members.clone() });
        }
        log.snapshot = snapshot;
        for entry in entries {
            log.push(entry);
        }
        log.members.retain(|at| at.index >= after);
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

    /// Drops the entry at an index and all after it.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.first_index()) as usize;
        self.entries.truncate(kept);
        self.members.retain(|at| at.index < index);
    }

    /// Returns the newest members.
    pub(crate) fn members(&self) -> &Members {
        self.members.last().map_or(&NO_MEMBERS, |at| &at.members)
    }

    /// Returns the entry that set the newest members.
    pub(crate) fn members_index(&self) -> u64 {
        self.members.last().map_or(0, |at| at.index)
    }

    pub(crate) fn members_at(&self, index: u64) -> Members {
        let set = self.members.iter().rev().find(|at| at.index <= index);
        set.map(|at| at.members.clone()).unwrap_or_default()
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Puts a snapshot of another replica in place of everything up to its index.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let later = if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.range(snapshot.index + 1, usize::MAX)
        } else {
            Vec::new()
        };
        let (index, term) = (snapshot.index, snapshot.term);
        *self = Self::restore(Some(snapshot), index, term, later);
    }

    /// Puts an own snapshot in place of old entries, but for the last `trailing` of them.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, trailing: u64) {
        let base_index = snapshot.index.saturating_sub(trailing).max(self.base_index);
        let base_term = self.term_at(base_index).unwrap_or(snapshot.term);
        let kept = self.range(base_index + 1, usize::MAX);
        *self = Self::restore(Some(snapshot), base_index, base_term, kept);
    }
}
