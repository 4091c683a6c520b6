//! Calls by which entry instances exchange the state of entry instances and endpoints.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::{Announcement, Incarnation, Load};
use crate::call::Call;

/// The state of an entry instance, as reported by itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// The entry instance's name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Grows with each report of an incarnation.
    pub sequence: u64,
    /// Its failure domain.
    pub domain: Name,
    /// The address for callers and endpoints, `IP:PORT`.
    pub address: Name,
    /// The address for other entry instances, `IP:PORT`.
    pub peer_address: Name,
    /// Time left until it stops; set only while it is leaving.
    #[serde(default)]
    pub leaving: Option<Millis>,
}

/// An endpoint's announcement, relayed by an entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedAnnouncement {
    /// The announcement as the endpoint sent it.
    pub announcement: Announcement,
    /// Upper bound of the time since the endpoint sent it.
    pub age: Millis,
}

/// The summary of a failure domain for the other domains: sums in place of details.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The failure domain.
    pub domain: Name,
    /// Grows with each summary of its author.
    pub sequence: u64,
    /// The entry instance that created the summary.
    pub author: Name,
    /// The peer addresses, `IP:PORT`, of a few entry instances that can take requests.
    pub entries: Vec<Name>,
    /// Upper bound of the time since the summary was created.
    #[serde(default)]
    pub age: Millis,
    /// Free capacity for each model or service; only for the requested ones, if the caller names
    /// any.
    pub capacity: Vec<DomainCapacity>,
    /// Endpoints that the caller may use already and that still have free slots.
    #[serde(rename = "still", default, skip_serializing_if = "Vec::is_empty")]
    pub held_with_free_slots: Vec<EndpointIncarnation>,
}

/// Identifies an incarnation of an endpoint of another failure domain, which an entry instance may
/// use for a limited time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// The endpoint.
    #[serde(rename = "n")]
    pub name: Name,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

/// Free capacity of a failure domain for one model or service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainCapacity {
    /// The name of the model or service.
    pub serves: Name,
    /// Number of free slots.
    pub free_slots: u32,
    /// Total number of slots.
    pub slots: u32,
    /// A few endpoints with free slots, for a caller whose own failure domain has none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<Announcement>,
}

/// A load update of an endpoint whose announcement the receiver has already.
///
/// It is sent as an array of numbers, because load updates make up most of the traffic between
/// entry instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "LoadNumbers", into = "LoadNumbers")]
pub struct LoadUpdate {
    /// The hash that identifies the endpoint, salted as in the receiver's own digest.
    pub hash: u64,
    /// The sequence number of the announcement that contained the load.
    pub sequence: u64,
    /// Upper bound of the time since the endpoint sent it.
    pub age: Millis,
    /// The endpoint's load.
    pub load: Load,
}

type LoadNumbers = (u64, u64, Millis, u32, u32, u64, u64, Millis);

/// The state of an entry instance, relayed by another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedEntry {
    /// The state as the entry instance reported it.
    pub info: EntryInfo,
    /// Upper bound of the time since the entry instance reported it.
    pub age: Millis,
}

/// A heartbeat of an entry instance that the receiver knows already; sent as an array of numbers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "HeartbeatNumbers", into = "HeartbeatNumbers")]
pub struct Heartbeat {
    /// The hash that identifies the entry instance, salted as in the receiver's own digest.
    pub hash: u64,
    /// The sequence number of its newest report.
    pub sequence: u64,
    /// Upper bound of the time since the entry instance reported it.
    pub age: Millis,
}

type HeartbeatNumbers = (u64, u64, Millis);

/// States that an incarnation of an endpoint accepts no new requests, permanently.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The endpoint.
    pub name: Name,
    /// The incarnation that is leaving.
    pub incarnation: Incarnation,
    /// Time left until it stops.
    pub left: Millis,
}

/// A digest of the facts that the caller has already, as eight hexadecimal digits for each.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Mixed into the hashes, so that two facts that collide in one digest don't collide in the
    /// next.
    pub salt: u64,
    /// For each fact six digits of its hash and two of its sequence number, concatenated.
    #[serde(rename = "marks")]
    pub hashes: String,
}

/// The age of the summary that the caller has of a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SummaryAge {
    /// The failure domain.
    pub domain: Name,
    /// Time since the summary was created.
    pub age: Millis,
}

/// Requests updates from an entry instance.
///
/// Updates are sent in replies only: a caller knows when it sent the request, so it can bound the
/// age of what it receives, however long the messages were in transit. Leaving notices are the only
/// exception, since they stay true however late they arrive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberSync {
    /// The state of the caller.
    pub from: EntryInfo,
    /// The facts that the caller has already; set if it requests updates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// Whether this call answers a call of the same kind, and must not be answered by another one.
    #[serde(rename = "back", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_reply: bool,
    /// Endpoints that are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingNotice>,
    /// The summaries that the caller has already; set if it requests newer ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub summaries: Option<Vec<SummaryAge>>,
    /// Models and services for which the caller's own failure domain has no free endpoint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<Name>,
    /// Endpoints of other failure domains that the caller may use already; their announcements need
    /// not be sent again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub holds: Vec<EndpointIncarnation>,
}

/// The updates of the called entry instance, in reply to a [`MemberSync`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberReply {
    /// The state of the called entry instance.
    pub from: EntryInfo,
    /// Whether it has itself received its peers' updates since it started or was last partitioned.
    pub settled: bool,
    /// Entry instances that are missing from the caller's digest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<RelayedEntry>,
    /// Heartbeats that are newer than in the caller's digest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub heartbeats: Vec<Heartbeat>,
    /// Endpoints of the same failure domain that are missing from the caller's digest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<RelayedAnnouncement>,
    /// Loads that are newer than in the caller's digest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadUpdate>,
    /// Leaving endpoints that the caller's digest does not show as leaving.
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
        let Load { running, queued, queued_tokens, cached_tokens, age: sample_age } = load;
        (hash, sequence, age, running, queued, queued_tokens, cached_tokens, sample_age)
    }
}

impl From<LoadNumbers> for LoadUpdate {
    fn from(numbers: LoadNumbers) -> Self {
        let (hash, sequence, age, running, queued, queued_tokens, cached_tokens, sample_age) =
            numbers;
        let load = Load { running, queued, queued_tokens, cached_tokens, age: sample_age };
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
