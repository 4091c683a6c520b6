//! How calls and answers encode what the entry instance needs for routing.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::SystemTime;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use sill_base::{Millis, Name};
use sill_dispatch::Prompt;
use sill_wire::link::is_valid_pace;

use crate::failure::Failure;

/// The routing information of a call, decoded once from its head.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct CallHead {
    /// The caller's id of this attempt; empty if the caller sent none.
    pub attempt: Name,
    /// The requested host, possibly with a port.
    pub host: Name,
    /// How long the caller waits for the complete answer.
    pub deadline: Option<Millis>,
    /// The caller's API key.
    pub key: Option<Name>,
    /// The size and prefix of the prompt; none for a call without a prompt.
    pub prompt: Option<Prompt>,
    /// The id of the last event that the caller received of the stream that it takes up.
    pub last_event: Option<Name>,
    /// The caller's id of the attempt that brought the first event of the stream that it takes up.
    pub resumes: Option<Name>,
}

/// What an endpoint is sent along with a call.
#[derive(Debug, Clone)]
pub struct Forward<'a> {
    /// The time until the call's deadline.
    pub time_left: Millis,
    /// The endpoint that the call is addressed to; any other refuses it.
    pub endpoint: &'a Name,
    /// The caller's client account.
    pub account: Option<&'a Name>,
    /// The call's priority rank; 0 is served first.
    pub urgency: u8,
    /// The id of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<&'a str>,
    /// The source of the run's KV cache, if the run was migrated.
    pub memory: Option<&'a MigratedMemory>,
}

/// The KV cache of a stopped run that was copied to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MigratedMemory {
    /// The engine on which the run was started.
    pub source: SocketAddr,
    /// The handle of the KV cache at the source engine.
    pub handle: Name,
}

/// The class of an endpoint's answer, by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClass {
    /// The endpoint's own answer to this call.
    Answer,
    /// The endpoint failed to process the call.
    Failed,
    /// The endpoint is at capacity and has not run the call.
    Full,
    /// The endpoint has not run the call for another reason.
    NotRun,
    /// The address now belongs to another endpoint, which has not run the call.
    WrongEndpoint,
    /// The answer is malformed or belongs to another call.
    Improper,
}

/// The load that an endpoint reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of requests that it runs concurrently.
    pub slots: Option<u32>,
    /// How long work currently takes on its machine, in percent of the usual time.
    pub pace: Option<u32>,
}

/// What an answer says of the endpoint's load.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The figures that make sense; none if the endpoint reported none.
    pub load: Option<ReportedLoad>,
    /// The text that the endpoint sent, if any of its figures makes no sense.
    pub invalid: Option<String>,
}

/// A limit on requests that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidLimit(
    /// What the endpoint named.
    pub String,
);

/// A requested pause that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidPause(
    /// The beginning of what the endpoint sent.
    pub String,
);

/// Encodes and decodes routing information in HTTP headers.
pub trait Dialect: Debug + Send + Sync {
    /// Decodes the head of a call.
    fn read(&self, parts: &Parts) -> CallHead;

    /// Turns a caller's headers into the headers for an endpoint.
    fn forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>);

    /// Classifies the answer to an attempt by its status and headers.
    fn classify(&self, attempt: &Name, status: StatusCode, headers: &HeaderMap) -> AnswerClass;

    /// Returns the load that the endpoint reported with an answer. Figures that make no sense count
    /// as not reported.
    fn load(&self, headers: &HeaderMap) -> LoadReport;

    /// Returns how many requests the endpoint may reject in a second, if it says with the answer that
    /// it ends when it has to reject more.
    fn rejection_bound(&self, headers: &HeaderMap) -> Option<u32>;

    /// Returns the requests per second that the endpoint takes from all entry instances together, if it
    /// names such a limit with the answer.
    ///
    /// # Errors
    ///
    /// Fails if what it names makes no sense as a limit.
    fn request_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, InvalidLimit>;

    /// Returns whether the endpoint says with an answer that it leaves.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns for how long the endpoint, which rejects a request with this answer, wants no other from
    /// this entry instance; none if it asks for no pause.
    ///
    /// # Errors
    ///
    /// Fails if what it asks for makes no sense.
    fn requested_pause(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<Millis>, InvalidPause> {
        match status {
            StatusCode::SERVICE_UNAVAILABLE => requested_pause(headers),
            _ => Ok(None),
        }
    }

    /// Builds a request that no endpoint runs, and to which each replies at once, for the path `path`.
    fn ping(&self, path: &str, time_left: Millis) -> Option<Request<Full<Bytes>>>;

    /// Returns whether an endpoint has sent a reply to a ping, rather than a proxy whose endpoint has ended.
    fn is_ping_reply(&self, status: StatusCode, headers: &HeaderMap) -> bool;

    /// Builds the request by which an engine copies a run's KV cache to another engine, or what was
    /// added since the last copy. With `stop_run` the engine stops the run first. Returns none if
    /// engines don't support it.
    fn copy_run(
        &self,
        _attempt: &Name,
        _to: SocketAddr,
        _stop_run: bool,
    ) -> Option<Request<Full<Bytes>>> {
        None
    }

    /// Returns the handle of the copied KV cache from the answer to [`Dialect::copy_run`].
    fn memory_handle(&self, _status: StatusCode, _body: &[u8]) -> Option<Name> {
        None
    }

    /// Writes the headers that describe a failure of the entry instance to the caller.
    fn failure(&self, headers: &mut HeaderMap, failure: &Failure);
}

