//! What a request's machine hears, and what it wants done.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::Incarnation;
use sill_wire::claim::{BodyHash, ClaimAsk, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict};

use crate::lifecycle::{NotRunRefusal, RequestFailure};

/// What is asked for, and under which terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// The request.
    pub request: Name,
    /// What serves it.
    pub kind: ServiceKind,
    /// Whether it may be run more than once.
    #[serde(rename = "idempotent")]
    pub is_idempotent: bool,
    /// The claim that it needs before it is sent.
    pub claim: Option<ClaimSpec>,
    /// Whether it runs on when its caller goes away, because the caller can come back for it.
    #[serde(rename = "keyed")]
    pub is_keyed: bool,
    /// When the whole answer has to be there.
    pub deadline: Millis,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer at most.
    pub max_tokens: u32,
}

/// What serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// A model; its answer can be resumed at any token.
    Model,
    /// A plain service; its answer comes whole or not at all.
    Plain,
}

/// A claim to be taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSpec {
    /// The key.
    pub key: ClaimKey,
    /// The content.
    pub body: BodyHash,
    /// Who would own it.
    pub owner: ClaimOwner,
    /// How long it is kept.
    pub retention: Millis,
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it takes requests, `IP:PORT`.
    pub address: Name,
    /// Prompt tokens that it is thought to hold already.
    pub cached_tokens: u64,
}

/// Numbers the attempts of a request, from 1.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u32);

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The account is within its limit.
    Admitted,
    /// The account is over its limit.
    #[serde(rename = "Limited")]
    LimitExceeded {
        /// When to come back.
        retry_after: Millis,
    },
    /// The claims' log answered.
    Claimed(ClaimVerdict),
    /// The router chose an endpoint.
    Routed(Placement),
    /// The router has none now.
    NoRoute {
        /// Whether the deadline is the reason.
        deadline: bool,
        /// When to come back.
        retry_after: Millis,
    },
    /// The endpoint took no connection, so that no byte of this attempt left.
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
    /// A token of the answer came.
    Token {
        /// The attempt.
        epoch: Epoch,
        /// Its index.
        index: u32,
    },
    /// The end marker came.
    Done {
        /// The attempt.
        epoch: Epoch,
        /// Tokens of the whole answer, where the endpoint counted them.
        tokens: Option<u32>,
    },
    /// The answer ended without its end marker.
    #[serde(rename = "Cut")]
    StreamCut {
        /// The attempt.
        epoch: Epoch,
    },
    /// An endpoint was given notice.
    #[serde(rename = "Leaving")]
    EndpointLeaving {
        /// The endpoint.
        endpoint: Name,
        /// Its life.
        incarnation: Incarnation,
        /// Time left.
        #[serde(rename = "left")]
        time_left: Millis,
    },
    /// The caller's connection is gone.
    #[serde(rename = "CallerGone")]
    CallerDisconnected,
    /// This instance takes the request over from another one.
    TakenOver {
        /// The endpoint that ran it.
        from: Option<Placement>,
    },
    /// Time went by.
    Tick,
}

/// What has to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the claims' log, and hand its verdict back as [`Event::Claimed`].
    TakeClaim(ClaimAsk),
    /// Tell the claims' log, until it has heard.
    SettleClaim(ClaimAsk),
    /// Choose an endpoint.
    Route {
        /// Endpoints that must not be chosen.
        exclude: Vec<Name>,
        /// Tokens to compute at most.
        prompt_tokens: u64,
        /// Tokens still wanted.
        max_tokens: u32,
    },
    /// Send the request.
    Dispatch {
        /// The attempt.
        epoch: Epoch,
        /// Where to.
        placement: Placement,
        /// Where to go on, if tokens were sent to the caller.
        resume: Option<ResumePoint>,
    },
    /// Stop reading an attempt, and let its endpoint know.
    Cancel {
        /// The attempt.
        epoch: Epoch,
    },
    /// An endpoint is no longer busy with the request.
    ReleaseEndpoint {
        /// The endpoint.
        endpoint: Name,
        /// How it ended there.
        outcome: AttemptOutcome,
    },
    /// Send the token that just came to the caller.
    ForwardToken,
    /// Drop what just came.
    Drop(DropReason),
    /// Count tokens that are computed again.
    CountRecomputed {
        /// Why.
        cause: RecomputeCause,
        /// How many, as far as this instance can tell.
        tokens: u64,
    },
    /// The key is taken: find its answer, or say that it is unknown.
    Attach {
        /// Who holds it.
        owner: ClaimOwner,
        /// What came of it.
        outcome: Option<ClaimOutcome>,
    },
    /// The answer is whole.
    Finish,
    /// Pass the endpoint's error answer on.
    ForwardError,
    /// Refuse the request, certified as not run.
    Refuse(NotRunRefusal),
    /// Give the request up.
    Fail(RequestFailure),
    /// Nobody waits for the answer any more.
    Abandon,
}

/// Where an attempt goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The index of the first token that is wanted.
    #[serde(rename = "next")]
    pub next_index: u32,
    /// Exported KV cache to import.
    #[serde(rename = "kv_from")]
    pub kv_source: Option<Placement>,
    /// Whether the endpoint must refuse rather than compute anything again.
    #[serde(rename = "same_run")]
    pub is_same_run: bool,
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Finished,
    /// It was moved or is no longer wanted.
    Cancelled,
    /// The endpoint failed.
    Failed,
}

/// Why something that came was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// It belongs to an abandoned attempt.
    StaleAttempt,
    /// The caller has this token already.
    DuplicateToken,
}

/// Why tokens are computed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecomputeCause {
    /// The endpoint was given notice.
    Reclaim,
    /// The endpoint's answer was cut.
    Cut,
    /// The endpoint fell silent.
    Stalled,
    /// Tokens were missing in the endpoint's answer.
    Gap,
    /// The endpoint answered with an error.
    Rejected,
    /// Another entry instance handed the request over.
    HandOff,
    /// The key's home was gone, so that a keyed request may have run twice.
    HomeLost,
}

impl RecomputeCause {
    /// Every cause.
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
