//! What entry instances ask each other about requests that run.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::call::Call;
use crate::claim::{BodyHash, ClaimKey};
use crate::error::ErrorCode;

/// Where a keyed request runs or has run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLocation {
    /// The entry instance's peer address, `IP:PORT`.
    pub address: Name,
    /// The request.
    pub request: Name,
}

/// What the home of a key says of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "located", rename_all = "snake_case")]
pub enum LocateReply {
    /// Nobody runs it; the asker is noted as the one who does.
    New,
    /// It runs or ran there.
    At(RunLocation),
    /// The key was used with another body.
    BodyMismatch,
}

/// Asks the home of a key where its request runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateRun {
    /// The key.
    pub key: ClaimKey,
    /// The content.
    pub body: BodyHash,
    /// Where the asker would run it.
    pub asker: RunLocation,
    /// Whether the asker runs it already, so that the home only takes note.
    #[serde(rename = "runs", default)]
    pub is_running: bool,
}

/// Takes back what the home noted, after a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForgetRun {
    /// The key.
    pub key: ClaimKey,
    /// Where it would have run.
    pub run: RunLocation,
}

/// Asks for what came of a request since a token; waits for more where it runs still.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRun {
    /// The key.
    pub key: ClaimKey,
    /// The first token that is wanted.
    pub from: u32,
    /// How long to wait for more.
    pub wait: Millis,
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "run", rename_all = "snake_case")]
pub enum FollowReply {
    /// It is not known here.
    Unknown,
    /// More of a model's answer.
    More(AnswerPart),
    /// The whole answer of a plain service, or an endpoint's error answer.
    Reply(HttpReply),
    /// It was given up.
    Failed(FailedRun),
    /// It runs at another entry instance.
    Moved {
        /// Its peer address, `IP:PORT`.
        address: Name,
    },
}

/// A part of a model's answer.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPart {
    /// The completion's id.
    pub id: Option<String>,
    /// The completion's time.
    pub created: u64,
    /// The texts of the tokens from the one that was asked for, as in JSON between the quotes.
    pub escaped: Vec<String>,
    /// Why the answer ended, once it did.
    pub finish: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Whether the answer is whole with these tokens.
    pub whole: bool,
}

/// A whole HTTP answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// Headers that concern the caller.
    pub headers: Vec<ReplyHeader>,
    /// The body.
    pub body: ReplyBody,
}

/// A header that is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHeader {
    /// Its name in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// The body of a whole HTTP answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyBody {
    /// Text.
    Text(String),
    /// Anything else.
    Bytes(Vec<u8>),
}

/// How a request failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRun {
    /// For programs.
    pub code: ErrorCode,
    /// For people.
    pub message: String,
    /// When to come back.
    pub retry_after: Option<Millis>,
}

impl HttpReply {
    /// Makes a JSON answer.
    pub fn json(status: u16, body: String) -> Self {
        let headers = vec![ReplyHeader::new("content-type", "application/json")];
        Self { status, headers, body: ReplyBody::Text(body) }
    }
}

impl ReplyHeader {
    /// Makes a header.
    pub fn new(name: &str, value: &str) -> Self {
        Self { name: name.to_owned(), value: value.to_owned() }
    }
}

impl ReplyBody {
    /// Makes a body of any bytes.
    pub fn new(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Bytes(bytes.to_vec()),
        }
    }

    /// Returns the bytes.
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
