//! What entry instances tell each other about themselves and about endpoints.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::{Announcement, Incarnation};
use crate::call::Call;

/// An entry instance as its peers see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Its name.
    pub name: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// Grows with each report of a life.
    pub sequence: u64,
    /// Its failure domain.
    pub domain: Name,
    /// Where callers and endpoints reach it, `IP:PORT`.
    pub address: Name,
    /// Where peers reach it, `IP:PORT`.
    pub peer_address: Name,
    /// Time left until it is gone, once it is leaving.
    #[serde(default)]
    pub leaving: Option<Millis>,
}

/// An announcement on its way between entry instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Relayed {
    /// The announcement as the endpoint sent it.
    pub announcement: Announcement,
    /// How long ago the endpoint sent it, at most.
    pub age: Millis,
}

/// What a failure domain tells the others: sums in place of details.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The failure domain.
    pub domain: Name,
    /// Grows with each summary of its author.
    pub sequence: u64,
    /// The entry instance that made it.
    pub author: Name,
    /// Entry instances that can take requests, `IP:PORT` of their peer address; a few.
    pub entries: Vec<Name>,
    /// Free capacity for each model or service.
    pub capacity: Vec<DomainCapacity>,
}

/// Free capacity of a failure domain for one model or service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainCapacity {
    /// The model or service.
    pub serves: Name,
    /// Slots that are free.
    pub free_slots: u32,
    /// Slots in all.
    pub slots: u32,
    /// A few endpoints with free slots, to send to when the own domain has none.
    pub endpoints: Vec<Announcement>,
}

/// One exchange between two entry instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberSync {
    /// The caller.
    pub from: EntryInfo,
    /// News about entry instances.
    pub entries: Vec<EntryInfo>,
    /// News about endpoints of the same failure domain.
    pub endpoints: Vec<Relayed>,
    /// News about other failure domains.
    pub summaries: Vec<DomainSummary>,
    /// Whether the caller wants everything in return, as after a start.
    #[serde(default)]
    pub full: bool,
}

/// The called entry's own news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberReply {
    /// The called entry.
    pub from: EntryInfo,
    /// News about entry instances.
    pub entries: Vec<EntryInfo>,
    /// News about endpoints of the same failure domain.
    pub endpoints: Vec<Relayed>,
    /// News about other failure domains.
    pub summaries: Vec<DomainSummary>,
}

impl Call for MemberSync {
    type Reply = MemberReply;

    const METHOD: &'static str = "member_sync";
}
