//! The caller's side of a request: what it is sent, and whether it is still there.

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

/// Parts that wait for a slow caller; beyond, the endpoint's answer is not read on.
const WAITING: usize = 16;

/// What a caller is sent.
#[derive(Debug)]
pub enum Out {
    /// A part of a streamed answer.
    Part(Bytes),
    /// The last word.
    End(Final),
}

/// How an answer ends for its caller.
#[derive(Debug, Clone)]
pub enum Final {
    /// All of it was sent.
    Whole,
    /// A whole HTTP answer.
    Reply(HttpReply),
    /// A refusal, certified as not run.
    NotRun(NotRunRefusal),
    /// It was given up.
    Failed(FailedRun),
    /// Another entry instance goes on; the caller has to come back with its key.
    Moved,
}

/// The sending side.
pub type Sink = mpsc::Sender<Out>;

/// The receiving side.
pub type Source = mpsc::Receiver<Out>;

/// Makes both sides.
pub fn pair() -> (Sink, Source) {
    mpsc::channel(WAITING)
}

impl From<RequestFailure> for Final {
    fn from(failed: RequestFailure) -> Self {
        let RequestFailure { code, message, retry_after, .. } = failed;
        Self::Failed(FailedRun { code, message, retry_after })
    }
}

/// Waits for the first word, so that a refusal still gets its status code.
pub async fn respond(request: &Name, mut source: Source) -> HttpResponse {
    match source.recv().await {
        Some(Out::Part(first)) => streamed(request, first, source),
        Some(Out::End(end)) => whole(request, end),
        None => whole(request, lost()),
    }
}

fn lost() -> Final {
    let message = "the request was lost inside the entry instance".to_owned();
    Final::Failed(FailedRun { code: ErrorCode::Internal, message, retry_after: Some(Millis(1000)) })
}

fn streamed(request: &Name, first: Bytes, source: Source) -> HttpResponse {
    let body = Body { first: Some(first), source, request: request.clone(), cut: false };
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

struct Body {
    first: Option<Bytes>,
    source: Source,
    request: Name,
    cut: bool,
}

impl Body {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        // A stream that just ended would pass for a whole answer; the broken-off chunked encoding
        // tells every client that it is not.
        if self.cut {
            return Some(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        match self.source.recv().await {
            Some(Out::Part(part)) => Some(Ok(part)),
            Some(Out::End(Final::Whole)) => None,
            Some(Out::End(end)) => {
                self.cut = true;
                Some(Ok(last_event(&self.request, end)))
            }
            None => {
                self.cut = true;
                Some(Ok(last_event(&self.request, lost())))
            }
        }
    }
}

/// Tells in a stream that has begun why it breaks off.
fn last_event(request: &Name, end: Final) -> Bytes {
    if matches!(end, Final::Moved) {
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

/// Makes an answer that has not begun.
pub fn whole(request: &Name, end: Final) -> HttpResponse {
    match end {
        Final::Reply(reply) => {
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

/// Makes the error answer of an end.
pub(super) fn failure(end: Final) -> Failure {
    let seconds = |after: Millis| after.0.div_ceil(1000).max(1) as u32;
    match end {
        Final::NotRun(refusal) => Failure {
            not_run: true,
            retry_after: refusal.retry_after().map(seconds),
            ..Failure::new(refusal.code(), refusal.message())
        },
        Final::Failed(failed) => Failure {
            retry_after: failed.retry_after.map(seconds),
            ..Failure::new(failed.code, failed.message)
        },
        Final::Moved | Final::Whole | Final::Reply(_) => Failure {
            retry_after: Some(1),
            ..Failure::new(ErrorCode::Stopping, "moved to another entry instance; send it again")
        },
    }
}
