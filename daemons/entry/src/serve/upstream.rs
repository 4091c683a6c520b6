//! One attempt at an endpoint: sends the request and reads its answer.

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
use sill_net::client::check_head;
use sill_net::h1::ConnectionPool;
use sill_wire::endpoint::{KvSource, Resume};
use sill_wire::handoff::{HttpReply, ReplyBody, ReplyHeader};
use sill_wire::header;

use super::headers::forwardable_headers;
use super::plain::{self, PlainRequest};

/// Maximum size in bytes of a complete answer: of a plain service, or an endpoint's error.
pub(super) const MAX_REPLY_BYTES: usize = 16 << 20;

/// The request that is sent to endpoints, the same for all attempts.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query at the endpoint.
    pub path: String,
    /// The request's id, sent as a header.
    pub request: Name,
    /// The caller's idempotency key, sent as a header.
    pub key: Option<Name>,
    /// Headers that are forwarded.
    pub headers: Vec<ReplyHeader>,
    /// The body; for a model, JSON that asks for a stream with usage counts.
    pub body: Bytes,
}

/// An event of an attempt.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// No connection was made, so no byte of the request was sent.
    ConnectFailure(String),
    /// The head of a streamed answer arrived, with a success status.
    Head,
    /// A part of the streamed answer.
    Part(Bytes),
    /// A complete answer: of a plain service, or an endpoint's error.
    Reply(HttpReply),
    /// The answer ended or failed before it was complete.
    Cut(String),
}

/// An attempt in progress; dropping it cancels the request at the endpoint.
pub struct Upstream {
    /// The number of the attempt.
    pub epoch: Epoch,
    state: State,
}

type Sending = Pin<Box<dyn Future<Output = Result<ClientResponse, ClientError>>>>;
type Collecting = Pin<Box<dyn Future<Output = UpstreamEvent>>>;

enum State {
    Sending(Sending),
    Streaming(Payload),
    Collecting(Collecting),
    Done,
}

impl UpstreamRequest {
    /// Returns the body with a stream and usage counts asked for, whatever the caller asked for.
    pub fn stream_body(mut body: Value) -> Bytes {
        body["stream"] = json!(true);
        body["stream_options"] = json!({ "include_usage": true });
        body.to_string().into()
    }

    fn resume_body(&self, at: &ResumePoint, transcript: &Transcript) -> Bytes {
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
    /// Starts an attempt at a model; `resume` is set if the transcript's tokens must not be generated
    /// again.
    pub fn send_to_model(
        client: &Client,
        outgoing: &UpstreamRequest,
        epoch: Epoch,
        place: &Placement,
        resume: Option<&ResumePoint>,
        transcript: &Transcript,
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
            Some(at) => outgoing.resume_body(at, transcript),
            None => outgoing.body.clone(),
        };
        let sending: Sending = Box::pin(async move { req.send_body(body).await });
        Self { epoch, state: State::Sending(sending) }
    }

    /// Starts an attempt at a plain service.
    pub fn send_to_service(
        connections: &ConnectionPool,
        outgoing: &UpstreamRequest,
        epoch: Epoch,
        place: &Placement,
    ) -> Self {
        let mut headers = outgoing.headers.clone();
        headers.push(ReplyHeader::new(header::REQUEST_ID, &outgoing.request));
        headers.push(ReplyHeader::new(header::ATTEMPT, &epoch.0.to_string()));
        let key = outgoing.key.iter();
        headers.extend(key.map(|key| ReplyHeader::new(header::IDEMPOTENCY_KEY, key)));
        let request = PlainRequest {
            address: place.address.to_string(),
            method: outgoing.method.to_string(),
            path: outgoing.path.clone(),
            headers,
            body: outgoing.body.to_vec(),
        };
        let exchange = plain::exchange(connections.clone(), request);
        Self { epoch, state: State::Collecting(Box::pin(exchange)) }
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next_event(&mut self) -> UpstreamEvent {
        loop {
            match &mut self.state {
                State::Sending(sending) => {
                    let sent = sending.await;
                    let checked = sent.map(|res| check_head(&res).map(|()| res));
                    match checked {
                        Ok(Ok(res)) if res.status().is_success() => {
                            self.state = State::Streaming(res.take_payload());
                            return UpstreamEvent::Head;
                        }
                        Ok(Ok(res)) => self.state = State::Collecting(Box::pin(collect(res))),
                        Ok(Err(reason)) => {
                            self.state = State::Done;
                            return UpstreamEvent::Cut(reason.to_string());
                        }
                        Err(err) => {
                            self.state = State::Done;
                            return classify_error(&err);
                        }
                    }
                }
                State::Streaming(payload) => match payload.next().await {
                    Some(Ok(part)) => return UpstreamEvent::Part(part),
                    Some(Err(err)) => {
                        self.state = State::Done;
                        return UpstreamEvent::Cut(err.to_string());
                    }
                    None => {
                        self.state = State::Done;
                        return UpstreamEvent::Cut(
                            "the stream ended without its end marker".to_owned(),
                        );
                    }
                },
                State::Collecting(collecting) => {
                    let event = collecting.await;
                    self.state = State::Done;
                    return event;
                }
                State::Done => std::future::pending().await,
            }
        }
    }
}

/// Distinguishes a connection that was never made from one that was lost.
///
/// Only errors of the connector are connect failures: the client reports a connection that ended
/// before the answer's head as `Disconnected(None)`, although the whole request was sent by then.
/// Treating that as a connect failure would certify a request as not run that has run.
fn classify_error(err: &ClientError) -> UpstreamEvent {
    match err {
        ClientError::Connect(ConnectError::Disconnected(Some(_)) | ConnectError::Resolver(_)) => {
            UpstreamEvent::ConnectFailure(err.to_string())
        }
        _ => UpstreamEvent::Cut(err.to_string()),
    }
}

async fn collect(res: ClientResponse) -> UpstreamEvent {
    let status = res.status().as_u16();
    let headers = res.headers().iter().map(|(name, value)| (name.as_str(), value.to_str().ok()));
    let headers = forwardable_headers(headers);
    match res.body().limit(MAX_REPLY_BYTES).await {
        Ok(body) => {
            UpstreamEvent::Reply(HttpReply { status, headers, body: ReplyBody::new(&body) })
        }
        // A retry would get an answer of the same size, so the caller is told at once.
        Err(PayloadError::Overflow) => UpstreamEvent::Reply(too_large_reply()),
        Err(err) => UpstreamEvent::Cut(err.to_string()),
    }
}

pub(super) fn too_large_reply() -> HttpReply {
    const STATUS: u16 = 500;
    let message = format!("the answer is larger than {MAX_REPLY_BYTES} bytes");
    let error = json!({ "code": "upstream_failed", "message": message, "not_run": false });
    HttpReply::json(STATUS, json!({ "error": error }).to_string())
}
