//! How settings reach entry instances: pulled by a waiting call, so that a change arrives at once
//! and one who missed many catches up with the same call.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;
use crate::control::{EndpointStatus, Revision};

/// Asks a control instance, or a peer entry, for settings newer than `have`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedPoll {
    /// Who asks.
    pub entry: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// The newest revision that the asker runs.
    pub have: Revision,
    /// How long the call may wait for something newer.
    pub wait: Millis,
    /// What the asker's own subscribers run, where it passes settings on.
    #[serde(rename = "below", default)]
    pub subscribers: Vec<RunningRevision>,
    /// The endpoints of the asker's failure domain, from one entry instance of it now and then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints: Option<DomainEndpoints>,
}

/// The endpoints of a failure domain as one of its entry instances knows them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainEndpoints {
    /// The failure domain.
    pub domain: Name,
    /// How long ago this was so.
    #[serde(default)]
    pub age: Millis,
    /// The endpoints by name.
    pub endpoints: Vec<EndpointStatus>,
}

/// Which revision an entry instance runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunningRevision {
    /// The entry instance.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The revision.
    pub revision: Revision,
    /// How long ago it said so.
    #[serde(default)]
    pub age: Millis,
}

/// One committed change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision it made.
    pub revision: Revision,
    /// The subtree's path.
    pub path: Name,
    /// Who made it.
    pub author: Name,
    /// The new document, or none where the subtree was removed.
    pub document: Option<Value>,
}

/// What is newer than the asker's revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "feed", rename_all = "snake_case")]
pub enum FeedReply {
    /// Nothing is newer.
    Current,
    /// The changes after `have`, without a gap.
    Changes {
        /// In order of their revisions.
        changes: Vec<Change>,
    },
    /// The whole tree, where the changes are too many or no longer kept.
    Snapshot {
        /// The revision of the whole.
        revision: Revision,
        /// The last change of each subtree.
        subtrees: Vec<Change>,
    },
    /// The called process has nothing itself yet.
    Empty,
}

impl Call for FeedPoll {
    type Reply = FeedReply;

    const METHOD: &'static str = "feed_poll";
}
