//! The history that clients observe, and checks of its consistency.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use sill_quorum::{Entry, Members, Payload, ReplicaId};

/// The committed log as observed on all nodes, and the results of the clients' operations on it.
#[derive(Debug, Default)]
pub struct History {
    committed: Vec<CommittedEntry>,
    /// The leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    newest_seen: u64,
    /// Members set by the last committed entry that changed them.
    pub members: Members,
    /// Number of acknowledged changes.
    pub answered_changes: u64,
    /// Number of answered reads.
    pub answered_reads: u64,
}

#[derive(Debug)]
struct CommittedEntry {
    entry: Entry,
    state_hash: u64,
}

/// The application's state: the index of the last applied entry and a hash over all applied
/// entries.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct AppState {
    pub index: u64,
    pub hash: u64,
}

impl AppState {
    pub fn to_text(self) -> String {
        format!("{}:{}", self.index, self.hash)
    }

    pub fn parse(text: &str) -> Self {
        let (index, hash) = text.split_once(':').expect("state text is not index:hash");
        Self {
            index: index.parse().expect("index is not a number"),
            hash: hash.parse().expect("hash is not a number"),
        }
    }

    fn after_entry(self, entry: &Entry) -> Self {
        let mut hasher = DefaultHasher::new();
        self.hash.hash(&mut hasher);
        format!("{entry:?}").hash(&mut hasher);
        Self { index: self.index + 1, hash: hasher.finish() }
    }
}

impl History {
    pub fn new(members: Members) -> Self {
        Self { members, ..Self::default() }
    }

    /// Records that a node applied an entry, and returns its state after that.
    pub fn record_apply(&mut self, state: AppState, index: u64, entry: &Entry) -> AppState {
        assert_eq!(
            index,
            state.index + 1,
            "entry {index} skips entries or was applied before, state is at {}",
            state.index
        );
        let after = state.after_entry(entry);
        match self.committed.get(index as usize - 1) {
            Some(expected) => {
                assert_eq!(expected.entry, *entry, "nodes applied different entries at {index}");
                assert_eq!(expected.state_hash, after.hash, "node states differ at {index}");
            }
            None => {
                assert_eq!(
                    self.committed.len() as u64 + 1,
                    index,
                    "first applied entry skips others"
                );
                self.committed
                    .push(CommittedEntry { entry: entry.clone(), state_hash: after.hash });
                if let Payload::Members(members) = &entry.payload {
                    self.members = members.clone();
                }
            }
        }
        after
    }

    /// Checks the state that a node restored from a snapshot.
    pub fn check_snapshot(&self, state: AppState) {
        if state.index > 0 {
            let expected = self.committed.get(state.index as usize - 1);
            let expected = expected.expect("snapshot includes an entry that no node has applied");
            assert_eq!(
                expected.state_hash, state.hash,
                "snapshot differs from the log at {}",
                state.index
            );
        }
    }

    /// Records the leader of a term; no term may have two.
    pub fn record_leader(&mut self, term: u64, id: &ReplicaId) {
        let first = self.leaders.entry(term).or_insert_with(|| id.clone());
        assert_eq!(first, id, "two leaders in term {term}");
    }

    /// Returns the index of the newest entry whose effect a client has seen. An operation that
    /// starts now must see at least that entry.
    pub fn newest_seen(&self) -> u64 {
        self.newest_seen
    }

    /// Records that a client's change was acknowledged.
    ///
    /// The log is the order in which operations take effect, so the history is linearizable if
    /// an operation that starts after the answer to another one takes effect after it.
    pub fn record_answer(&mut self, seen_at_start: u64, index: u64) {
        assert!(index > seen_at_start, "change at {index} started after {seen_at_start} was seen");
        self.newest_seen = self.newest_seen.max(index);
        self.answered_changes += 1;
    }

    /// Records a client's read that starts now and is answered without delay.
    pub fn record_read(&mut self, index: u64) {
        let seen = self.newest_seen;
        assert!(index >= seen, "stale read at {index} after {seen} was seen");
        self.newest_seen = index;
        self.answered_reads += 1;
    }

    pub fn len(&self) -> u64 {
        self.committed.len() as u64
    }
}
