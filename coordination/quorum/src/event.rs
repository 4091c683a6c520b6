//! Input events and output actions of a replica.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::log::{Entry, Snapshot};
use crate::members::{MemberChange, Members, ReplicaId};
use crate::message::Message;
use crate::replica::{HardState, PersistentState};

/// An input of a replica.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The clock advanced.
    Tick,
    /// A message arrived from another replica.
    Receive(Message),
    /// Commands to append, if this replica is the leader.
    Propose {
        /// Returned in the resulting action.
        tag: u64,
        /// The commands, in log order.
        commands: Vec<Arc<str>>,
    },
    /// Starts the log with these members. Sent to one chosen replica while all replicas are new.
    Bootstrap(Members),
    /// A replica asks to become a member.
    Join {
        /// The replica to add.
        id: ReplicaId,
        /// Whether it becomes a voter once it has caught up.
        as_voter: bool,
    },
    /// An operator changes the members.
    ChangeMembers(MemberChange),
    /// Replaces old entries by a snapshot of the application's state.
    Compact {
        /// Index of the last entry that the state includes.
        index: u64,
        /// The serialized state.
        data: Arc<str>,
    },
}

/// An output of a replica; the caller carries out actions in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Make this durable before starting any later action.
    Persist(Write),
    /// Send a message; it may get lost.
    Send(Message),
    /// Replace the application's state by a snapshot.
    Restore(Snapshot),
    /// Apply a committed entry.
    Apply {
        /// Index of the entry in the log.
        index: u64,
        /// The committed entry.
        entry: Entry,
    },
    /// Commands were appended. Each is committed at its index, or never by this leader.
    ProposalAppended {
        /// The tag of [`Event::Propose`].
        tag: u64,
        /// Index of the first command.
        first_index: u64,
        /// Term of the commands; an entry of another term at such an index is not the command.
        term: u64,
    },
    /// Commands were not appended because this replica is not the leader.
    NotLeader {
        /// The tag of [`Event::Propose`].
        tag: u64,
    },
}

/// A change of the durable state; all of it must become durable at once.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Term and vote, if they changed.
    #[serde(rename = "hard")]
    pub hard_state: Option<HardState>,
    /// Entries that replace the end of the log.
    pub entries: Option<NewEntries>,
    /// The complete state, after a snapshot was made or installed; replaces all earlier writes.
    #[serde(rename = "whole")]
    pub full_state: Option<Box<PersistentState>>,
}

/// Entries that replace everything from an index on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NewEntries {
    /// Index of the first entry.
    #[serde(rename = "first")]
    pub first_index: u64,
    /// The entries in log order.
    pub entries: Vec<Entry>,
}
