//! Passes an answer on to the caller as it comes, and goes on elsewhere where a stream may be resumed.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use sill_base::Name;
use sill_dispatch::{AttemptOutcome, CallProgress, EventTracker, NextStep};
use sill_net::h1::{AnyBody, BodyError, Returnable};
use sill_route::Outcome;
use sill_tree::RouteKind;
use sill_wire::ErrorCode;
use tokio::time::Sleep;

use crate::dispatch::{self, Attempt, Attempted, Resumption};
use crate::ending::Phase;
use crate::failure::Failure;
use crate::moves::Relocation;
use crate::serve::Call;
use crate::state::State;
use crate::summary::Summary;

/// An answer on its way.
pub struct Relay {
    state: Arc<State>,
    call: Arc<Call>,
    summary: Summary,
    progress: CallProgress,
    source: Source,
    /// Set for streams that may go on at another endpoint.
    events: Option<EventTracker>,
    due: Pin<Box<Sleep>>,
    /// Done when the end of the process cuts the answer.
    cut: BoxFuture<'static, ()>,
    /// The move of the run away from its engine, while the rest of its old stream comes in.
    relocation: Relocation,
    has_begun: bool,
    /// The first part, until the head of the answer is on its way.
    held: Option<Bytes>,
    /// Why the answer ends, once what came before is on its way to the caller.
    broken: Option<BodyError>,
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

/// An answer that comes from an endpoint.
pub struct Running {
    /// What is still to come.
    pub body: Incoming,
    /// The attempt that it answers.
    pub attempt: Attempt,
    /// The connection on which it comes.
    pub connection: Option<Returnable>,
}

/// Returns whether a run is to be moved, as one that can't be resumed from its events alone.
pub fn is_movable(call: &Call) -> bool {
    call.route.route.kind == RouteKind::Stream && call.pool.can_move
}

impl Relay {
    /// Makes the body of an answer; `goes_on` is whether it may go on at another endpoint.
    pub fn new(summary: Summary, running: Running, progress: CallProgress, goes_on: bool) -> Self {
        let attempt = &running.attempt;
        let (state, call) = (attempt.state().clone(), attempt.call().clone());
        let left = call.due - state.clock.now();
        let relocation = match goes_on && is_movable(&call) {
            true => Relocation::of(attempt),
            false => Relocation::default(),
        };
        Self {
            relocation,
            summary,
            progress,
            source: Source::Running(running),
            events: goes_on.then(EventTracker::default),
            due: Box::pin(tokio::time::sleep(left.into())),
            cut: Box::pin(state.ending.begins(Phase::Cut)),
            has_begun: false,
            held: None,
            broken: None,
            state,
            call,
        }
    }

    /// Waits for the first part and holds it until the head of the answer is on its way.
    ///
    /// # Errors
    ///
    /// Fails when the answer breaks off before.
    pub async fn hold_first(&mut self) -> Result<(), BodyError> {
        let first = poll_fn(|cx| Pin::new(&mut *self).poll_frame(cx)).await;
        self.held = first.transpose()?.and_then(|frame| frame.into_data().ok());
        Ok(())
    }

