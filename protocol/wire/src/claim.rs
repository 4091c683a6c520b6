//! Claims: the right to send a non-idempotent request, given once.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;

/// Names one keyed request of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: Name,
    /// The caller's `Idempotency-Key`.
    pub key: Name,
}

/// A hash of method, path and body, in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyHash(pub Name);

/// The entry instance that holds a claim; another life of the same instance is another owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimOwner {
    /// The entry instance.
    pub entry: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// The request that was given the claim.
    pub request: Name,
}

/// What is asked of the claims' log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum ClaimAsk {
    /// Take the key, if nobody has it.
    Take {
        /// The key.
        key: ClaimKey,
        /// The request's content.
        body: BodyHash,
        /// Who would own it.
        owner: ClaimOwner,
        /// How long the claim is kept after it was taken.
        retention: Millis,
    },
    /// Note the outcome, so that a resent request gets the same answer.
    Finish {
        /// The key.
        key: ClaimKey,
        /// Who owns it.
        owner: ClaimOwner,
        /// What came of it.
        outcome: ClaimOutcome,
    },
    /// Give a claim back whose request was certainly not sent.
    Release {
        /// The key.
        key: ClaimKey,
        /// Who owns it.
        owner: ClaimOwner,
    },
}

/// What came of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// It was answered; a small answer is kept for resent requests.
    Answered {
        /// The status code.
        status: u16,
        /// The body, where it was small enough to keep.
        body: Option<String>,
    },
    /// It was sent, and nobody knows what came of it.
    Unknown,
}

/// The answer to a [`ClaimAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The asker owns the claim and may send, once.
    Granted,
    /// The ask was carried out.
    Done,
    /// The key is taken with the same content.
    Taken {
        /// Who owns it.
        owner: ClaimOwner,
        /// What came of it, where that is known.
        outcome: Option<ClaimOutcome>,
    },
    /// The key is taken with another content.
    BodyMismatch,
    /// No quorum was reached; the claim may or may not have been taken for this very owner.
    Unavailable,
}

/// A batch of asks to any control instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The asks; the reply has a verdict for each, in this order.
    pub asks: Vec<ClaimAsk>,
}

/// The verdicts of a [`ClaimBatch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// A verdict for each ask.
    pub verdicts: Vec<ClaimVerdict>,
}

impl Call for ClaimBatch {
    type Reply = ClaimReply;

    const METHOD: &'static str = "claim_batch";
}
