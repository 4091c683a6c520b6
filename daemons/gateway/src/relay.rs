//! Relays an answer to the caller as it arrives, and resumes a stream at another endpoint where
//! possible.

mod elsewhere;
mod unmarked;

use std::fmt::Display;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, Fuse};
use http::Response;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use sill_base::{Millis, Name, event};
use sill_dispatch::{CallProgress, EventTracker, Reservation};
use sill_net::h1::{AnyBody, BodyError, Framing, ReusableConnection, error_text};
use sill_rollout::AnswerEnd;
use sill_route::Outcome;
use sill_tree::RouteKind;
use sill_wire::{ErrorCode, Software};
use tokio::time::Sleep;

use crate::crashes::PROVEN_AFTER;
use crate::cut::CutCause;
use crate::dispatch::Attempt;
use crate::failure::Failure;
use crate::hedge::Hedge;
use crate::migration::RunMigration;
use crate::resume::NotResumed;
use crate::serve::Call;
use crate::state::State;
use crate::stream_end::UnmarkedEnd;
use crate::summary::{CallSummary, StreamEnd};
use crate::termination::FinalPhase;

/// Time within which a part that has arrived is read if it is awaited.
const READ_TIME: Millis = Millis(10);

/// Least time between two attempts at other endpoints while a path is lost.
const HEDGE_INTERVAL: Millis = Millis(1000);

/// The body of an answer while it is relayed to the caller.
pub struct Relay {
    state: Arc<State>,
    call: Arc<Call>,
    summary: CallSummary,
    progress: CallProgress,
    source: Source,
    /// Another endpoint that is tried while the path to the present one is lost.
    hedge: Option<Hedge>,
    /// Tracks the events of a stream; none for other answers.
    events: Option<EventTracker>,
    /// Whether another endpoint may continue the answer.
    may_resume: bool,
    /// The version whose endpoints may continue the answer; none before the first event.
    software: Option<Software>,
    due: Pin<Box<Sleep>>,
    /// Resolves shortly before the deadline or the end of the process; none once it has.
    last_second: Option<BoxFuture<'static, ()>>,
    /// Resolves when the end of the process cuts the answer.
    cut_by_stop: BoxFuture<'static, ()>,
    /// The migration of the run off its engine, while its old stream still arrives.
    migration: RunMigration,
    has_begun: bool,
    /// Whether the caller gets nothing before the answer is complete.
    is_held: bool,
    has_first_event: bool,
    /// The first part, until the head of the answer is sent.
    buffered_part: Option<Bytes>,
    /// The error that ends the answer once all earlier parts are sent to the caller.
    pending_error: Option<BodyError>,
}

/// The answer to a resumption.
pub type Resuming<T> = BoxFuture<'static, Result<T, NotResumed>>;

// One exists per call, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
/// Where the next part of the answer comes from.
enum Source {
    /// The answer of an endpoint.
    Endpoint(EndpointAnswer),
    /// A resumed stream, whose endpoint has not answered yet.
    Resuming(Resuming<EndpointAnswer>),
    /// No more parts follow.
    Ended,
}

/// An answer that arrives from an endpoint.
pub struct EndpointAnswer {
    /// The parts that have not been read yet.
    pub body: Incoming,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// The attempt that produced the answer.
    pub attempt: Attempt,
    /// The connection that carries the answer; it is reused after a complete answer.
    pub connection: Option<ReusableConnection>,
    /// The beginning of the body, if it was read already.
    pub first: Option<Bytes>,
    /// Resolves to whether the answer is whole, once the body has ended without a proof.
    end_check: Option<BoxFuture<'static, UnmarkedEnd>>,
    /// Resolves once the rest of the body can't be expected to arrive.
    stuck: Fuse<BoxFuture<'static, ()>>,
    /// When the first part arrived.
    began_at: Option<Millis>,
    /// Whether it is recorded that the prompt does not crash the endpoint.
    is_proven: bool,
    /// When the body ended, if its end proves nothing.
    ended_at: Option<Millis>,
    /// Since when the next part is awaited.
    pending_since: Option<Millis>,
    /// Whether it was tried to resume the stream at its end.
    is_resumed_at_end: bool,
}

impl EndpointAnswer {
    /// Creates the answer to an attempt, of which only the head was read.
    pub fn new(
        attempt: Attempt,
        framing: Framing,
        body: Incoming,
        connection: Option<ReusableConnection>,
    ) -> Self {
        let stuck = attempt.wait_until_stuck().fuse();
        Self {
            body,
            framing,
            attempt,
            connection,
            first: None,
            end_check: None,
            stuck,
            began_at: None,
            is_proven: false,
            ended_at: None,
            pending_since: None,
            is_resumed_at_end: false,
        }
    }

