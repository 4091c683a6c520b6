//! Claims: exclusive rights to send a non-idempotent request, granted once per key.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;

/// Identifies a request with an idempotency key, within its client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: Name,
    /// The value of the caller's `Idempotency-Key` header.
    pub key: Name,
}

/// A hash of a request's method, path and body, in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyHash(pub Name);

/// The holder of a claim; another incarnation of the same entry instance is another owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimOwner {
    /// The entry instance.
    pub entry: Name,
    /// The entry instance's incarnation.
    pub incarnation: Incarnation,
    /// The id of the request that the claim was granted to.
    pub request: Name,
}

/// An operation on the replicated log of claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum ClaimAsk {
    /// Acquires the claim, unless the key is already claimed.
    Take {
        /// The key to claim.
        key: ClaimKey,
        /// The hash of the request's content.
        body: BodyHash,
        /// The owner if the claim is granted.
        owner: ClaimOwner,
        /// How long the claim is kept after it was granted.
        retention: Millis,
    },
    /// Records the outcome, so that a repeated request gets the same answer.
    Finish {
        /// The claimed key.
        key: ClaimKey,
        /// The claim's owner.
        owner: ClaimOwner,
        /// The outcome of the request.
        outcome: ClaimOutcome,
    },
    /// Releases a claim whose request was certainly not sent.
    Release {
        /// The claimed key.
        key: ClaimKey,
        /// The claim's owner.
        owner: ClaimOwner,
    },
}

/// The outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The request was answered; a small answer is kept for repeated requests.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The body, if it was small enough to keep.
        body: Option<String>,
    },
    /// The request was sent, and its outcome can't be determined.
    Unknown,
}

/// The result of a [`ClaimAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The requesting owner holds the claim and may send the request, once.
    Granted,
    /// The outcome was recorded, or the claim released.
    Done,
    /// The key is already claimed for a request with the same content.
    Taken {
        /// The claim's owner.
        owner: ClaimOwner,
        /// The outcome, if it has been recorded.
        outcome: Option<ClaimOutcome>,
    },
    /// The key is already claimed for a request with different content.
    BodyMismatch,
    /// No quorum was reached; the claim may or may not have been granted to this same owner.
    Unavailable,
}

/// A batch of claim operations, sent to any control instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The operations; the reply has one verdict for each, in this order.
    pub asks: Vec<ClaimAsk>,
}

/// The verdicts of a [`ClaimBatch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// One verdict for each operation of the batch, in its order.
    pub verdicts: Vec<ClaimVerdict>,
}

impl Call for ClaimBatch {
    type Reply = ClaimReply;

    const METHOD: &'static str = "claim_batch";
}
