//! What an entry instance that is reclaimed gives to a peer: all that a request needs to go on.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::Call;
use sill_wire::claim::{BodyHash, ClaimKey};

use crate::flight::{Placement, RequestSpec};
use crate::transcript::Transcript;

/// Requests handed to a peer. A peer that answers has all that it names, and runs them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandOff {
    /// The entry instance that is leaving.
    pub from: Name,
    /// The requests.
    pub runs: Vec<HandOffRun>,
}

/// One request on its way to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandOffRun {
    /// What was asked for; its deadline is the time left.
    pub spec: RequestSpec,
    /// The client account.
    pub account: Name,
    /// The name by which its caller can come back for it.
    pub key: ClaimKey,
    /// The content.
    pub body_hash: BodyHash,
    /// The path that was called.
    pub path: String,
    /// The model.
    pub model: Name,
    /// The body for the endpoint.
    pub body: String,
    /// What its caller has.
    pub transcript: Transcript,
    /// The endpoint that ran it.
    #[serde(rename = "from")]
    pub placement: Option<Placement>,
}

/// The requests that the peer took over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOffReply {
    /// Their names.
    #[serde(rename = "taken")]
    pub accepted: Vec<Name>,
}

impl Call for HandOff {
    type Reply = HandOffReply;

    const METHOD: &'static str = "hand_off";
}

impl HandOffRun {
    /// Turns the deadline into the time left, since clocks of two instances differ.
    pub fn with_relative_deadline(mut self, now: Millis) -> Self {
        self.spec.deadline = self.spec.deadline - now;
        self
    }

    /// Turns the time left into a deadline on the clock of the instance that takes it over.
    pub fn with_absolute_deadline(mut self, now: Millis) -> Self {
        self.spec.deadline = self.spec.deadline + now;
        self
    }
}
