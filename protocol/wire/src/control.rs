//! What operators and control instances say to each other.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Finding, Millis, Name};

/// The number of a settings change; each accepted change takes the next one.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// The revision that the change made.
    pub revision: Revision,
    /// The subtree's path.
    pub path: Name,
    /// Whether every known entry instance ran it when the answer was given.
    #[serde(default)]
    pub in_force: bool,
}

/// A subtree as stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubtreeReply {
    /// The subtree's path.
    pub path: Name,
    /// The revision of its last change.
    pub revision: Revision,
    /// Who made it.
    pub author: Name,
    /// Its document; hashes of keys and tokens are left out for those who don't own it.
    pub document: Value,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRefusal {
    /// A short code: `conflict`, `invalid`, `forbidden`, `no_quorum`, `storage_full`.
    pub code: Name,
    /// For people.
    pub message: String,
    /// All findings of an invalid document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// The revision that won, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Who made the winning change, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<Name>,
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Position in the replicated log.
    pub index: u64,
    /// Term of the leader that wrote it.
    pub term: u64,
    /// Wall-clock time since the Unix epoch.
    pub at: Millis,
    /// Who asked.
    pub author: Name,
    /// What was done: `change`, `refused`, `order`, `start`, `stop`, `drain`, `voters`.
    pub action: Name,
    /// The path, endpoint or instance it was done to.
    pub subject: Name,
    /// Why.
    #[serde(default)]
    pub reason: String,
    /// The revision it made, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The change's content, with secrets left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Value>,
}

/// What a control instance knows of the whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetReply {
    /// The control instance that answers.
    pub control: Name,
    /// The leader, if one is known.
    pub leader: Option<Name>,
    /// The current term.
    pub term: u64,
    /// The newest committed revision.
    pub revision: Revision,
    /// The entry instances that were heard of.
    pub entries: Vec<EntryStatus>,
    /// The endpoints that entries report.
    #[serde(default)]
    pub endpoints: Vec<EndpointStatus>,
}

/// What is known of an entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The revision that it runs.
    pub revision: Revision,
    /// How long ago it was heard of.
    pub heard_ago: Millis,
}

/// What is known of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// `ready`, `leaving` or `gone`.
    pub state: Name,
    /// Requests that run.
    pub running: u32,
    /// Requests that it can run side by side.
    pub slots: u32,
}
