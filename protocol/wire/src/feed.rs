//! The settings feed: entry instances pull settings by long polling, so that a change arrives at
//! once and a subscriber that missed many changes catches up with the same call.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;
use crate::control::{EndpointStatus, Revision};

/// Asks a control instance, or a peer entry, for settings newer than `have`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedPoll {
    /// The polling entry instance.
    pub entry: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// The newest revision that it has applied.
    pub have: Revision,
    /// How long the call may block until a newer revision exists.
    pub wait: Millis,
    /// The revisions that its own subscribers have applied, if it relays settings.
    #[serde(rename = "below", default)]
    pub subscribers: Vec<RunningRevision>,
    /// The endpoints of its failure domain; one entry instance of the domain sends them from time
    /// to time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints: Option<DomainEndpoints>,
}

/// The endpoints of a failure domain, as reported by one of its entry instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainEndpoints {
    /// The failure domain.
    pub domain: Name,
    /// Age of the report.
    #[serde(default)]
    pub age: Millis,
    /// The endpoints, ordered by name.
    pub endpoints: Vec<EndpointStatus>,
}

/// The settings revision that an entry instance has applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunningRevision {
    /// The entry instance.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The newest revision that it has applied.
    pub revision: Revision,
    /// Time since the entry instance reported it.
    #[serde(default)]
    pub age: Millis,
}

/// A committed change of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change created.
    pub revision: Revision,
    /// The path of the changed subtree.
    pub path: Name,
    /// The author of the change.
    pub author: Name,
    /// The new document, or `None` if the subtree was removed.
    pub document: Option<Value>,
}

/// The settings newer than the revision of a [`FeedPoll`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "feed", rename_all = "snake_case")]
pub enum FeedReply {
    /// There is no newer revision.
    Current,
    /// All changes after `have`, without a gap.
    Changes {
        /// The changes, in order of their revisions.
        changes: Vec<Change>,
    },
    /// The whole tree, sent if the changes are too many or no longer stored.
    Snapshot {
        /// The revision of the snapshot.
        revision: Revision,
        /// The last change of each subtree.
        subtrees: Vec<Change>,
    },
    /// The called process has no settings yet.
    Empty,
}

impl Call for FeedPoll {
    type Reply = FeedReply;

    const METHOD: &'static str = "feed_poll";
}
