//! Calls between entry instances about running requests.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::call::Call;
use crate::claim::{BodyHash, ClaimKey};
use crate::error::ErrorCode;
use crate::software::Software;

/// The entry instance at which a request with an idempotency key runs or has run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLocation {
    /// The entry instance's peer address, `IP:PORT`.
    pub address: Name,
    /// The id of the request.
    pub request: Name,
}

/// The reply to a [`LocateRun`], from the home of the key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "located", rename_all = "snake_case")]
pub enum LocateReply {
    /// No entry instance runs the request; the home has recorded that the caller does.
    New,
    /// The request runs or ran at this entry instance.
    At(RunLocation),
    /// The key was used with another body.
    BodyMismatch,
}

/// Asks the home of a key, the entry instance that records it, where its request runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateRun {
    /// The key to look up.
    pub key: ClaimKey,
    /// The hash of the request's content.
    pub body: BodyHash,
    /// Where the caller would run the request.
    pub asker: RunLocation,
    /// Whether the caller runs the request already, so that the home only records it.
    #[serde(rename = "runs", default)]
    pub is_running: bool,
}

/// Removes the home's record of a request that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForgetRun {
    /// The key of the refused request.
    pub key: ClaimKey,
    /// Where the request would have run.
    pub run: RunLocation,
}

/// Asks for a request's answer from a given token on; blocks for more while the request is running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRun {
    /// The key of the request.
    pub key: ClaimKey,
    /// The index of the first token to return.
    pub from: u32,
    /// How long the call may block until more tokens exist.
    pub wait: Millis,
}

/// The reply to a [`FollowRun`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "run", rename_all = "snake_case")]
pub enum FollowReply {
    /// The called entry instance has no record of the request.
    Unknown,
    /// The next part of a model's answer.
    More(AnswerPart),
    /// The complete answer of a plain service, or an endpoint's error answer.
    Reply(HttpReply),
    /// The request failed.
    Failed(FailedRun),
    /// The request runs at another entry instance.
    Moved {
        /// That entry instance's peer address, `IP:PORT`.
        address: Name,
    },
}

/// A part of a model's answer.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPart {
    /// The completion's id.
    pub id: Option<String>,
    /// The completion's `created` time.
    pub created: u64,
    /// The texts of the tokens from the requested one on, escaped as JSON strings without the
    /// quotes.
    pub escaped: Vec<String>,
    /// The reason why the answer ended, once it has.
    pub finish: Option<String>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Option<u32>,
    /// Whether these tokens complete the answer.
    pub whole: bool,
    /// The software version that generated the first token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<Software>,
}

/// A complete HTTP answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpReply {
    /// The HTTP status code.
    pub status: u16,
    /// The headers that are forwarded to the caller.
    pub headers: Vec<ReplyHeader>,
    /// The complete body.
    pub body: ReplyBody,
}

/// A response header that is forwarded to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHeader {
    /// The header's name in lower case.
    pub name: String,
    /// The header's value.
    pub value: String,
}

/// The body of a complete HTTP answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyBody {
    /// A body that is valid UTF-8.
    Text(String),
    /// Any other body.
    Bytes(Vec<u8>),
}

/// The error of a failed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRun {
    /// A code for programs.
    pub code: ErrorCode,
    /// A description for people.
    pub message: String,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Millis>,
}

impl HttpReply {
    /// Creates an answer with a JSON body.
    pub fn json(status: u16, body: String) -> Self {
        let headers = vec![ReplyHeader::new("content-type", "application/json")];
        Self { status, headers, body: ReplyBody::Text(body) }
    }
}

impl ReplyHeader {
    /// Creates a header; `name` must be in lower case.
    pub fn new(name: &str, value: &str) -> Self {
        Self { name: name.to_owned(), value: value.to_owned() }
    }
}

impl ReplyBody {
    /// Creates a body: text if the bytes are valid UTF-8, raw bytes otherwise.
    pub fn new(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Bytes(bytes.to_vec()),
        }
    }

    /// Returns the bytes of the body.
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            Self::Text(text) => text.as_bytes(),
            Self::Bytes(bytes) => bytes,
        }
    }
}

impl Call for LocateRun {
    type Reply = LocateReply;

    const METHOD: &'static str = "locate_run";
}

impl Call for ForgetRun {
    type Reply = ();

    const METHOD: &'static str = "forget_run";
}

impl Call for FollowRun {
    type Reply = FollowReply;

    const METHOD: &'static str = "follow_run";
}
