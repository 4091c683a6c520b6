//! Has other endpoints continue streams.

use std::fmt::Display;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::FutureExt;
use sill_base::{Name, event};
use sill_dispatch::{AttemptOutcome, CallProgress, EventTracker, HoldEnd, NextStep};
use sill_net::h1::BodyError;
use sill_route::Outcome;
use sill_wire::Software;

use super::{EndpointAnswer, HEDGE_INTERVAL, Relay, Resuming, Source, is_movable};
use crate::cut::{CutCause, NoResumption};
use crate::dispatch::{self, Attempt, Resumption};
use crate::hedge::{Hedge, HedgeEnd};
use crate::migration::RunMigration;
use crate::resume::{self, NotResumed};

impl Relay {
    /// Continues a run at the engine that has its KV cache, after its old stream broke off. Returns
    /// whether it does.
    pub(super) fn resume_after_migration(&mut self) -> bool {
        let Some(transfer) = self.migration.take() else { return false };
        self.summary.set_cut_by(CutCause::RunNotMoved);
        let previous = std::mem::replace(&mut self.source, Source::Ended);
        if let Source::Endpoint(mut answer) = previous {
            answer.attempt.finish(Outcome::Cancelled);
        }
        let may_resume = self.may_resume;
        let events = self.events.as_mut().filter(|events| may_resume && events.can_resume());
        let Some(events) = events else { return false };
        events.restart();
        let last_event = events.last_id().map(str::to_owned);
        let progress = self.progress;
        self.source = Source::Resuming(Box::pin(async move {
            let run = transfer.finish().await.ok_or(NotResumed::NotSent)?;
            let resumption = Resumption { last_event, memory: Some(run.memory) };
            resume::resume_at(run.attempt, progress, resumption).await
        }));
        true
    }

    /// Ends an attempt whose answer broke off, and resumes the stream elsewhere if allowed. Returns
    /// whether it does.
    pub(super) fn try_resume(&mut self, cause: CutCause, reason: &dyn Display) -> bool {
        let Some(endpoint) = self.end_broken(cause, reason) else { return false };
        if let Some(hedge) = self.hedge.take() {
            self.follow(hedge);
            return true;
        }
        self.progress.time_left = self.call.due - self.state.clock.now();
        let refusal = self.refusal();
        self.progress.record(AttemptOutcome::Unknown);
        self.summary.set_not_resumed(refusal);
        if !self.may_resume {
            return false;
        }
        let Some(events) = &mut self.events else { return false };
        events.restart();
        if let Some(reason) = refusal {
            let why = match reason {
                NoResumption::Budget => "retry budget used up",
                _ => "it may not be repeated",
            };
            event!(
                Warn,
                "stream_not_resumed",
                id = self.call.head.attempt,
                why = why,
                not_resumed = reason.name()
            );
            return false;
        }
        self.source = Source::Resuming(self.resume_elsewhere(self.progress, endpoint));
        true
    }

    /// Returns why the stream must not be sent to another endpoint; takes a retry if it may be.
    fn refusal(&self) -> Option<NoResumption> {
        let refusal = self.may_send_elsewhere().err();
        refusal.or_else(|| {
            (!self.state.may_retry(&self.call.pool.service)).then_some(NoResumption::Budget)
        })
    }

    fn may_send_elsewhere(&self) -> Result<(), NoResumption> {
        self.may_repeat(&self.progress)?;
        // A stream that has started is resumed even if it may outlast the process: otherwise it
        // would be cut now. One without a first event can still be answered with a failure, and its
        // caller may retry elsewhere.
        let has_time = self.has_begun || dispatch::has_time_for_attempt(&self.state, &self.call);
        if has_time { Ok(()) } else { Err(NoResumption::NoTime) }
    }

