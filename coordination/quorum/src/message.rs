//! Messages between replicas.

use serde::{Deserialize, Serialize};
use sill_base::Millis;

use crate::log::{Entry, Snapshot};
use crate::members::ReplicaId;
use crate::restart::{RestartStatus, RunId};

/// A message between two replicas. It may be lost, delayed, duplicated or reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver; another incarnation of it ignores the message.
    pub to: ReplicaId,
    /// The sender's term. In a pre-vote, and in the reply that grants it, the term that the
    /// candidate would start.
    pub term: u64,
    /// A request, a report, or the answer to one.
    pub body: Body,
}

/// Identifies to a leader which of its messages a reply answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStamp {
    /// The leader's clock when it sent the message.
    pub sent_at: Millis,
    /// Number of rejections by the receiver that the leader had acted on when it sent the message.
    pub round: u64,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Body {
    /// Asks whether a vote would be granted; changes nothing at the receiver.
    PreVote {
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers a [`Body::PreVote`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
        /// The runs of all replicas, if all were restarted. A voter that is still fresh in its
        /// listed run need not wait out the election timeout.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        runs: Vec<RunId>,
    },
    /// Answers a [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Reports that the sender is fresh, that is, has made no promise since its start, and asks
    /// whether the receiver is too.
    #[serde(rename = "restarted")]
    RestartQuery {
        /// Run and last entry of the sender.
        own: RestartStatus,
        /// The runs of all replicas for the receiver to confirm, or none until all have reported.
        runs: Vec<RunId>,
    },
    /// Answers a [`Body::RestartQuery`]; sent only by a fresh replica.
    #[serde(rename = "restarted_too")]
    RestartReply {
        /// Run and last entry of the sender.
        own: RestartStatus,
        /// The runs of the query, if they include the sender's current run; otherwise none.
        confirms: Vec<RunId>,
    },
    /// Entries to append, or none as a heartbeat.
    Append {
        /// Index of the entry before the first.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// The entries in log order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Returned unchanged in the reply.
        stamp: RequestStamp,
    },
    /// A snapshot, for a replica that needs entries which the leader has dropped.
    #[serde(rename = "install")]
    InstallSnapshot {
        /// The leader's newest snapshot.
        snapshot: Snapshot,
        /// Returned unchanged in the reply.
        stamp: RequestStamp,
    },
    /// Answers [`Body::Append`] and [`Body::InstallSnapshot`].
    AppendReply {
        /// Whether the entries are durable in the receiver's log.
        accepted: bool,
        /// Last index up to which both logs match; on a rejection, the index to try next.
        index: u64,
        /// The stamp of the message that is answered.
        stamp: RequestStamp,
    },
}
