//! How calls and answers carry what the entry instance needs to know.

use std::fmt::Debug;
use std::net::SocketAddr;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use sill_base::{Millis, Name};
use sill_dispatch::Prompt;

use crate::failure::Failure;

/// What a call says of itself, decoded once.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct CallHead {
    /// The caller's name for this attempt; empty if it gave none.
    pub attempt: Name,
    /// The host that it asks for.
    pub host: Name,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// The caller's key.
    pub key: Option<Name>,
    /// What is known of its prompt; none for a call without one.
    pub prompt: Option<Prompt>,
}

/// What goes along to an endpoint.
#[derive(Debug, Clone)]
pub struct Forward<'a> {
    /// The time that is left.
    pub time_left: Millis,
    /// The endpoint that is meant.
    pub endpoint: &'a Name,
    /// The caller's account.
    pub account: Option<&'a Name>,
    /// Its rank; 0 goes first.
    pub urgency: u8,
    /// The last event that the caller has, if a stream is resumed.
    pub last_event: Option<&'a str>,
    /// Where the memory of the run comes from, if it was moved.
    pub memory: Option<&'a MovedMemory>,
}

/// The memory of a run that an engine has stopped, copied to another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovedMemory {
    /// The engine that ran it.
    pub source: SocketAddr,
    /// Names the memory there.
    pub handle: Name,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClass {
    /// It is the endpoint's answer to this call.
    Answer,
    /// The endpoint failed at the call.
    Failed,
    /// The endpoint is full and has not run the call.
    Full,
    /// The endpoint has not run the call for another reason.
    NotRun,
    /// The address is another endpoint's, which has not run the call.
    WrongEndpoint,
    /// It is no proper answer to this call.
    Improper,
}

/// The load that an endpoint reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// A way of writing all this in headers.
pub trait Dialect: Debug + Send + Sync {
    /// Reads what a call says.
    fn read(&self, parts: &Parts) -> CallHead;

    /// Turns a caller's headers into those for an endpoint.
    fn forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Reads the head of an answer to the attempt.
    fn classify(&self, attempt: &Name, status: StatusCode, headers: &HeaderMap) -> AnswerClass;

    /// Reads the load that comes with an answer.
    fn load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// Makes the request that has an engine copy the memory of a run to another engine, or what is new
    /// of it since the last time, and stop the run if it is to; none where engines can't.
    fn copy_run(
        &self,
        _attempt: &Name,
        _to: SocketAddr,
        _stop_run: bool,
    ) -> Option<Request<Full<Bytes>>> {
        None
    }

    /// Reads the name of the memory out of the answer to it.
    fn memory_handle(&self, _status: StatusCode, _body: &[u8]) -> Option<Name> {
        None
    }

    /// Writes what callers are to know of a failure of ours.
    fn failure(&self, headers: &mut HeaderMap, failure: &Failure);
}

/// Returns the text of a header.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Names and numbers of ours are always fit for a header.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
