//! One attempt at an endpoint: the request on its way, then its answer.

use std::future::Future;
use std::pin::Pin;

use futures_util::StreamExt;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse};
use ntex::http::error::PayloadError;
use ntex::http::{Method, Payload};
use ntex::util::Bytes;
use serde_json::{Value, json};
use sill_base::Name;
use sill_flight::flight::{Epoch, ResumePoint};
use sill_flight::{Placement, Transcript};
use sill_wire::endpoint::{KvSource, Resume};
use sill_wire::handoff::{HttpReply, ReplyBody, ReplyHeader};
use sill_wire::header;

use super::headers::passed_headers;

/// The largest answer of a plain service, in bytes.
const MAX_REPLY: usize = 16 << 20;

/// What an endpoint is sent.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The request's name.
    pub request: Name,
    /// The caller's key.
    pub key: Option<Name>,
    /// Headers to pass on.
    pub headers: Vec<ReplyHeader>,
    /// The body; a model's is JSON that asks for a stream with usage counts.
    pub body: Bytes,
}

/// What an attempt brings.
#[derive(Debug)]
pub enum Came {
    /// No connection was made, so that no byte left.
    NotConnected(String),
    /// The answer began, with the status for success.
    Began,
    /// A part of it.
    Part(Bytes),
    /// A whole answer: of a plain service, or an endpoint's error.
    Whole(HttpReply),
    /// It ended, or failed, before it was whole.
    Cut(String),
}

/// An attempt.
pub struct Upstream {
    /// Its number.
    pub epoch: Epoch,
    state: State,
}

type Sending = Pin<Box<dyn Future<Output = Result<ClientResponse, ClientError>>>>;
type Collecting = Pin<Box<dyn Future<Output = Came>>>;

enum State {
    Sending { sending: Sending, streams: bool },
    Streaming(Payload),
    Collecting(Collecting),
    Over,
}

impl Outgoing {
    /// Makes the body that asks an endpoint for a stream with usage counts.
    pub fn streamed_body(mut body: Value) -> Bytes {
        body["stream"] = json!(true);
        body["stream_options"] = json!({ "include_usage": true });
        body.to_string().into()
    }

    fn resumed_body(&self, at: &ResumePoint, transcript: &Transcript) -> Bytes {
        let Ok(mut body) = serde_json::from_slice::<Value>(&self.body) else {
            return self.body.clone();
        };
        let kv = at
            .kv_source
            .as_ref()
            .map(|place| KvSource { address: place.address.clone(), prefix: self.request.clone() });
        let mut emitted = transcript.tokens();
        emitted.truncate(at.next_index as usize);
        body["sill_resume"] =
            json!(Resume { at: at.next_index, emitted, kv, same_run: at.is_same_run });
        body.to_string().into()
    }
}

impl Upstream {
    /// Sends the request.
    pub fn send(
        client: &Client,
        outgoing: &Outgoing,
        epoch: Epoch,
        place: &Placement,
        resume: Option<&ResumePoint>,
        transcript: &Transcript,
        streams: bool,
    ) -> Self {
        let url = format!("http://{}{}", place.address, outgoing.path);
        let mut req = client
            .request(outgoing.method.clone(), url)
            .set_header(header::REQUEST_ID, outgoing.request.as_str())
            .set_header(header::ATTEMPT, epoch.0.to_string());
        if let Some(key) = &outgoing.key {
            req = req.set_header(header::IDEMPOTENCY_KEY, key.as_str());
        }
        for header in &outgoing.headers {
            req = req.set_header(header.name.as_str(), header.value.as_str());
        }
        let body = match resume {
            Some(at) => outgoing.resumed_body(at, transcript),
            None => outgoing.body.clone(),
        };
        let sending: Sending = Box::pin(async move { req.send_body(body).await });
        Self { epoch, state: State::Sending { sending, streams } }
    }

    /// Waits for what comes next; may be dropped while it waits.
    pub async fn next(&mut self) -> Came {
        loop {
            match &mut self.state {
                State::Sending { sending, streams } => {
                    let streams = *streams;
                    match sending.await {
                        Ok(res) if streams && res.status().is_success() => {
                            self.state = State::Streaming(res.take_payload());
                            return Came::Began;
                        }
                        Ok(res) => self.state = State::Collecting(Box::pin(collect(res))),
                        Err(err) => {
                            self.state = State::Over;
                            return failed(&err);
                        }
                    }
                }
                State::Streaming(payload) => match payload.next().await {
                    Some(Ok(part)) => return Came::Part(part),
                    Some(Err(err)) => {
                        self.state = State::Over;
                        return Came::Cut(err.to_string());
                    }
                    None => {
                        self.state = State::Over;
                        return Came::Cut("the stream ended without its end marker".to_owned());
                    }
                },
                State::Collecting(collecting) => {
                    let came = collecting.await;
                    self.state = State::Over;
                    return came;
                }
                State::Over => std::future::pending().await,
            }
        }
    }
}

/// Tells a connection that was never made from one that was lost.
///
/// Only errors of the connector count: the client reports a connection that ended before the
/// answer's head as `Disconnected(None)`, though the whole request has left by then. Were that
/// taken for "not connected", a caller would be told not-run of a request that ran.
fn failed(err: &ClientError) -> Came {
    match err {
        ClientError::Connect(ConnectError::Disconnected(Some(_)) | ConnectError::Resolver(_)) => {
            Came::NotConnected(err.to_string())
        }
        _ => Came::Cut(err.to_string()),
    }
}

async fn collect(res: ClientResponse) -> Came {
    let status = res.status().as_u16();
    let headers = passed_headers(res.headers());
    match res.body().limit(MAX_REPLY).await {
        Ok(body) => Came::Whole(HttpReply { status, headers, body: ReplyBody::new(&body) }),
        // Sent again it would be as large; the caller has to know, and at once.
        Err(PayloadError::Overflow) => Came::Whole(too_large()),
        Err(err) => Came::Cut(err.to_string()),
    }
}

fn too_large() -> HttpReply {
    const STATUS: u16 = 500;
    let message = format!("the answer is larger than {MAX_REPLY} bytes");
    let error = json!({ "code": "upstream_failed", "message": message, "not_run": false });
    HttpReply::json(STATUS, json!({ "error": error }).to_string())
}