    /// Returns whether the stream may be sent to one more endpoint after these attempts.
    pub(super) fn may_repeat(&self, progress: &CallProgress) -> Result<(), NoResumption> {
        if !self.may_resume || !self.call.route.route.kind.may_repeat() {
            Err(NoResumption::NotRepeatable)
        } else if !self.events.as_ref().is_some_and(EventTracker::can_resume) {
            Err(NoResumption::NoEventId)
        } else if progress.next_step(AttemptOutcome::Unknown) != NextStep::Retry {
            Err(NoResumption::AttemptsUsed)
        } else if dispatch::is_blocked(&self.state, &self.call) {
            Err(NoResumption::Blocked)
        } else {
            Ok(())
        }
    }

    /// Makes an attempt at another endpoint while the connection to the present one is read on.
    fn start_hedge(&mut self) {
        let Source::Endpoint(answer) = &self.source else { return };
        let endpoint = answer.attempt.placement.endpoint.clone();
        let Some(resuming) = self.send_elsewhere(&endpoint) else { return };
        let Some(events) = self.events.as_ref().map(EventTracker::of_continuation) else { return };
        event!(Info, "stream_tried_elsewhere", id = self.call.head.attempt, endpoint = endpoint);
        self.hedge = Some(Hedge::new(resuming, events));
    }

    /// Sends the stream to an endpoint other than `from`, to continue it after its last event, if it may
    /// be sent again and there is one with room. Takes a retry only if it can be sent.
    fn send_elsewhere(&mut self, from: &Name) -> Option<Resuming<EndpointAnswer>> {
        self.progress.time_left = self.call.due - self.state.clock.now();
        if self.may_send_elsewhere().is_err() {
            return None;
        }
        let mut progress = self.progress;
        progress.record(AttemptOutcome::Unknown);
        let attempt = self.place_elsewhere(progress, from).ok()?;
        if !self.state.may_retry(&self.call.pool.service) {
            return None;
        }
        self.progress = progress;
        let last_event = self.events.as_ref().and_then(EventTracker::last_id).map(str::to_owned);
        let resumption = Resumption { last_event, memory: None };
        Some(Box::pin(async move { resume::resume_at(attempt, progress, resumption).await }))
    }

    /// Chooses another endpoint that may go on with the stream, if there is one with room.
    pub(super) fn place_elsewhere(
        &self,
        progress: CallProgress,
        from: &Name,
    ) -> Result<Attempt, NoResumption> {
        let (state, call) = (&self.state, &self.call);
        let (now, software) = (state.clock.now(), self.needed_software(from));
        let (exclude, attempts) = ([from.clone()], progress.attempts());
        let placed = dispatch::try_to_place(state, call, now, &exclude, attempts, software);
        placed.map_err(|refusal| NoResumption::Refused(refusal.reason))
    }

    /// Lets another endpoint continue the stream.
    fn follow(&mut self, hedge: Hedge) {
        let (resuming, events) = hedge.into_parts();
        self.events = Some(events);
        self.source = Source::Resuming(resuming);
    }

    fn begin_continuation(&mut self, answer: EndpointAnswer) {
        self.summary.record_resume(&answer.attempt.placement);
        self.summary.set_framing(answer.framing);
        self.summary.set_via(answer.attempt.via());
        if is_movable(&self.call) {
            self.migration = RunMigration::of(&answer.attempt);
        }
        self.source = Source::Endpoint(answer);
    }

