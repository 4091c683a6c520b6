//! The format of all error answers.

use serde::{Deserialize, Serialize};
use sill_base::{Finding, Name};

/// A short code that programs can act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The body or a header is invalid.
    BadRequest,
    /// The caller's key is missing or unknown.
    Unauthorized,
    /// The caller's key does not permit the request.
    Forbidden,
    /// The path, model or service does not exist.
    NotFound,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The request was sent once, and its outcome can't be determined.
    OutcomeUnknown,
    /// The request with the same idempotency key is still running elsewhere.
    InProgress,
    /// The body is larger than the limit.
    TooLarge,
    /// The client account is over its limit.
    LimitReached,
    /// No endpoint has capacity for the request at present.
    NoCapacity,
    /// Endpoints have crashed under this request, so it is not sent to any.
    RequestBlocked,
    /// No instance that was asked knows which software version began the stream that the request
    /// takes up.
    StreamUnknown,
    /// No endpoint of the software version that began the stream is available.
    VersionUnavailable,
    /// The deadline can't be met.
    DeadlineUnmeetable,
    /// No quorum of control instances can be reached, and the request must not run without one.
    NoQuorum,
    /// The instance is stopping.
    Stopping,
    /// The endpoint failed and the request could not be run elsewhere.
    UpstreamFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// An internal error of the system.
    Internal,
}

/// The body of every error answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error's details; the only member of the body.
    pub error: ErrorDetail,
}

/// The details of an error answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A code for programs.
    pub code: ErrorCode,
    /// A description for people.
    pub message: String,
    /// The id of the failed request.
    pub request_id: Name,
    /// Whether it is certain that no byte of the request was sent to an endpoint.
    pub not_run: bool,
    /// All findings of an invalid request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
}

impl ErrorCode {
    /// Returns the HTTP status code of answers with this error.
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
            Self::NoCapacity
            | Self::RequestBlocked
            | Self::StreamUnknown
            | Self::VersionUnavailable
            | Self::DeadlineUnmeetable
            | Self::NoQuorum
            | Self::Stopping => 503,
            Self::DeadlinePassed => 504,
        }
    }
}