    /// Records that the next part has not arrived yet.
    fn record_pending(&mut self) {
        let now = self.attempt.state().clock.now();
        self.pending_since.get_or_insert(now);
    }

    /// Records that the next part is there. The endpoint sent it just now only if it was awaited: if the
    /// caller reads slowly, parts are buffered that may be older than the end of the endpoint.
    fn record_arrival(&mut self) {
        let Some(since) = self.pending_since.take() else { return };
        let sent_from = self.attempt.state().clock.now() - READ_TIME;
        if since <= sent_from {
            self.attempt.record_sign(sent_from);
        }
    }

    /// Records that a part of the answer arrived. Returns whether the answer has been written for
    /// [`PROVEN_AFTER`] for the first time.
    fn record_part(&mut self, now: Millis) -> bool {
        let began_at = *self.began_at.get_or_insert(now);
        let is_proven = now - began_at >= PROVEN_AFTER;
        is_proven && !std::mem::replace(&mut self.is_proven, true)
    }
}

/// Returns whether a run is migrated, because it can't be resumed from its events alone.
pub fn is_movable(call: &Call) -> bool {
    call.route.route.kind == RouteKind::Stream && call.pool.can_move
}

impl Relay {
    /// Creates the body of an answer; `may_resume` is whether another endpoint may continue it.
    pub fn new(
        mut summary: CallSummary,
        answer: EndpointAnswer,
        progress: CallProgress,
        events: Option<EventTracker>,
        may_resume: bool,
    ) -> Self {
        summary.set_framing(answer.framing);
        let attempt = &answer.attempt;
        summary.set_via(attempt.via());
        let (state, call) = (attempt.state().clone(), attempt.call().clone());
        let time_left = call.due - state.clock.now();
        let migration = match may_resume && is_movable(&call) {
            true => RunMigration::of(attempt),
            false => RunMigration::default(),
        };
        Self {
            migration,
            summary,
            progress,
            source: Source::Endpoint(answer),
            hedge: None,
            events,
            may_resume,
            software: call.software.clone(),
            due: Box::pin(tokio::time::sleep(time_left.into())),
            last_second: Some(Box::pin(unmarked::last_second(state.clone(), time_left))),
            cut_by_stop: Box::pin(state.termination.wait_for(FinalPhase::Cut)),
            has_begun: false,
            is_held: false,
            has_first_event: false,
            buffered_part: None,
            pending_error: None,
            state,
            call,
        }
    }

    /// Waits for the first part and buffers it until the head of the answer is sent.
    ///
    /// # Errors
    ///
    /// Fails when the answer breaks off before its first part.
    pub async fn buffer_first_part(&mut self) -> Result<(), BodyError> {
        let first = poll_fn(|cx| Pin::new(&mut *self).poll_frame(cx)).await;
        self.buffered_part = first.transpose()?.and_then(|frame| frame.into_data().ok());
        Ok(())
    }

