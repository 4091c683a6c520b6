//! Messages between operators and control instances.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Finding, Millis, Name};

/// The number of an accepted settings change; each accepted change takes the next one.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The reply to an accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// The revision that the change created.
    pub revision: Revision,
    /// The path of the changed subtree.
    pub path: Name,
    /// Whether every known entry instance had applied the revision when the reply was sent.
    #[serde(default)]
    pub in_force: bool,
}

/// A subtree of the settings as stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubtreeReply {
    /// The subtree's path.
    pub path: Name,
    /// The revision of its last change.
    pub revision: Revision,
    /// The author of its last change.
    pub author: Name,
    /// Its document; hashes of keys and tokens are omitted for readers who don't own the subtree.
    pub document: Value,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRefusal {
    /// A short code: `conflict`, `invalid`, `forbidden`, `no_quorum`, `storage_full`.
    pub code: Name,
    /// A description for people.
    pub message: String,
    /// All findings of an invalid document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// On a conflict, the revision that is already stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// On a conflict, the author of the stored revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<Name>,
}

/// One record of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Position in the replicated log.
    pub index: u64,
    /// Term of the leader that wrote it.
    pub term: u64,
    /// Wall-clock time of the action, since the Unix epoch.
    pub at: Millis,
    /// Who requested the action.
    pub author: Name,
    /// The action: `change`, `refused`, `order`, `start`, `stop`, `drain`, `voters`.
    pub action: Name,
    /// The path, endpoint or instance that the action concerns.
    pub subject: Name,
    /// The reason for the action.
    #[serde(default)]
    pub reason: String,
    /// The revision that the action created, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The content of the change, without secrets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Value>,
}

/// The state of the system as a control instance sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetReply {
    /// The control instance that sent the reply.
    pub control: Name,
    /// The leader, if one is known.
    pub leader: Option<Name>,
    /// The current term.
    pub term: u64,
    /// The newest committed revision.
    pub revision: Revision,
    /// The known entry instances.
    pub entries: Vec<EntryStatus>,
    /// The endpoints that entry instances report.
    #[serde(default)]
    pub endpoints: Vec<EndpointStatus>,
}

/// The last known status of an entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The settings revision that it has applied.
    pub revision: Revision,
    /// Time since its last report.
    pub heard_ago: Millis,
}

/// The last known status of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// `ready`, `leaving` or `gone`.
    pub state: Name,
    /// Number of requests that are running.
    pub running: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
}
