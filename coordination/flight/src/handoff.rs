//! The messages by which a reclaimed entry instance hands its requests over to a peer.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::Call;
use sill_wire::claim::{BodyHash, ClaimKey};

use crate::flight::{Placement, RequestSpec};
use crate::transcript::Transcript;

/// A batch of requests for a peer to take over. The peer runs all requests that its reply lists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandOff {
    /// The entry instance that is leaving.
    pub from: Name,
    /// The requests to take over.
    pub runs: Vec<HandOffRun>,
}

/// One request to take over, with all that is needed to continue it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandOffRun {
    /// The request and its terms. In the message its deadline is the time left.
    pub spec: RequestSpec,
    /// The client account that sent the request.
    pub account: Name,
    /// The key by which the caller can fetch the answer from the peer.
    pub key: ClaimKey,
    /// Hash of method, path and body; a caller that presents the key with another hash is refused.
    pub body_hash: BodyHash,
    /// The HTTP path of the request.
    pub path: String,
    /// The model that answers the request.
    pub model: Name,
    /// The request body to send to the endpoint.
    pub body: String,
    /// The part of the answer that was sent to the caller.
    pub transcript: Transcript,
    /// The endpoint that ran the request at the hand-off, if any.
    #[serde(rename = "from")]
    pub placement: Option<Placement>,
}

/// The reply to a [`HandOff`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOffReply {
    /// Ids of the requests that the peer runs now.
    #[serde(rename = "taken")]
    pub accepted: Vec<Name>,
}

impl Call for HandOff {
    type Reply = HandOffReply;

    const METHOD: &'static str = "hand_off";
}

impl HandOffRun {
    /// Replaces the deadline by the time left, since the clocks of two instances differ.
    pub fn with_relative_deadline(mut self, now: Millis) -> Self {
        self.spec.deadline = self.spec.deadline - now;
        self
    }

    /// Replaces the time left by a deadline on the clock of the instance that takes the request
    /// over.
    pub fn with_absolute_deadline(mut self, now: Millis) -> Self {
        self.spec.deadline = self.spec.deadline + now;
        self
    }
}