/// Builds a request without a body for an endpoint.
pub fn get(path: &str, host: &str) -> Option<Request<Full<Bytes>>> {
    Request::get(path).header(header::HOST, host).body(Full::default()).ok()
}

/// Returns the value of a header, if it is present and valid text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header, replacing earlier values. A value that is not valid in a header is left out.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Names and numbers of the system are always valid in a header.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the limit on requests per second that a header names.
///
/// # Errors
///
/// Fails if the header is there twice, or isn't a positive decimal number within reason.
pub fn request_limit(headers: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, InvalidLimit> {
    const MAX_PER_S: f64 = 1e6;
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().unwrap_or_default().trim();
    let is_decimal = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    let limit = text.parse::<f64>().ok().filter(|limit| *limit > 0.0 && *limit <= MAX_PER_S);
    match limit {
        Some(limit) if is_decimal && values.next().is_none() => Ok(Some(limit)),
        _ => Err(InvalidLimit(values_text(headers, name))),
    }
}

/// Returns the longest pause that the headers of an answer ask for.
///
/// # Errors
///
/// Fails if there are such headers and none is a decimal number of seconds within reason or a date.
fn requested_pause(headers: &HeaderMap) -> Result<Option<Millis>, InvalidPause> {
    const MAX_LOGGED_BYTES: usize = 80;
    let values = headers.get_all(header::RETRY_AFTER);
    let now = || text(headers, &header::DATE).and_then(|date| httpdate::parse_http_date(date).ok());
    let pauses = values.iter().filter_map(|value| {
        let text = value.to_str().ok()?.trim();
        seconds(text).or_else(|| {
            let end = httpdate::parse_http_date(text).ok()?;
            let now = now().unwrap_or_else(SystemTime::now);
            let pause = end.duration_since(now).unwrap_or_default();
            Some(Millis(pause.as_millis() as u64))
        })
    });
    match pauses.max() {
        Some(pause) => Ok(Some(pause).filter(|pause| *pause > Millis::ZERO)),
        None if values.iter().next().is_none() => Ok(None),
        None => {
            let text = values_text(headers, &header::RETRY_AFTER);
            Err(InvalidPause(text.chars().take(MAX_LOGGED_BYTES).collect()))
        }
    }
}

/// Returns a time that is written as a decimal number of seconds without sign or exponent.
fn seconds(text: &str) -> Option<Millis> {
    const MAX_S: f64 = 1e9;
    if !text.chars().all(|c| c.is_ascii_digit() || c == '.') {
        return None;
    }
    let seconds = text.parse::<f64>().ok().filter(|seconds| *seconds <= MAX_S)?;
    Some(Millis((seconds * 1000.0).ceil() as u64))
}

/// Returns the load that a header reports as `running,queued`, optionally followed by the number of
/// slots and the pace.
///
/// A pace that makes no sense is left out, and the other figures stand: without them the endpoint
/// would look idle. If any other figure makes no sense, so does the load.
pub fn load_report(headers: &HeaderMap, name: &HeaderName) -> LoadReport {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return LoadReport::default() };
    let figures = value.to_str().ok().filter(|_| values.next().is_none()).and_then(load_figures);
    let (load, is_valid) = match figures {
        Some((load, is_valid)) => (Some(load), is_valid),
        None => (None, false),
    };
    LoadReport { load, invalid: (!is_valid).then(|| values_text(headers, name)) }
}

/// Returns the load in the value of a header, and whether its pace is absent or makes sense.
fn load_figures(text: &str) -> Option<(ReportedLoad, bool)> {
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>().ok());
    let (running, queued) = (figures.next()??, figures.next()??);
    let slots = match figures.next() {
        Some(figure) => Some(figure?),
        None => None,
    };
    if slots.is_some_and(|slots| running > slots) {
        return None;
    }
    let (pace, is_valid) = match figures.next() {
        Some(figure) => {
            let pace = figure.filter(|pace| is_valid_pace(*pace));
            (pace, pace.is_some())
        }
        None => (None, true),
    };
    Some((ReportedLoad { running, queued, slots, pace }, is_valid))
}

/// Returns all values of a header as text for the log.
fn values_text(headers: &HeaderMap, name: &HeaderName) -> String {
    headers.get_all(name).iter().map(|value| format!("{value:?} ")).collect()
}