    /// Waits for the whole answer, of `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// Fails when the answer breaks off or is longer.
    pub async fn hold_all(&mut self, limit: usize) -> Result<BytesMut, BodyError> {
        let mut body = BytesMut::new();
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut *self).poll_frame(cx)).await {
            let Ok(data) = frame?.into_data() else { continue };
            body.extend_from_slice(&data);
            if body.len() > limit {
                self.source = Source::Ended;
                return Err("too long to be held".into());
            }
        }
        Ok(body)
    }

    /// Ends a call none of whose answer was passed on.
    pub fn fail(&mut self) -> Response<AnyBody> {
        let code = match self.state.clock.now() < self.call.due {
            true => ErrorCode::UpstreamFailed,
            false => ErrorCode::DeadlinePassed,
        };
        self.summary.fail(Failure::new(code))
    }

    /// Ends a call none of whose answer was passed on when the process ends.
    pub fn fail_by_stop(&mut self) -> Response<AnyBody> {
        // The endpoint is told.
        self.source = Source::Ended;
        self.summary.fail_by_stop()
    }

    fn poll_move(&mut self, cx: &mut Context<'_>) {
        if let Source::Running(running) = &self.source {
            self.relocation.poll(cx, &running.attempt, self.progress.attempts());
        }
    }

    /// The old stream of a run that is being moved broke off. Goes on with the run where its memory is.
    fn go_on_after_move(&mut self) -> bool {
        let Some(moving) = self.relocation.take() else { return false };
        self.summary.ends("cut");
        let old = std::mem::replace(&mut self.source, Source::Ended);
        if let Source::Running(mut running) = old {
            running.attempt.over(Outcome::Cancelled);
        }
        let Some(events) = &mut self.events else { return false };
        events.drop_partial();
        let last_event = events.last_id().map(str::to_owned);
        let progress = self.progress;
        self.source = Source::Resuming(Box::pin(async move {
            let moved = moving.moved().await?;
            let from = Resumption { last_event, memory: Some(moved.memory) };
            running_from(moved.attempt, progress, from).await
        }));
        true
    }

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
        self.progress.time_left = self.call.due - self.state.clock.now();
        let is_resumable = self.call.route.route.kind.may_repeat();
        let next = self.progress.next_step(AttemptOutcome::Unknown);
        self.progress.record(AttemptOutcome::Unknown);
        let Some(events) = &mut self.events else { return false };
        events.drop_partial();
        // A stream that has begun is better off wherever it goes on: without that it is cut now. One without
        // a first event can still be answered as a failure, which its caller may repeat elsewhere.
        let has_time = self.has_begun || dispatch::lasts_for_another(&self.state, &self.call);
        let may_go_on = is_resumable && next == NextStep::Retry && has_time;
        if !may_go_on || !self.state.may_retry(&self.call.pool.service) {
            return false;
        }
        let last_event = events.last_id().map(str::to_owned);
        let (state, call) = (self.state.clone(), self.call.clone());
        let (progress, failed) = (self.progress, endpoint.clone());
        let from = Resumption { last_event, memory: None };
        let resumed = resume(state, call, progress, failed, from);
        self.source = Source::Resuming(Box::pin(resumed));
        true
    }

    /// Has the answer end as one that is not whole.
    fn breaks(&mut self, cx: &Context<'_>, why: BodyError) {
        // Told at once, the server would drop the parts that it has not written yet.
        self.broken = Some(why);
        cx.waker().wake_by_ref();
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
                    if self.go_on_after_move() || self.broke_off(&err) {
                        return Poll::Pending;
                    }
                    self.breaks(cx, err.into());
                    return Poll::Pending;
                }
                // The engine has stopped the run; ended in good order or not, its stream is not whole.
                None if self.relocation.is_copied() => {
                    self.go_on_after_move();
                    return Poll::Pending;
                }
                None => {
                    self.ended();
                    let rest =
                        self.events.as_mut().map(EventTracker::take_partial).unwrap_or_default();
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
                if is_movable(&self.call) {
                    self.relocation = Relocation::of(&running.attempt);
                }
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
    progress: CallProgress,
    failed: Name,
    from: Resumption,
) -> Option<Running> {
    let now = state.clock.now();
    let attempt = dispatch::place(&state, &call, now, &[failed], progress.attempts()).ok()?;
    running_from(attempt, progress, from).await
}

async fn running_from(
    attempt: Attempt,
    progress: CallProgress,
    from: Resumption,
) -> Option<Running> {
    match dispatch::make(attempt, &progress, Some(&from)).await {
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
        if let Some(held) = this.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        if let Some(err) = this.broken.take() {
            return Poll::Ready(Some(Err(err)));
        }
        if matches!(this.source, Source::Ended) {
            return Poll::Ready(None);
        }
        if this.due.as_mut().poll(cx).is_ready() {
            this.source = Source::Ended;
            this.summary.ends("out_of_time");
            return Poll::Ready(Some(Err("the time of the call is up".into())));
        }
        if this.cut.as_mut().poll(cx).is_ready() {
            this.source = Source::Ended;
            this.summary.cut_by_stop();
            this.breaks(cx, "the instance stops".into());
            return Poll::Pending;
        }
        this.poll_move(cx);
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
        if self.held.is_some() {
            return false;
        }
        match &self.source {
            Source::Running(running) => self.events.is_none() && running.body.is_end_stream(),
            Source::Resuming(_) => false,
            Source::Ended => self.broken.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Running(running) if self.events.is_none() && self.held.is_none() => {
                running.body.size_hint()
            }
            _ => SizeHint::default(),
        }
    }
}

impl Drop for Relay {
    /// The server stops to ask once it has all bytes that the answer's length names.
    fn drop(&mut self) {
        if let Source::Running(running) = &self.source
            && self.held.is_none()
            && running.body.is_end_stream()
        {
            self.ended();
        }
    }
}
