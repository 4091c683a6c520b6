//! Passes an answer on to the caller as it comes, and goes on elsewhere where a stream may be resumed.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Response, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sill_base::Name;
use sill_dispatch::{AttemptOutcome, EventTracker, Next, Progress};
use sill_net::h1::{AnyBody, BodyError, Returnable, strip_hop_by_hop};
use sill_route::Outcome;
use sill_tree::RouteKind;
use tokio::time::Sleep;

use crate::dispatch::{self, Attempt, Attempted, Summary};
use crate::serve::Call;
use crate::state::State;

/// An answer on its way.
struct Relay {
    state: Arc<State>,
    call: Arc<Call>,
    summary: Summary,
    progress: Progress,
    source: Source,
    /// Set for streams that may go on at another endpoint.
    events: Option<EventTracker>,
    due: Pin<Box<Sleep>>,
    has_begun: bool,
}

// There is one for each call, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
/// Where the answer comes from.
enum Source {
    /// An endpoint.
    Running(Running),
    /// Another endpoint is sought that goes on.
    Resuming(BoxFuture<'static, Option<Running>>),
    /// Nothing more comes.
    Ended,
}

struct Running {
    body: Incoming,
    attempt: Attempt,
    connection: Option<Returnable>,
}

/// Makes the caller's answer of an endpoint's.
pub fn pass_on(
    mut summary: Summary,
    attempt: Attempt,
    answer: sill_net::h1::Answer,
    progress: Progress,
) -> Response<AnyBody> {
    let (response, connection) = answer.into_parts();
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    let (state, call) = (attempt.state().clone(), attempt.call().clone());
    summary.answers(parts.status.as_u16());
    let is_resumable = call.route.route.kind == RouteKind::ResumableStream;
    let may_resume = is_resumable && parts.status.is_success();
    if may_resume {
        // What comes from another endpoint may be longer.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    if !call.pool.is_engine && parts.status.is_success() {
        attempt.count_usage();
    }
    let left = call.due - state.clock.now();
    let relay = Relay {
        summary,
        progress,
        source: Source::Running(Running { body, attempt, connection }),
        events: may_resume.then(EventTracker::default),
        due: Box::pin(tokio::time::sleep(left.into())),
        has_begun: false,
        state,
        call,
    };
    Response::from_parts(parts, relay.boxed_unsync())
}

impl Relay {
    fn passes(&mut self, data: &Bytes) {
        let now = self.state.clock.now();
        self.summary.passes(now, data.len());
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        if let Source::Running(running) = &self.source {
            running.attempt.began(now);
            if self.call.pool.is_engine {
                running.attempt.count_usage();
            }
        }
    }

    /// The endpoint's answer is whole.
    fn ended(&mut self) {
        if let Source::Running(mut running) = std::mem::replace(&mut self.source, Source::Ended) {
            running.attempt.over(Outcome::Finished);
            if let Some(connection) = running.connection.take() {
                connection.give_back();
            }
            self.summary.ends("answered");
        }
    }

    /// The endpoint's answer broke off. Returns whether it may go on elsewhere.
    fn broke_off(&mut self, err: &hyper::Error) -> bool {
        let Source::Running(mut running) = std::mem::replace(&mut self.source, Source::Ended)
        else {
            return false;
        };
        running.attempt.over(Outcome::Failed);
        self.summary.ends("cut");
        let (id, endpoint) = (&self.call.head.attempt, &running.attempt.place.endpoint);
        sill_base::event!(Warn, "answer_cut", id = id, endpoint = endpoint, why = err);
        self.progress.left = self.call.due - self.state.clock.now();
        let next = self.progress.after(AttemptOutcome::Unknown);
        self.progress.count(AttemptOutcome::Unknown);
        let Some(events) = &mut self.events else { return false };
        events.drop_rest();
        if next != Next::Retry || !self.state.may_retry(&self.call.pool.service) {
            return false;
        }
        let last_event = events.last_id().map(str::to_owned);
        let (state, call) = (self.state.clone(), self.call.clone());
        let (progress, failed) = (self.progress, endpoint.clone());
        let resumed = resume(state, call, progress, failed, last_event);
        self.source = Source::Resuming(Box::pin(resumed));
        true
    }

    fn poll_running(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Source::Running(running) = &mut self.source else { return Poll::Ready(None) };
            match ready!(Pin::new(&mut running.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let data = match &mut self.events {
                        Some(events) => events.push(data),
                        None => data,
                    };
                    if data.is_empty() {
                        continue;
                    }
                    self.passes(&data);
                    return Poll::Ready(Some(Ok(data)));
                }
                Some(Err(err)) => {
                    if self.broke_off(&err) {
                        return Poll::Pending;
                    }
                    return Poll::Ready(Some(Err(err.into())));
                }
                None => {
                    self.ended();
                    let rest = self.events.as_mut().map(EventTracker::rest).unwrap_or_default();
                    let rest = (!rest.is_empty()).then_some(Ok(rest));
                    return Poll::Ready(rest);
                }
            }
        }
    }

    fn poll_resuming(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        let Source::Resuming(resuming) = &mut self.source else { return Poll::Ready(Ok(())) };
        match ready!(resuming.as_mut().poll(cx)) {
            Some(running) => {
                self.summary.resumed_at(&running.attempt.place);
                self.source = Source::Running(running);
                Poll::Ready(Ok(()))
            }
            None => {
                self.source = Source::Ended;
                Poll::Ready(Err("no other endpoint goes on with the stream".into()))
            }
        }
    }
}

/// Has another endpoint go on after the last event that the caller has.
async fn resume(
    state: Arc<State>,
    call: Arc<Call>,
    progress: Progress,
    failed: Name,
    last_event: Option<String>,
) -> Option<Running> {
    let now = state.clock.now();
    let attempt = dispatch::place(&state, &call, now, &[failed], progress.sends()).ok()?;
    match dispatch::make(attempt, &progress, last_event.as_deref()).await {
        Attempted::Answer(attempt, answer) if answer.response.status().is_success() => {
            let (response, connection) = answer.into_parts();
            Some(Running { body: response.into_body(), attempt, connection })
        }
        _ => None,
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if matches!(this.source, Source::Ended) {
            return Poll::Ready(None);
        }
        if this.due.as_mut().poll(cx).is_ready() {
            this.source = Source::Ended;
            this.summary.ends("out_of_time");
            return Poll::Ready(Some(Err("the time of the call is up".into())));
        }
        loop {
            if matches!(this.source, Source::Resuming(_))
                && let Err(err) = ready!(this.poll_resuming(cx))
            {
                return Poll::Ready(Some(Err(err)));
            }
            match this.poll_running(cx) {
                Poll::Pending if matches!(this.source, Source::Resuming(_)) => {}
                Poll::Pending => return Poll::Pending,
                Poll::Ready(part) => return Poll::Ready(part.map(|part| part.map(Frame::data))),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Running(running) => self.events.is_none() && running.body.is_end_stream(),
            Source::Resuming(_) => false,
            Source::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Running(running) if self.events.is_none() => running.body.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

impl Drop for Relay {
    /// The server stops to ask once it has all bytes that the answer's length names.
    fn drop(&mut self) {
        if let Source::Running(running) = &self.source
            && running.body.is_end_stream()
        {
            self.ended();
        }
    }
}
