//! What entry instances tell each other about themselves and about endpoints.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::{Announcement, Incarnation, Load};
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
pub struct RelayedAnnouncement {
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
    /// How long ago it was made, at most.
    #[serde(default)]
    pub age: Millis,
    /// Free capacity for each model or service; of those that the caller wants, where it names any.
    pub capacity: Vec<DomainCapacity>,
    /// Endpoints that the caller holds already and that still have free slots.
    #[serde(rename = "still", default, skip_serializing_if = "Vec::is_empty")]
    pub held_with_free_slots: Vec<EndpointIncarnation>,
}

/// An endpoint of another failure domain that an entry instance may use for a while.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// The endpoint.
    #[serde(rename = "n")]
    pub name: Name,
    /// Its life.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
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
    /// A few endpoints with free slots, for a caller whose domain has none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<Announcement>,
}

/// News of an endpoint whose announcement the receiver holds already.
///
/// It is an array of numbers on the wire, because these make up most of the traffic between entry
/// instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "LoadNumbers", into = "LoadNumbers")]
pub struct LoadUpdate {
    /// The hash, by the salt of the receiver's own digest, that stands for the endpoint.
    pub hash: u64,
    /// The number of the announcement that the load came with.
    pub sequence: u64,
    /// How long ago the endpoint sent it, at most.
    pub age: Millis,
    /// The load.
    pub load: Load,
}

type LoadNumbers = (u64, u64, Millis, u32, u32, u64, u64, Millis);

/// An entry instance on its way between others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedEntry {
    /// The entry instance.
    pub info: EntryInfo,
    /// How long ago it spoke for itself, at most.
    pub age: Millis,
}

/// A sign of life of an entry instance that the receiver knows already, an array on the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "HeartbeatNumbers", into = "HeartbeatNumbers")]
pub struct Heartbeat {
    /// The hash, by the salt of the receiver's own digest, that stands for the entry instance.
    pub hash: u64,
    /// The number of its report.
    pub sequence: u64,
    /// How long ago it spoke for itself, at most.
    pub age: Millis,
}

type HeartbeatNumbers = (u64, u64, Millis);

/// Tells that a life of an endpoint takes no new work, ever again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The endpoint.
    pub name: Name,
    /// The life that ends.
    pub incarnation: Incarnation,
    /// Time left until it is gone.
    pub left: Millis,
}

/// What the caller knows already, as eight hexadecimal digits for each fact.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Mixed into the hashes, so that two facts that collide once don't do so again.
    pub salt: u64,
    /// Six digits of a hash of the fact and two of its sequence number, one after the other.
    #[serde(rename = "marks")]
    pub hashes: String,
}

/// Which summary of a failure domain the caller holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SummaryAge {
    /// The failure domain.
    pub domain: Name,
    /// How long ago the summary was made.
    pub age: Millis,
}

/// Asks an entry instance for its news.
///
/// News travel in replies only: a caller knows when it asked, so it can bound the age of what it
/// hears, however long the messages were under way. Leaving notices are the one exception, since
/// they stay true however late they come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberSync {
    /// The caller.
    pub from: EntryInfo,
    /// What the caller knows already, where it wants news.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// Whether this answers a question by one, and must not be answered so again.
    #[serde(rename = "back", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_reply: bool,
    /// Endpoints that are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingNotice>,
    /// The summaries that the caller holds, where it wants newer ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub summaries: Option<Vec<SummaryAge>>,
    /// Models and services for which the caller's own domain has no free endpoint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<Name>,
    /// Endpoints of other failure domains that the caller holds, which need not be sent whole.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub holds: Vec<EndpointIncarnation>,
}

/// The called entry's news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberReply {
    /// The called entry.
    pub from: EntryInfo,
    /// Whether it has heard its peers' news itself since it started or was last cut off.
    pub settled: bool,
    /// Entry instances that the caller doesn't know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<RelayedEntry>,
    /// Signs of life that the caller doesn't know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub heartbeats: Vec<Heartbeat>,
    /// Endpoints of the same failure domain that the caller doesn't know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<RelayedAnnouncement>,
    /// Loads that the caller doesn't know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadUpdate>,
    /// Endpoints that are leaving, of which the caller doesn't know it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingNotice>,
    /// Summaries of failure domains.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<DomainSummary>,
}

impl Call for MemberSync {
    type Reply = MemberReply;

    const METHOD: &'static str = "member_sync";
}

impl From<LoadUpdate> for LoadNumbers {
    fn from(update: LoadUpdate) -> Self {
        let LoadUpdate { hash, sequence, age, load } = update;
        let Load { running, queued, queued_tokens, cached_tokens, age: sampled } = load;
        (hash, sequence, age, running, queued, queued_tokens, cached_tokens, sampled)
    }
}

impl From<LoadNumbers> for LoadUpdate {
    fn from(numbers: LoadNumbers) -> Self {
        let (hash, sequence, age, running, queued, queued_tokens, cached_tokens, sampled) = numbers;
        let load = Load { running, queued, queued_tokens, cached_tokens, age: sampled };
        Self { hash, sequence, age, load }
    }
}

impl From<Heartbeat> for HeartbeatNumbers {
    fn from(beat: Heartbeat) -> Self {
        (beat.hash, beat.sequence, beat.age)
    }
}

impl From<HeartbeatNumbers> for Heartbeat {
    fn from((hash, sequence, age): HeartbeatNumbers) -> Self {
        Self { hash, sequence, age }
    }
}
