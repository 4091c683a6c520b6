//! Crashes of endpoints, and the requests that were running there.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::prompt_part::{PartId, SharedParts};
use crate::request_key::RequestKey;

/// The crash of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// The endpoint.
    pub endpoint: Name,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// Requests that had not been answered completely, from one or more entry instances.
    pub requests: Vec<RequestKey>,
    /// Prompts of those requests that the endpoint had just begun to answer, or had not begun; each
    /// once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prompts: Vec<SharedParts>,
    /// Time since the crash.
    pub age: Millis,
    /// Whether it is concluded from the endpoint's silence alone. The endpoint may return.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_presumed: bool,
}

/// A request that an endpoint has answered completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedRequest {
    /// The request.
    pub request: RequestKey,
    /// Time since the end of the answer.
    pub age: Millis,
}

/// A part of a prompt that an endpoint has answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredPart {
    /// The part.
    pub part: PartId,
    /// Time since the answer.
    pub age: Millis,
}

/// Crashes, and answers to requests that had been running during one.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Crashes of endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<EndpointCrash>,
    /// Complete answers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub completed: Vec<CompletedRequest>,
    /// Answers to prompts with parts that had been in a crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<AnsweredPart>,
}

impl CrashUpdate {
    /// Returns whether it contains nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completed.is_empty() && self.answered.is_empty()
    }
}
