//! What replicas say to each other.

use serde::{Deserialize, Serialize};
use sill_base::Millis;

use crate::log::{Entry, Snapshot};
use crate::members::ReplicaId;
use crate::restart::{Restarted, Run};

/// One message. It may be lost, late, doubled or overtaken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The life of the replica that is meant.
    pub to: ReplicaId,
    /// The sender's term, or the one it would like to lead.
    pub term: u64,
    /// The content.
    pub body: Body,
}

/// Tells a leader which of its messages is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The leader's clock when it sent the message.
    pub sent_at: Millis,
    /// Grows with each refusal that the leader acted on.
    pub round: u64,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Body {
    /// Asks whether a vote would be given; changes nothing at the receiver.
    PreVote {
        /// The candidate's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
    },
    /// Answers a [`Body::PreVote`].
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The candidate's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
        /// Where all replicas were restarted, their runs. Voters in these runs that have promised
        /// nothing since need not wait for a leader.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        runs: Vec<Run>,
    },
    /// Answers a [`Body::Vote`].
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Says that the sender has promised nothing since its start, and asks the same.
    Restarted {
        /// The sender.
        own: Restarted,
        /// The runs of all, to be confirmed, once all have answered.
        runs: Vec<Run>,
    },
    /// Answers a [`Body::Restarted`]; only a replica that has promised nothing since its start does.
    RestartedToo {
        /// The sender.
        own: Restarted,
        /// The runs that were asked about, if the sender is in the run that they name.
        confirms: Vec<Run>,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// The entry before the first.
        prev_index: u64,
        /// That entry's term.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// What the leader wants back in the answer.
        stamp: Stamp,
    },
    /// The state up to an entry that the leader no longer has.
    #[serde(rename = "install")]
    InstallSnapshot {
        /// The state.
        snapshot: Snapshot,
        /// What the leader wants back in the answer.
        stamp: Stamp,
    },
    /// Answers [`Body::Append`] and [`Body::InstallSnapshot`].
    AppendReply {
        /// Whether the entries are in the receiver's log, durably.
        accepted: bool,
        /// Up to where both logs are the same, or on a refusal where to try.
        index: u64,
        /// From the message that is answered.
        stamp: Stamp,
    },
}
