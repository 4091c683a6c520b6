//! What a request's machine hears, and what it wants done.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::Incarnation;
use sill_wire::claim::{BodyHash, ClaimAsk, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict};

use crate::life::{Failed, NotRun};

/// What is asked for, and under which terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// The request.
    pub request: Name,
    /// What serves it.
    pub kind: Kind,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// The claim that it needs before it is sent.
    pub claim: Option<Claimant>,
    /// Whether it runs on when its caller goes away, because the caller can come back for it.
    pub keyed: bool,
    /// When the whole answer has to be there.
    pub deadline: Millis,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer at most.
    pub max_tokens: u32,
}

/// What serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A model; its answer can be resumed at any token.
    Model,
    /// A plain service; its answer comes whole or not at all.
    Plain,
}

/// A claim to be taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
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
pub struct Place {
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
    Limited {
        /// When to come back.
        retry_after: Millis,
    },
    /// The claims' log answered.
    Claimed(ClaimVerdict),
    /// The router chose an endpoint.
    Routed(Place),
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
    Cut {
        /// The attempt.
        epoch: Epoch,
    },
    /// An endpoint was given notice.
    Leaving {
        /// The endpoint.
        endpoint: Name,
        /// Its life.
        incarnation: Incarnation,
        /// Time left.
        left: Millis,
    },
    /// The caller's connection is gone.
    CallerGone,
    /// This instance takes the request over from another one.
    TakenOver {
        /// The endpoint that ran it.
        from: Option<Place>,
    },
    /// Time went by.
    Tick,
}

/// What has to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the claims' log, and hand its verdict back as [`Event::Claimed`].
    Claim(ClaimAsk),
    /// Tell the claims' log, until it has heard.
    Settle(ClaimAsk),
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
        place: Place,
        /// Where to go on, if tokens were sent to the caller.
        resume: Option<ResumeAt>,
    },
    /// Stop reading an attempt, and let its endpoint know.
    Cancel {
        /// The attempt.
        epoch: Epoch,
    },
    /// An endpoint is no longer busy with the request.
    Ended {
        /// The endpoint.
        endpoint: Name,
        /// How it ended there.
        how: Ending,
    },
    /// Send the token that just came to the caller.
    Forward,
    /// Drop what just came.
    Drop(Dropped),
    /// Count tokens that are computed again.
    Recomputed {
        /// Why.
        cause: Cause,
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
    PassOn,
    /// Refuse the request, certified as not run.
    Refuse(NotRun),
    /// Give the request up.
    Fail(Failed),
    /// Nobody waits for the answer any more.
    Abandon,
}

/// Where an attempt goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeAt {
    /// The index of the first token that is wanted.
    pub next: u32,
    /// Exported KV cache to import.
    pub kv_from: Option<Place>,
    /// Whether the endpoint must refuse rather than compute anything again.
    pub same_run: bool,
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ending {
    /// The whole answer came.
    Finished,
    /// It was moved or is no longer wanted.
    Cancelled,
    /// The endpoint failed.
    Failed,
}

/// Why something that came was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Dropped {
    /// It belongs to an abandoned attempt.
    Late,
    /// The caller has this token already.
    Repeat,
}

/// Why tokens are computed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
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

impl Cause {
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
