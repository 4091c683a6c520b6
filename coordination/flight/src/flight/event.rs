//! Events that the request state machine receives, and actions that it returns.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::claim::{BodyHash, ClaimAsk, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict};
use sill_wire::{Incarnation, Software};

use crate::lifecycle::{NotRunRefusal, RequestFailure};

/// A request and the terms under which it runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// The request's id.
    pub request: Name,
    /// The kind of service that answers it.
    pub kind: ServiceKind,
    /// Whether it may run more than once.
    #[serde(rename = "idempotent")]
    pub is_idempotent: bool,
    /// The claim that must be granted before it is sent.
    pub claim: Option<ClaimSpec>,
    /// Whether it keeps running after its caller disconnects, since the caller can fetch the answer
    /// later by its key.
    #[serde(rename = "keyed")]
    pub is_keyed: bool,
    /// When the answer must be complete, on the clock of the entry instance.
    pub deadline: Millis,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
}

/// The kind of service that answers a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// A model; its answer can be resumed at any token.
    Model,
    /// A plain service; its answer arrives complete or not at all, and can't be resumed.
    Plain,
}

/// The claim on an idempotency key that a request needs before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSpec {
    /// The idempotency key.
    pub key: ClaimKey,
    /// Hash of method, path and body; a resend with another hash is refused.
    pub body: BodyHash,
    /// The entry instance and request that would own the claim.
    pub owner: ClaimOwner,
    /// How long the claim is kept after it was granted.
    pub retention: Millis,
}

/// The endpoint that the router chose for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The endpoint's name.
    pub endpoint: Name,
    /// The incarnation that was chosen; a restarted endpoint has another one.
    pub incarnation: Incarnation,
    /// The address at which it accepts requests, `IP:PORT`.
    pub address: Name,
    /// Estimated number of prompt tokens in its prefix cache.
    pub cached_tokens: u64,
    /// The version of its software.
    #[serde(default, skip_serializing_if = "Software::is_unnamed")]
    pub software: Software,
}

/// The number of an attempt, counted from 1 for each request.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u32);

/// An event that the state machine of a request handles.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The client account is within its limit.
    Admitted,
    /// The client account is over its limit.
    #[serde(rename = "Limited")]
    LimitExceeded {
        /// When the caller may retry.
        retry_after: Millis,
    },
    /// The claims' log answered an [`Action::TakeClaim`].
    Claimed(ClaimVerdict),
    /// The router chose an endpoint.
    Routed(Placement),
    /// The router has no endpoint for the request now.
    NoRoute {
        /// Whether the reason is that no endpoint can meet the deadline.
        deadline: bool,
        /// When the caller may retry.
        retry_after: Millis,
    },
    /// The endpoint accepted no connection, so no byte of this attempt was sent.
    ConnectFailed {
        /// The attempt.
        epoch: Epoch,
    },
    /// The endpoint answered with an error status.
    Rejected {
        /// The attempt.
        epoch: Epoch,
        /// The status code.
        status: u16,
    },
    /// A token of the answer arrived.
    Token {
        /// The attempt.
        epoch: Epoch,
        /// The token's index in the answer, from 0.
        index: u32,
    },
    /// The end marker of the answer arrived.
    Done {
        /// The attempt.
        epoch: Epoch,
        /// Number of tokens of the complete answer, if the endpoint reported it.
        tokens: Option<u32>,
    },
    /// The answer ended without its end marker.
    #[serde(rename = "Cut")]
    StreamCut {
        /// The attempt.
        epoch: Epoch,
    },
    /// An endpoint received a reclaim notice.
    #[serde(rename = "Leaving")]
    EndpointLeaving {
        /// The endpoint.
        endpoint: Name,
        /// The incarnation that is leaving.
        incarnation: Incarnation,
        /// Time until the endpoint is gone.
        #[serde(rename = "left")]
        time_left: Millis,
    },
    /// The caller's connection was closed or lost.
    #[serde(rename = "CallerGone")]
    CallerDisconnected,
    /// This instance takes the request over from another entry instance.
    TakenOver {
        /// The endpoint that ran it, if one did at the hand-off.
        from: Option<Placement>,
    },
    /// The time of [`InFlightRequest::wake_at`](super::InFlightRequest::wake_at) has passed.
    Tick,
}

