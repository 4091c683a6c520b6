//! What the outside sees, and whether it fits together.

use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use sill_quorum::{Entry, Members, Payload, ReplicaId};

/// The committed log as all nodes together show it, and the clients' operations on it.
#[derive(Debug, Default)]
pub struct History {
    committed: Vec<Committed>,
    leaders: BTreeMap<u64, ReplicaId>,
    newest_seen: u64,
    /// Members after the last committed change of members.
    pub members: Members,
    /// Operations that were answered.
    pub answered: u64,
    /// Reads that were answered.
    pub reads: u64,
}

#[derive(Debug)]
struct Committed {
    entry: Entry,
    state: u64,
}

/// The application's state: which entries it holds, and a hash of them all.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct AppState {
    pub index: u64,
    pub hash: u64,
}

impl AppState {
    pub fn text(self) -> String {
        format!("{}:{}", self.index, self.hash)
    }

    pub fn parse(text: &str) -> Self {
        let (index, hash) = text.split_once(':').expect("two numbers");
        Self { index: index.parse().expect("a number"), hash: hash.parse().expect("a number") }
    }

    fn after(self, entry: &Entry) -> Self {
        let mut hasher = DefaultHasher::new();
        self.hash.hash(&mut hasher);
        format!("{entry:?}").hash(&mut hasher);
        Self { index: self.index + 1, hash: hasher.finish() }
    }
}

impl History {
    pub fn of(members: Members) -> Self {
        Self { members, ..Self::default() }
    }

    /// Takes in that a node applied an entry, and returns its state after that.
    pub fn apply(&mut self, state: AppState, index: u64, entry: &Entry) -> AppState {
        assert_eq!(index, state.index + 1, "an entry was left out or applied twice");
        let after = state.after(entry);
        match self.committed.get(index as usize - 1) {
            Some(known) => {
                assert_eq!(known.entry, *entry, "two nodes applied different entries at {index}");
                assert_eq!(known.state, after.hash, "two nodes have different states at {index}");
            }
            None => {
                assert_eq!(self.committed.len() as u64 + 1, index, "an entry was committed early");
                self.committed.push(Committed { entry: entry.clone(), state: after.hash });
                if let Payload::Members(members) = &entry.payload {
                    self.members = members.clone();
                }
            }
        }
        after
    }

    /// Takes in that a node replaced its state by a snapshot.
    pub fn restore(&self, state: AppState) {
        if state.index > 0 {
            let known = self.committed.get(state.index as usize - 1);
            let known = known.expect("a snapshot holds what nobody has applied");
            assert_eq!(known.state, state.hash, "a snapshot differs from the log");
        }
    }

    /// Takes in that a node leads.
    pub fn leads(&mut self, term: u64, id: &ReplicaId) {
        let first = self.leaders.entry(term).or_insert_with(|| id.clone());
        assert_eq!(first, id, "two leaders in term {term}");
    }

    /// Returns the newest entry whose effect some client has seen; an operation that starts now
    /// must see at least that.
    pub fn newest_seen(&self) -> u64 {
        self.newest_seen
    }

    /// Takes in that a client's change was answered.
    ///
    /// The log is the order in which operations take effect, so the history is linearizable if
    /// an operation that begins after another one was answered takes effect behind it.
    pub fn answer(&mut self, seen_at_start: u64, index: u64) {
        assert!(index > seen_at_start, "a change at {index} after one at {seen_at_start}");
        self.newest_seen = self.newest_seen.max(index);
        self.answered += 1;
    }

    /// Takes in that a client's read was answered, at once.
    pub fn read(&mut self, index: u64) {
        let seen = self.newest_seen;
        assert!(index >= seen, "a stale read: {index} after {seen} was seen");
        self.newest_seen = index;
        self.reads += 1;
    }

    pub fn len(&self) -> u64 {
        self.committed.len() as u64
    }
}