    /// Waits for the complete answer, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the answer breaks off or is longer, or when what is buffered takes up the memory for it.
    pub async fn buffer_all(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        self.is_held = true;
        let mut body = BytesMut::new();
        let mut reservation = Reservation::new(self.state.buffers.clone());
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut *self).poll_frame(cx)).await {
            let Ok(data) = frame?.into_data() else { continue };
            body.extend_from_slice(&data);
            if body.len() > limit || !reservation.grow_to(body.len()) {
                self.source = Source::Ended;
                return Err("answer too long to be buffered".into());
            }
        }
        Ok(reservation.attach(body.freeze()))
    }

    /// Fails a call of whose answer nothing was sent to the caller.
    pub fn fail(&mut self) -> Response<AnyBody> {
        let code = match self.state.clock.now() < self.call.due {
            true => ErrorCode::UpstreamFailed,
            false => ErrorCode::DeadlinePassed,
        };
        self.summary.fail(Failure::new(code))
    }

    /// Fails a call of whose answer nothing was sent to the caller when the process ends.
    pub fn fail_by_stop(&mut self) -> Response<AnyBody> {
        // Dropping the answer closes its connection, so the endpoint cancels the call.
        self.source = Source::Ended;
        self.summary.fail_by_stop()
    }

    fn poll_migration(&mut self, cx: &mut Context<'_>) {
        if let Source::Endpoint(answer) = &self.source
            && answer.end_check.is_none()
        {
            self.migration.poll(cx, &answer.attempt, self.progress.attempts());
        }
    }

    fn record_part(&mut self, data: &Bytes) {
        let now = self.state.clock.now();
        self.summary.record_part(now, data.len());
        if let Source::Endpoint(answer) = &mut self.source {
            answer.attempt.record_part(now);
            if answer.record_part(now) {
                self.state.crashes.record_answered(&self.call.shared_parts);
            }
        }
        self.record_first_event();
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        if let Source::Endpoint(answer) = &self.source {
            answer.attempt.record_first_part(now);
            if self.call.pool.is_engine {
                answer.attempt.count_usage();
            }
        }
    }

    /// Records which version has begun the stream, or continues it here for a caller that took it up.
    fn record_first_event(&mut self) {
        let has_events = self.events.as_ref().is_some_and(EventTracker::has_events);
        if self.has_first_event || !has_events {
            return;
        }
        self.has_first_event = true;
        let Source::Endpoint(answer) = &self.source else { return };
        let placement = &answer.attempt.placement;
        self.software.get_or_insert_with(|| placement.software.clone());
        if self.call.route.route.kind == RouteKind::ResumableStream {
            self.state.record_stream(&self.call, placement);
        }
    }

    /// Completes the call: the endpoint's answer is complete.
    fn finish(&mut self) {
        self.hedge = None;
        if let Source::Endpoint(mut answer) = std::mem::replace(&mut self.source, Source::Ended) {
            answer.attempt.finish(Outcome::Finished);
            answer.attempt.end_answer(AnswerEnd::Whole);
            self.state.crashes.record_completed(|| self.call.request_key());
            if self.summary.is_success() {
                self.state.crashes.record_answered(&self.call.shared_parts);
            }
            if let Some(connection) = answer.connection.take() {
                connection.release();
            }
            self.summary.mark_answered();
        }
    }

    /// Ends an attempt whose answer broke off, and returns its endpoint.
    fn end_broken(&mut self, cause: CutCause, reason: &dyn Display) -> Option<Name> {
        let Source::Endpoint(mut answer) = std::mem::replace(&mut self.source, Source::Ended)
        else {
            return None;
        };
        answer.attempt.finish(Outcome::Failed);
        answer.attempt.record_broken_answer(answer.began_at);
        answer.attempt.end_broken();
        self.record_stream_end();
        self.summary.set_cut_by(cause);
        event!(
            Warn,
            "answer_cut",
            id = self.call.head.attempt,
            endpoint = answer.attempt.placement.endpoint,
            request = self.call.request_key(),
            parts = self.call.shared_parts,
            why = reason
        );
        Some(answer.attempt.placement.endpoint.clone())
    }

    /// Ends the answer as incomplete, with an error after the parts sent so far.
    fn fail_with(&mut self, cx: &Context<'_>, err: BodyError) {
        // If the error were returned at once, the server would drop parts that it has not written
        // yet.
        self.pending_error = Some(err);
        cx.waker().wake_by_ref();
    }

    /// Ends an answer that no endpoint goes on with.
    fn cut(&mut self, cx: &Context<'_>, err: BodyError) {
        self.summary.mark_cut();
        self.fail_with(cx, err);
    }

    /// Continues a truncated answer elsewhere, or ends it as incomplete.
    fn end_truncated(
        &mut self,
        cx: &Context<'_>,
        cause: CutCause,
        reason: &dyn Display,
        err: BodyError,
    ) {
        if !self.resume_after_migration() && !self.try_resume(cause, reason) {
            self.cut(cx, err);
        }
    }

    /// Returns why the stream is incomplete although its body ended without an error.
    ///
    /// An endpoint that fails may close its connection in order, and some mark the end of every
    /// body in that way. Then only the events tell a truncated stream from a complete one.
    fn truncation(&self) -> Option<&'static str> {
        let (Source::Endpoint(answer), Some(events)) = (&self.source, &self.events) else {
            return None;
        };
        let is_unmarked = answer.framing == Framing::Close;
        if !events.is_between_events() {
            Some("the stream ended inside an event")
        } else if is_unmarked && !events.has_events() {
            Some("the stream ended with its connection before the first event")
        } else if is_unmarked && self.migration.has_stopped_run() {
            Some("the engine has stopped the run")
        } else {
            None
        }
    }

    fn record_stream_end(&mut self) {
        let Some(events) = &self.events else { return };
        self.summary.set_stream_end(match (events.is_between_events(), events.has_events()) {
            (false, _) => StreamEnd::InsideEvent,
            (true, false) => StreamEnd::NoEvent,
            (true, true) => StreamEnd::AfterEvent,
        });
    }

    fn poll_running(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Source::Endpoint(answer) = &mut self.source else { return Poll::Ready(None) };
            if let Some(check) = &mut answer.end_check {
                let end = ready!(check.as_mut().poll(cx));
                return self.end_unmarked(cx, end);
            }
            if let Some(end) = self.events.as_ref().and_then(EventTracker::hold_end) {
                match self.end_hold(end) {
                    Some(data) => return Poll::Ready(Some(Ok(data))),
                    None => return Poll::Pending,
                }
            }
            let frame = match answer.first.take() {
                Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
                None => Pin::new(&mut answer.body).poll_frame(cx),
            };
            let frame = match frame {
                Poll::Ready(frame) => {
                    answer.record_arrival();
                    frame
                }
                Poll::Pending => {
                    answer.record_pending();
                    // An answer that can't be sent again may still arrive.
                    let may_repeat = self.may_resume && self.call.route.route.kind.may_repeat();
                    return if may_repeat { self.poll_hedge(cx) } else { Poll::Pending };
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    answer.attempt.record_heard();
                    let data = match &mut self.events {
                        Some(events) => events.push(data),
                        None => data,
                    };
                    if data.is_empty() {
                        continue;
                    }
                    self.hedge = None;
                    self.record_part(&data);
                    return Poll::Ready(Some(Ok(data)));
                }
                Some(Err(err)) => {
                    answer.attempt.record_closed_answer();
                    let reason = error_text(&err);
                    self.end_truncated(cx, CutCause::BrokenByEndpoint, &reason, err.into());
                    return Poll::Pending;
                }
                // The engine's reply shows whether the run had finished before. Until then its stream may
                // end anywhere, also with a mark.
                None if self.migration.is_stopping_run() => return Poll::Pending,
                // The engine has stopped the run, so its stream is incomplete even if it ended
                // cleanly.
                None if self.migration.is_copied() => {
                    if !self.resume_after_migration() {
                        self.cut(cx, "the engine has stopped the run".into());
                    }
                    return Poll::Pending;
                }
                None => {
                    self.record_stream_end();
                    if let Some(reason) = self.truncation() {
                        if let Source::Endpoint(answer) = &self.source {
                            answer.attempt.record_closed_answer();
                        }
                        let cause = CutCause::BrokenByEndpoint;
                        self.end_truncated(cx, cause, &reason, reason.into());
                        return Poll::Pending;
                    }
                    let is_checked = self.start_end_check();
                    if !is_checked {
                        self.finish();
                        return Poll::Ready(None);
                    }
                }
            }
        }
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
        if let Some(part) = this.buffered_part.take() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        if let Some(err) = this.pending_error.take() {
            return Poll::Ready(Some(Err(err)));
        }
        if matches!(this.source, Source::Ended) {
            return Poll::Ready(None);
        }
        if this.due.as_mut().poll(cx).is_ready() {
            this.end_undecided();
            if let Source::Endpoint(answer) = &mut this.source {
                answer.attempt.end_late();
            }
            this.source = Source::Ended;
            this.summary.mark_out_of_time();
            return Poll::Ready(Some(Err("the deadline of the call has passed".into())));
        }
        if this.cut_by_stop.as_mut().poll(cx).is_ready() {
            this.end_undecided();
            this.source = Source::Ended;
            this.summary.mark_cut_by_stop();
            this.fail_with(cx, "the entry instance is stopping".into());
            return Poll::Pending;
        }
        this.poll_migration(cx);
        this.poll_preparation(cx);
        loop {
            if matches!(this.source, Source::Resuming(_))
                && let Err(err) = ready!(this.poll_resuming(cx))
            {
                this.cut(cx, err);
                return Poll::Pending;
            }
            match this.poll_running(cx) {
                Poll::Pending if matches!(this.source, Source::Resuming(_)) => {}
                Poll::Pending => return Poll::Pending,
                Poll::Ready(part) => return Poll::Ready(part.map(|part| part.map(Frame::data))),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        if self.buffered_part.is_some() {
            return false;
        }
        match &self.source {
            Source::Endpoint(answer) => self.events.is_none() && answer.body.is_end_stream(),
            Source::Resuming(_) => false,
            Source::Ended => self.pending_error.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Endpoint(answer) if self.events.is_none() && self.buffered_part.is_none() => {
                answer.body.size_hint()
            }
            _ => SizeHint::default(),
        }
    }
}

impl Drop for Relay {
    /// The server stops polling once it has all bytes of the answer's length, so the end is
    /// recorded here.
    fn drop(&mut self) {
        if let Source::Endpoint(answer) = &self.source
            && self.buffered_part.is_none()
            && answer.body.is_end_stream()
            && self.truncation().is_none()
        {
            self.finish();
        }
        if let Some(id) = self.events.as_ref().and_then(EventTracker::last_id) {
            self.summary.set_last_event(id);
        }
    }
}