    /// Tries other endpoints while the path to the present one is lost, and goes on at one that sends
    /// an event first. A silence ends no answer: its connection may be sound.
    pub(super) fn poll_hedge(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            if let Some(hedge) = &mut self.hedge {
                match ready!(hedge.poll(cx)) {
                    HedgeEnd::Continued(data) => {
                        self.switch_to_hedge(cx);
                        self.record_part(&data);
                        return Poll::Ready(Some(Ok(data)));
                    }
                    HedgeEnd::Whole => {
                        self.switch_to_hedge(cx);
                        self.finish();
                        return Poll::Ready(None);
                    }
                    HedgeEnd::Failed(NotResumed::Sent) => self.summary.record_failed_resume(),
                    HedgeEnd::Failed(NotResumed::NotSent) => {
                        self.progress.possible_runs -= 1;
                        self.progress.record(AttemptOutcome::NotSent);
                    }
                }
                self.hedge = None;
            }
            let Source::Endpoint(answer) = &mut self.source else { return Poll::Pending };
            ready!(Pin::new(&mut answer.stuck).poll(cx));
            answer.stuck = answer.attempt.wait_until_still_stuck(HEDGE_INTERVAL).fuse();
            self.start_hedge();
        }
    }

    /// Goes on with the answer of the second attempt, whose head has arrived.
    fn switch_to_hedge(&mut self, cx: &mut Context<'_>) {
        self.end_broken(CutCause::PathLost, &"the network path to the endpoint is lost");
        if let Some(hedge) = self.hedge.take() {
            self.follow(hedge);
            let _ = self.poll_resuming(cx);
        }
    }

    /// Has another endpoint continue a stream whose present event can't be held back any longer, of
    /// which its caller has nothing yet. Where none can, the caller gets what is held: the event may be
    /// sound.
    pub(super) fn end_hold(&mut self, end: HoldEnd) -> Option<Bytes> {
        let Source::Endpoint(answer) = &self.source else { return None };
        let endpoint = answer.attempt.placement.endpoint.clone();
        let held = self.events.as_ref().map_or(0, EventTracker::held_bytes);
        let is_moved = end == HoldEnd::TooLong && self.take_elsewhere(&endpoint);
        let next = if is_moved { "other_endpoint" } else { "passed_on" };
        self.state.metrics.ended_holds.with_label_values(&[end.name(), next]).inc();
        event!(
            Warn,
            "event_not_held",
            id = self.call.head.attempt,
            endpoint = endpoint,
            why = end.name(),
            held_bytes = held,
            budget_used = self.state.buffers.used(),
            next = next
        );
        if is_moved {
            return None;
        }
        let data = self.events.as_mut().map(EventTracker::release)?;
        self.record_part(&data);
        Some(data)
    }

    /// Gives up the present endpoint for another one that continues the stream; returns false if there
    /// is none.
    fn take_elsewhere(&mut self, endpoint: &Name) -> bool {
        let continuation = match self.hedge.take() {
            Some(hedge) => Some(hedge.into_parts()),
            None => self.send_elsewhere(endpoint).map(|resuming| {
                let events = self.events.as_ref().map(EventTracker::of_continuation);
                (resuming, events.unwrap_or_else(EventTracker::pass_through))
            }),
        };
        let Some((resuming, events)) = continuation else { return false };
        self.end_broken(CutCause::EventTooLong, &"an event of the stream is too long");
        self.events = Some(events);
        self.source = Source::Resuming(resuming);
        true
    }

    /// Has another endpoint of the version that began the stream continue it.
    fn resume_elsewhere(&self, progress: CallProgress, from: Name) -> Resuming<EndpointAnswer> {
        let last_event = self.events.as_ref().and_then(EventTracker::last_id).map(str::to_owned);
        let software = self.needed_software(&from);
        let parts = (self.state.clone(), self.call.clone());
        Box::pin(resume::resume(parts, progress, from, software, last_event))
    }

    /// Returns the version whose endpoints may go on with the stream of an endpoint.
    fn needed_software(&self, from: &Name) -> Option<Software> {
        match self.call.pool.pool.lock().is_ambiguous(from) {
            true => Some(Software::AMBIGUOUS),
            false => self.software.clone(),
        }
    }

    pub(super) fn poll_resuming(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        let Source::Resuming(resuming) = &mut self.source else { return Poll::Ready(Ok(())) };
        match ready!(resuming.as_mut().poll(cx)) {
            Ok(answer) => {
                self.begin_continuation(answer);
                Poll::Ready(Ok(()))
            }
            Err(failure) => {
                if failure == NotResumed::Sent {
                    self.summary.record_failed_resume();
                }
                self.summary.set_not_resumed(Some(failure.into()));
                self.source = Source::Ended;
                Poll::Ready(Err("no other endpoint resumed the stream".into()))
            }
        }
    }
}
