//! What a replica takes in and what it asks its caller to do.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::log::{Entry, Snapshot};
use crate::members::{MemberChange, Members, ReplicaId};
use crate::message::Message;
use crate::replica::{HardState, PersistentState};

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time went by.
    Tick,
    /// A message came.
    Receive(Message),
    /// Commands to write, if this replica leads.
    Propose {
        /// Given back in the answer.
        tag: u64,
        /// The commands.
        commands: Vec<Arc<str>>,
    },
    /// All replicas are new and this one was chosen to start the log.
    Bootstrap(Members),
    /// A replica wants to take part.
    Join {
        /// Its id.
        id: ReplicaId,
        /// Whether it shall become a voter.
        as_voter: bool,
    },
    /// An operator changes the members.
    ChangeMembers(MemberChange),
    /// The application's state after an applied entry, to drop older entries.
    Compact {
        /// The entry.
        index: u64,
        /// The state.
        data: Arc<str>,
    },
}

/// Something to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Make this durable before going on.
    Persist(Write),
    /// Send a message; it may get lost.
    Send(Message),
    /// Put a snapshot in place of the application's state.
    Restore(Snapshot),
    /// Apply a committed entry.
    Apply {
        /// Its index.
        index: u64,
        /// The entry.
        entry: Entry,
    },
    /// Commands were written and will be committed at these places, or never by this leader.
    ProposalAppended {
        /// From the event.
        tag: u64,
        /// The place of the first command.
        first_index: u64,
        /// The term; an entry of another term at that place is not the command.
        term: u64,
    },
    /// Commands were not written, since this replica does not lead.
    NotLeader {
        /// From the event.
        tag: u64,
    },
}

/// What must become durable at once.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Entries that replace everything from an index on.
    pub entries: Option<NewEntries>,
    /// Everything, to be written anew, after a snapshot was made or taken in.
    #[serde(rename = "whole")]
    pub full_state: Option<Box<PersistentState>>,
}

/// Entries that replace everything from an index on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NewEntries {
    /// The index of the first one.
    pub first: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}
