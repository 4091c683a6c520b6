//! Calls between control instances.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_quorum::{Message, ReplicaId};
use sill_wire::Call;
use sill_wire::control::Revision;
use sill_wire::feed::DomainEndpoints;
use sill_wire::link::ControlInfo;

use crate::app::{Ask, Outcome};

/// Messages of replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuorumSend {
    /// In the order in which they were sent.
    pub messages: Vec<Message>,
}

/// Tells that a call was taken in.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Ack {}

/// A control instance that is not a voter makes itself known.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// Its id.
    pub id: ReplicaId,
    /// Whether it wants to be a voter.
    pub as_voter: bool,
    /// Where it is reached.
    pub place: ControlInfo,
}

/// Who was reached.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloReply {
    /// Its id.
    pub id: ReplicaId,
    /// Whether it has never taken part in a log.
    pub is_new: bool,
    /// The newest life of the caller that takes part, as far as it knows.
    #[serde(default, rename = "life")]
    pub incarnation: Option<u64>,
    /// Where it is reached.
    pub place: ControlInfo,
    /// The other control instances that it knows.
    #[serde(rename = "known")]
    pub peers: Vec<ControlInfo>,
}

/// Hands an ask to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submit {
    /// The ask.
    pub ask: Ask,
}

/// What the called instance did about a [`Submit`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum SubmitReply {
    /// It is committed.
    Done {
        /// What came of it.
        outcome: Outcome,
    },
    /// It doesn't lead and did nothing.
    NotLeader,
    /// It wrote the ask, but whether that will be committed is unknown.
    Unknown,
}

/// Asks the leader which entry holds everything that was answered so far.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ReadIndex {}

/// The answer to a [`ReadIndex`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ReadIndexReply {
    /// The entry; none if the called instance holds no lease.
    pub index: Option<u64>,
}

/// Tells which entry instances polled the caller, and what they run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatusSync {
    /// The entry instances.
    pub entries: Vec<EntryRevision>,
    /// The endpoints that they reported.
    #[serde(default)]
    pub endpoints: Vec<DomainEndpoints>,
}

/// Asks which entry instances the called instance has heard of, and what they run.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EntryStatusRequest {}

/// What an entry instance runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryRevision {
    /// Its name.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The revision.
    pub revision: Revision,
    /// How long ago it said so.
    pub age: Millis,
}

impl Call for QuorumSend {
    type Reply = Ack;

    const METHOD: &'static str = "quorum_send";
}

impl Call for Hello {
    type Reply = HelloReply;

    const METHOD: &'static str = "control_hello";
}

impl Call for Submit {
    type Reply = SubmitReply;

    const METHOD: &'static str = "control_submit";
}

impl Call for ReadIndex {
    type Reply = ReadIndexReply;

    const METHOD: &'static str = "control_read_index";
}

impl Call for EntryStatusRequest {
    type Reply = EntryStatusSync;

    const METHOD: &'static str = "control_running_ask";
}

impl Call for EntryStatusSync {
    type Reply = Ack;

    const METHOD: &'static str = "control_running";
}
