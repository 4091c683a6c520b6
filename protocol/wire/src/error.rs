//! The one shape of error answers.

use serde::{Deserialize, Serialize};
use sill_base::{Finding, Name};

/// A short code that programs can act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body or a header is wrong.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorized,
    /// The key may not do this.
    Forbidden,
    /// No such path, model or service.
    NotFound,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The request was sent once, and nobody knows what came of it.
    OutcomeUnknown,
    /// The same keyed request is still running elsewhere.
    InProgress,
    /// The body is larger than the limit.
    TooLarge,
    /// The client account is over its limit.
    LimitReached,
    /// No endpoint can take the request now.
    NoCapacity,
    /// The deadline can't be met.
    DeadlineUnmeetable,
    /// No quorum of control instances can be reached, and the request must not be run without.
    NoQuorum,
    /// The instance is stopping.
    Stopping,
    /// The endpoint failed and the request could not be run elsewhere.
    UpstreamFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// A fault of the system itself.
    Internal,
}

/// The body of every error answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The one member.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// For programs.
    pub code: ErrorCode,
    /// For people.
    pub message: String,
    /// The request.
    pub request_id: Name,
    /// Whether it is certain that no byte of the request has left for an endpoint.
    pub not_run: bool,
    /// All findings of a bad request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
}

impl ErrorCode {
    /// Returns the HTTP status code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::KeyReused | Self::OutcomeUnknown | Self::InProgress => 409,
            Self::TooLarge => 413,
            Self::LimitReached => 429,
            Self::Internal => 500,
            Self::UpstreamFailed => 502,
            Self::NoCapacity | Self::DeadlineUnmeetable | Self::NoQuorum | Self::Stopping => 503,
            Self::DeadlinePassed => 504,
        }
    }
}
