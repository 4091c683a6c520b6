//! Calls between control instances.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_quorum::{Message, ReplicaId};
use sill_wire::Call;
use sill_wire::control::Revision;
use sill_wire::feed::DomainEndpoints;
use sill_wire::link::ControlInfo;

use crate::app::{Ask, Outcome};

/// Delivers messages between replicas of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuorumSend {
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// Acknowledges that a call was processed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Ack {}

/// Announces a control instance that is not a voter to another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The caller's replica id.
    pub id: ReplicaId,
    /// Whether the caller asks to become a voter.
    pub as_voter: bool,
    /// The caller's name, failure domain and addresses.
    #[serde(rename = "place")]
    pub info: ControlInfo,
}

/// Identifies the instance that received a [`Hello`], and the peers it has found.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloReply {
    /// The replica id of the called instance.
    pub id: ReplicaId,
    /// Whether the called instance has never been part of a log.
    pub is_new: bool,
    /// The newest incarnation of the caller among the log members that the called instance has.
    #[serde(default, rename = "life")]
    pub incarnation: Option<u64>,
    /// The name, failure domain and addresses of the called instance.
    #[serde(rename = "place")]
    pub info: ControlInfo,
    /// All control instances in the directory of the called instance, itself included.
    #[serde(rename = "known")]
    pub peers: Vec<ControlInfo>,
}

/// Submits a request to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submit {
    /// The request to append to the log.
    pub ask: Ask,
}

/// What the called instance did about a [`Submit`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum SubmitReply {
    /// The request is committed.
    Done {
        /// The result of applying it.
        outcome: Outcome,
    },
    /// The called instance is not the leader and did nothing.
    NotLeader,
    /// The called instance appended the request, but whether it will be committed is unknown.
    Unknown,
}

/// Asks the leader for the log index that covers everything answered so far.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ReadIndex {}

/// The answer to a [`ReadIndex`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ReadIndexReply {
    /// The log index; `None` if the called instance holds no lease.
    pub index: Option<u64>,
}

/// Reports which entry instances polled the caller, and the settings revision each one runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatusSync {
    /// The entry instances.
    pub entries: Vec<EntryRevision>,
    /// The endpoints that the entry instances reported, by failure domain.
    #[serde(default)]
    pub endpoints: Vec<DomainEndpoints>,
}

/// Asks which entry instances polled the called instance, and the settings revision each one runs.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EntryStatusRequest {}

/// The settings revision that an entry instance runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryRevision {
    /// Name of the entry instance.
    pub entry: Name,
    /// Failure domain of the entry instance.
    pub domain: Name,
    /// The settings revision it runs.
    pub revision: Revision,
    /// Time since it reported this revision.
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