/// An action for the driver of the state machine to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the claim to the claims' log, and return its verdict as [`Event::Claimed`].
    TakeClaim(ClaimAsk),
    /// Send the outcome or release of the claim to the claims' log, and retry until it is
    /// acknowledged.
    SettleClaim(ClaimAsk),
    /// Choose an endpoint, and return it as [`Event::Routed`] or [`Event::NoRoute`].
    Route {
        /// Endpoints to leave out.
        exclude: Vec<Name>,
        /// Number of tokens to prefill, if none is in a prefix cache.
        prompt_tokens: u64,
        /// Maximum number of tokens still to generate.
        max_tokens: u32,
        /// The version that has to generate them, if the caller has tokens already.
        software: Option<Software>,
    },
    /// Send the request to an endpoint.
    Dispatch {
        /// The attempt.
        epoch: Epoch,
        /// The endpoint to send to.
        placement: Placement,
        /// Where the attempt continues; none if it starts from the beginning.
        resume: Option<ResumePoint>,
    },
    /// Stop reading the stream of an attempt, and cancel it at its endpoint.
    Cancel {
        /// The attempt.
        epoch: Epoch,
    },
    /// Record that an endpoint no longer runs the request.
    ReleaseEndpoint {
        /// The endpoint.
        endpoint: Name,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// Forward the token of the current event to the caller.
    ForwardToken,
    /// Drop the chunk of the current event.
    Drop(DropReason),
    /// Count tokens that are recomputed.
    CountRecomputed {
        /// Why they are recomputed.
        cause: RecomputeCause,
        /// Number of tokens, by the estimate of what the endpoint has in its prefix cache.
        tokens: u64,
    },
    /// Attach the caller to the request that holds the key, or answer that its outcome is unknown.
    Attach {
        /// The owner of the claim.
        owner: ClaimOwner,
        /// The recorded outcome, if the request has ended.
        outcome: Option<ClaimOutcome>,
    },
    /// End the answer to the caller; it is complete.
    Finish,
    /// Forward the endpoint's error response to the caller.
    ForwardError,
    /// Refuse the request, and certify that it was not run.
    Refuse(NotRunRefusal),
    /// Fail the request; whether it was run is unknown to the caller.
    Fail(RequestFailure),
    /// Drop the request, since its caller has disconnected.
    Abandon,
}

/// Where an attempt continues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// Index of the first token to generate.
    #[serde(rename = "next")]
    pub next_index: u32,
    /// The endpoint from which to import exported KV cache.
    #[serde(rename = "kv_from")]
    pub kv_source: Option<Placement>,
    /// Whether the endpoint must refuse rather than recompute tokens; set for requests that are not
    /// idempotent.
    #[serde(rename = "same_run")]
    pub is_same_run: bool,
}

/// How an attempt ended at its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The complete answer arrived, or an error response that is forwarded to the caller.
    Finished,
    /// The attempt was cancelled: the request was moved, the stream stalled or lost tokens, or the
    /// answer is no longer needed.
    Cancelled,
    /// The endpoint refused the connection, cut the stream or returned an error.
    Failed,
}

/// Why a chunk was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// It belongs to an earlier attempt.
    StaleAttempt,
    /// The caller already has this token.
    DuplicateToken,
}

/// Why tokens are recomputed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecomputeCause {
    /// The endpoint received a reclaim notice.
    Reclaim,
    /// The endpoint's stream ended without its end marker.
    Cut,
    /// The endpoint sent no token within the timeout.
    Stalled,
    /// Tokens were missing from the endpoint's answer.
    Gap,
    /// The endpoint answered with an error status.
    Rejected,
    /// Another entry instance handed the request over.
    HandOff,
    /// The home instance of the key was lost, so a keyed request may have run twice.
    HomeLost,
}

impl RecomputeCause {
    /// Every cause, in the order of the variants.
    pub const ALL: [Self; 7] = [
        Self::Reclaim,
        Self::Cut,
        Self::Stalled,
        Self::Gap,
        Self::Rejected,
        Self::HandOff,
        Self::HomeLost,
    ];

    /// Returns the name used in metrics and the journal.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Reclaim => "reclaim",
            Self::Cut => "cut",
            Self::Stalled => "stalled",
            Self::Gap => "gap",
            Self::Rejected => "rejected",
            Self::HandOff => "hand_off",
            Self::HomeLost => "home_lost",
        }
    }
}
