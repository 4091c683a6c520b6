//! The caller's side of a request: the response, and the channel that feeds it and closes when the
//! caller disconnects.

use std::io;

use futures_util::stream;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use sill_base::{Millis, Name};
use sill_flight::lifecycle::{NotRunRefusal, RequestFailure};
use sill_net::http::Failure;
use sill_wire::handoff::{FailedRun, HttpReply};
use sill_wire::{ErrorBody, ErrorCode, ErrorDetail, header};
use tokio::sync::mpsc;

/// Response items queued for a slow caller. With a full channel the endpoint's answer is read no
/// further than the driver's send buffer allows.
const CHANNEL_CAPACITY: usize = 16;

/// An item of a response.
#[derive(Debug)]
pub enum ResponseItem {
    /// A part of a streamed answer.
    Data(Bytes),
    /// The end of the answer; nothing follows.
    End(ResponseEnd),
}

/// How a response ends.
#[derive(Debug, Clone)]
pub enum ResponseEnd {
    /// The stream was sent completely.
    Complete,
    /// A complete HTTP answer.
    Reply(HttpReply),
    /// A refusal, certified as not run.
    NotRun(NotRunRefusal),
    /// The request failed and is not certified as not run.
    Failed(FailedRun),
    /// Another entry instance runs the request; the caller re-attaches with its key.
    Moved,
}

/// The driver's or follower's side of the channel.
pub type ResponseSender = mpsc::Sender<ResponseItem>;

/// The response's side of the channel; dropped when the caller disconnects.
pub type ResponseReceiver = mpsc::Receiver<ResponseItem>;

/// Creates the channel between a request and its response.
pub fn channel() -> (ResponseSender, ResponseReceiver) {
    mpsc::channel(CHANNEL_CAPACITY)
}

impl From<RequestFailure> for ResponseEnd {
    fn from(failed: RequestFailure) -> Self {
        let RequestFailure { code, message, retry_after, .. } = failed;
        Self::Failed(FailedRun { code, message, retry_after })
    }
}

/// Waits for the first item before it sends the head, so that a refusal still gets its status code.
pub async fn respond(request: &Name, mut receiver: ResponseReceiver) -> HttpResponse {
    match receiver.recv().await {
        Some(ResponseItem::Data(first)) => stream_response(request, first, receiver),
        Some(ResponseItem::End(end)) => full_response(request, end),
        None => full_response(request, request_lost()),
    }
}

fn request_lost() -> ResponseEnd {
    let message = "the request was lost inside the entry instance".to_owned();
    ResponseEnd::Failed(FailedRun {
        code: ErrorCode::Internal,
        message,
        retry_after: Some(Millis(1000)),
    })
}

fn stream_response(request: &Name, first: Bytes, receiver: ResponseReceiver) -> HttpResponse {
    let body =
        StreamBody { first: Some(first), receiver, request: request.clone(), is_aborted: false };
    let parts = stream::unfold(body, |mut body| async move {
        let part = body.next().await?;
        Some((part, body))
    });
    HttpResponse::Ok()
        .content_type(header::EVENT_STREAM)
        .set_header(header::REQUEST_ID, request.as_str())
        .set_header("cache-control", "no-cache")
        .streaming(Box::pin(parts))
}

struct StreamBody {
    first: Option<Bytes>,
    receiver: ResponseReceiver,
    request: Name,
    is_aborted: bool,
}

impl StreamBody {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        // A stream that ends cleanly would pass for a complete answer. Aborting the chunked
        // encoding shows every HTTP client that it is truncated.
        if self.is_aborted {
            return Some(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        match self.receiver.recv().await {
            Some(ResponseItem::Data(part)) => Some(Ok(part)),
            Some(ResponseItem::End(ResponseEnd::Complete)) => None,
            Some(ResponseItem::End(end)) => {
                self.is_aborted = true;
                Some(Ok(abort_event(&self.request, end)))
            }
            None => {
                self.is_aborted = true;
                Some(Ok(abort_event(&self.request, request_lost())))
            }
        }
    }
}

/// Returns the last event of a stream that is aborted: the error, or a reconnect delay after a
/// hand-off.
fn abort_event(request: &Name, end: ResponseEnd) -> Bytes {
    if matches!(end, ResponseEnd::Moved) {
        return Bytes::from_static(b"retry: 100\n\n");
    }
    let failure = failure(end);
    let error = ErrorDetail {
        code: failure.code,
        message: failure.message,
        request_id: request.clone(),
        not_run: false,
        findings: Vec::new(),
    };
    let data = serde_json::to_string(&ErrorBody { error }).unwrap_or_default();
    format!("data: {data}\n\n").into()
}

/// Builds the response to a request of which nothing was streamed yet.
pub fn full_response(request: &Name, end: ResponseEnd) -> HttpResponse {
    match end {
        ResponseEnd::Reply(reply) => {
            let status = ntex::http::StatusCode::from_u16(reply.status);
            let status = status.unwrap_or(ntex::http::StatusCode::BAD_GATEWAY);
            let mut res = HttpResponse::build(status);
            res.set_header(header::REQUEST_ID, request.as_str());
            for header in &reply.headers {
                res.header(header.name.as_str(), header.value.as_str());
            }
            res.body(Bytes::from(reply.body.as_bytes().to_vec()))
        }
        end => failure(end).response(request),
    }
}

/// Returns the error answer of an end. One without an error of its own asks for a resend.
pub(super) fn failure(end: ResponseEnd) -> Failure {
    let seconds = |after: Millis| after.0.div_ceil(1000).max(1) as u32;
    match end {
        ResponseEnd::NotRun(refusal) => Failure {
            not_run: true,
            retry_after: refusal.retry_after().map(seconds),
            ..Failure::new(refusal.code(), refusal.message())
        },
        ResponseEnd::Failed(failed) => Failure {
            retry_after: failed.retry_after.map(seconds),
            ..Failure::new(failed.code, failed.message)
        },
        ResponseEnd::Moved | ResponseEnd::Complete | ResponseEnd::Reply(_) => Failure {
            retry_after: Some(1),
            ..Failure::new(ErrorCode::Stopping, "moved to another entry instance; send it again")
        },
    }
}
