//! Ends of answers that prove nothing.

use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::future::{self, BoxFuture};
use sill_base::{Millis, Name, event};
use sill_dispatch::end_log::may_be_gone;
use sill_dispatch::{AttemptOutcome, EndKind, EndpointCheck, EventTracker, Placement};
use sill_net::h1::{BodyError, Framing, ReusableConnection};
use sill_rollout::AnswerEnd;
use sill_route::Outcome;

use super::{EndpointAnswer, Relay, Resuming, Source};
use crate::cut::{CutCause, NoResumption};
use crate::dispatch::Resumption;
use crate::egress::Destination;
use crate::resume::{self, ResumedEnd};
use crate::state::State;
use crate::stream_end::{self, ANNOUNCED_RESUME_TIME, EndDecision, EndedAnswer, UnmarkedEnd};
use crate::termination::FinalPhase;

/// How long before its deadline, or before the end of the process, a call checks the endpoint of an answer
/// whose end may be in doubt.
const PREPARE_TIME: Millis = Millis(1000);

/// Time to decide about the end of an endpoint that leaves, and then to ask another one.
const LEAVING_TIME: Millis = Millis(1500);

/// Time within which an end is resumed for which there is no endpoint or retry at first. Callers leave after
/// 2 s of silence.
const MAX_RESUME_WAIT: Millis = Millis(1200);

/// Time between two tries to resume it.
const RESUME_INTERVAL: Millis = Millis(100);

/// Least time for the resumption of a stream whose endpoint had announced that it leaves.
const MIN_RESUME_TIME: Millis = Millis(50);

impl EndpointAnswer {
    /// Ends the exchange, and returns the end of the answer. A stream that `may_resume` can go on at another
    /// endpoint.
    fn end(&mut self, is_stream: bool, is_held: bool, may_resume: bool) -> EndedAnswer {
        let ended_at = self.attempt.state().clock.now();
        self.ended_at = Some(ended_at);
        let via = self.attempt.via().cloned();
        let ran_at = self.attempt.ran_at();
        // The endpoint isn't silent while the end is held.
        self.attempt.end_exchange();
        EndedAnswer {
            to: Destination::from(&self.attempt.placement),
            via,
            answer: self.attempt.call().head.attempt.clone(),
            kind: match (is_stream, self.attempt.has_announced_end()) {
                (true, true) => EndKind::LeavingStream,
                (true, false) => EndKind::Stream,
                (false, _) => EndKind::Plain,
            },
            placed_at: self.attempt.placed_at,
            ran_at,
            ended_at,
            due: self.attempt.call().due,
            is_held,
            may_resume,
            pool: self.attempt.call().pool.clone(),
            placement: self.attempt.placement.clone(),
        }
    }

    /// Finds out whether the marked end of a resumption is the one that its endpoint meant: a process that
    /// ends may mark the ends of what it is sending.
    pub fn check_marked_end(&mut self) -> BoxFuture<'static, bool> {
        let connection = self.connection.take();
        if self.framing != Framing::Chunked {
            connection.into_iter().for_each(ReusableConnection::release);
            return Box::pin(future::ready(true));
        }
        let (state, ended) = (self.attempt.state().clone(), self.end(true, false, false));
        Box::pin(async move {
            !stream_end::check_mark(state, ended, connection).await.decision.is_doubt()
        })
    }

    /// Returns the decision about an end that nothing proves, if the endpoint had announced that it leaves: it
    /// completes its answers, unless it is gone by then or other answers ended at the same time.
    fn announced_end(&self, has_other_end: bool) -> Option<EndDecision> {
        let ended_at = self.ended_at?;
        if !self.attempt.has_announced_end() {
            None
        } else if self.attempt.has_confirmed_end(ended_at) {
            Some(EndDecision::Confirmed)
        } else if has_other_end || may_be_gone(self.attempt.leaves_at(), ended_at) {
            None
        } else {
            Some(EndDecision::Announced)
        }
    }
}

impl Relay {
    /// Checks the endpoint once in the last second, if the end of its answer may be in doubt: later it has to
    /// reply on a connection from before the end.
    pub(super) fn poll_preparation(&mut self, cx: &mut Context<'_>) {
        let Some(last_second) = &mut self.last_second else { return };
        let Source::Endpoint(answer) = &self.source else { return };
        let closes = match answer.framing {
            Framing::Close => true,
            Framing::Chunked => self.events.is_some() && answer.connection.is_none(),
            _ => false,
        };
        if !closes || answer.end_check.is_some() || last_second.as_mut().poll(cx).is_pending() {
            return;
        }
        self.last_second = None;
        let to = Destination::from(&answer.attempt.placement);
        let via = answer.attempt.via().cloned();
        tokio::spawn(self.state.clone().prepare_end_check(to, via));
    }

    /// Starts to check whether the answer is whole, if its end proves nothing. A stream's end may be
    /// late, as all events were passed on; the end of a plain answer completes it for its caller.
    pub(super) fn start_end_check(&mut self) -> bool {
        let may_resume = self.may_resume_after_end();
        let Source::Endpoint(answer) = &mut self.source else { return false };
        let (framing, is_stream) = (answer.framing, self.events.is_some());
        let is_marked = match (framing, is_stream) {
            (Framing::Close, _) => false,
            // A process that ends may mark the ends of what it is sending.
            (Framing::Chunked, true) => true,
            _ => return false,
        };
        let connection = answer.connection.take();
        let ended = answer.end(is_stream, self.is_held, may_resume);
        self.summary.set_ended(ended.ended_at);
        if is_stream {
            // The endpoint has room for another call while the end is held.
            answer.attempt.finish(Outcome::Finished);
        }
        // What it has announced is believed only if another one has nothing to add, and there is no time to
        // ask that one later.
        let time_left = self.state.decide_by(ended.due, ended.is_held) - ended.ended_at;
        let asks_now = ended.kind == EndKind::LeavingStream && time_left < LEAVING_TIME;
        let resumption = match is_marked && !asks_now {
            true => None,
            false => {
                let resumption = self.end_resumption(&ended.to.endpoint, !asks_now);
                self.summary.set_not_resumed(resumption.as_ref().err().copied());
                resumption.ok()
            }
        };
        let state = self.state.clone();
        let endpoint: BoxFuture<'static, UnmarkedEnd> = match is_marked {
            true => Box::pin(stream_end::check_mark(state.clone(), ended.clone(), connection)),
            false => Box::pin(state.clone().decide_unmarked(ended.clone())),
        };
        let check = stream_end::decide(state, ended, endpoint, resumption);
        if let Source::Endpoint(answer) = &mut self.source {
            answer.end_check = Some(Box::pin(check));
        }
        true
    }

    /// Returns whether the stream may be sent to one more endpoint, now that it has ended at this one.
    fn may_resume_after_end(&self) -> bool {
        let mut progress = self.progress;
        progress.time_left = self.call.due - self.state.clock.now();
        self.may_repeat(&progress).is_ok()
    }

    /// Resumes a stream that may be whole, if a resumption can show it. It isn't sent to the endpoint
    /// that closed the stream, which would take the only repeat along if it ends. With `may_skip`, few are
    /// resumed while resumptions show nothing new.
    fn end_resumption(
        &self,
        endpoint: &Name,
        may_skip: bool,
    ) -> Result<Resuming<ResumedEnd>, NoResumption> {
        // The attempt that runs goes on if the stream turns out to be short.
        if self.hedge.is_some() {
            return Err(NoResumption::TriedElsewhere);
        }
        let mut progress = self.progress;
        progress.time_left = self.call.due - self.state.clock.now();
        self.may_repeat(&progress)?;
        let last_event = self.events.as_ref().and_then(EventTracker::last_id);
        let last_event = last_event.ok_or(NoResumption::NoEventId)?.to_owned();
        progress.record(AttemptOutcome::Unknown);
        // A retry is taken only if it can be sent.
        let attempt = self.place_elsewhere(progress, endpoint)?;
        let service = &self.call.pool.service;
        if may_skip && !self.state.stream_ends.may_resume(service) {
            return Err(NoResumption::Skipped);
        }
        if !self.state.may_retry(service) {
            return Err(NoResumption::Budget);
        }
        let resumption = Resumption { last_event: Some(last_event.clone()), memory: None };
        let resuming = resume::resume_at(attempt, progress, resumption);
        Ok(Box::pin(async move { resume::check_end(resuming, &last_event).await }))
    }

    /// Ends an answer whose end proves nothing. If its endpoint isn't shown to run on, it may have
    /// crashed before the end of the answer.
    pub(super) fn end_unmarked(
        &mut self,
        cx: &Context<'_>,
        end: UnmarkedEnd,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        let was_resumed_in_vain = end.was_resumed_in_vain();
        let UnmarkedEnd { mut decision, has_asked_other, has_other_end, .. } = end;
        if decision.is_doubt()
            && !matches!(decision, EndDecision::CarrierNotShown)
            && let Source::Endpoint(answer) = &self.source
            && let Some(announced) = answer.announced_end(has_other_end)
        {
            decision = announced;
        }
        if matches!(decision, EndDecision::Announced) && !has_asked_other {
            if self.resume_announced(cx, has_other_end) {
                return Poll::Pending;
            }
            // Its endpoints break off, and its caller can resume it where this instance can't.
            if self.progress.possible_runs > 0 && self.is_resumable() {
                decision = EndDecision::NotShown(EndpointCheck::Silent);
            }
        }
        if has_asked_other {
            let reason =
                if was_resumed_in_vain { NoResumption::Failed } else { NoResumption::Late };
            self.summary.set_not_resumed(Some(reason));
        }
        self.record_unmarked_end(&decision, has_other_end);
        if has_asked_other {
            self.summary.record_failed_resume();
        }
        let service = self.call.pool.service.clone();
        match decision {
            EndDecision::Proven(_)
            | EndDecision::Whole
            | EndDecision::Marked
            | EndDecision::Confirmed
            | EndDecision::Announced => {
                if was_resumed_in_vain {
                    self.state.stream_ends.record_resumed(&service, false);
                }
                self.finish();
                Poll::Ready(None)
            }
            EndDecision::NotShown(_) => {
                if has_asked_other {
                    self.progress.record(AttemptOutcome::Unknown);
                }
                let reason =
                    "its answer ended with its connection, and the endpoint was not shown to run";
                self.end_truncated(cx, CutCause::EndNotProven, &reason, reason.into());
                Poll::Pending
            }
            EndDecision::CarrierNotShown => {
                if has_asked_other {
                    self.progress.record(AttemptOutcome::Unknown);
                }
                self.abandon_answer();
                let reason = "the instance that carried its answer was not shown to run";
                self.end_truncated(cx, CutCause::CarrierNotShown, &reason, reason.into());
                Poll::Pending
            }
            EndDecision::NoTime => {
                self.abandon_answer();
                self.summary.set_cut_by(CutCause::NoTime);
                // Nothing ends the call before its deadline or the end of the process.
                if let Source::Endpoint(answer) = &mut self.source {
                    answer.end_check = Some(Box::pin(future::pending()));
                }
                Poll::Pending
            }
            EndDecision::Continued(answer) => {
                self.state.stream_ends.record_resumed(&service, true);
                self.end_broken(
                    CutCause::EndNotProven,
                    &"its answer had no marked end, and another endpoint goes on with it",
                );
                self.progress.record(AttemptOutcome::Unknown);
                self.events.iter_mut().for_each(EventTracker::restart);
                self.source = Source::Resuming(Box::pin(future::ready(Ok(answer))));
                Poll::Pending
            }
        }
    }

    /// Returns whether the answer is a stream that goes on after the last event that its caller received,
    /// if it is resumed.
    fn is_resumable(&self) -> bool {
        let can_resume = |events: &EventTracker| events.can_resume() && events.last_id().is_some();
        self.may_resume
            && self.call.route.route.kind.may_repeat()
            && self.events.as_ref().is_some_and(can_resume)
    }

    /// Ends an answer of which neither the endpoint nor its version has failed.
    fn abandon_answer(&mut self) {
        if let Source::Endpoint(answer) = &mut self.source {
            answer.attempt.end_answer(AnswerEnd::Abandoned);
        }
    }

    /// Resumes a stream whose endpoint had announced that it leaves, before its end counts as whole without
    /// a proof. Returns whether it does, or tries again.
    fn resume_announced(&mut self, cx: &Context<'_>, has_other_end: bool) -> bool {
        let wait = self.state.resume_time(ANNOUNCED_RESUME_TIME, self.call.due, self.is_held);
        let now = self.state.clock.now();
        let Source::Endpoint(answer) = &mut self.source else { return false };
        if std::mem::replace(&mut answer.is_resumed_at_end, true) {
            return false;
        }
        let held = now - answer.ended_at.unwrap_or(now);
        let endpoint = answer.attempt.placement.endpoint.clone();
        let resumption = match wait < MIN_RESUME_TIME {
            true => Err(NoResumption::NoTime),
            false => self.end_resumption(&endpoint, false),
        };
        self.summary.set_not_resumed(resumption.as_ref().err().copied());
        let Source::Endpoint(answer) = &mut self.source else { return false };
        let check: BoxFuture<'static, UnmarkedEnd> = match resumption {
            Ok(resumption) => {
                Box::pin(stream_end::resume_announced(resumption, wait, has_other_end))
            }
            Err(reason) if reason.may_pass() && held < MAX_RESUME_WAIT => {
                answer.is_resumed_at_end = false;
                Box::pin(stream_end::announced_later(RESUME_INTERVAL, has_other_end))
            }
            Err(_) => return false,
        };
        answer.end_check = Some(check);
        cx.waker().wake_by_ref();
        true
    }

    /// Records that the call or the process ends before it is decided about the end of the answer.
    pub(super) fn end_undecided(&mut self) {
        if self.summary.is_end_undecided() {
            self.summary.set_cut_by(CutCause::NoTime);
            self.record_unmarked_end(&EndDecision::NoTime, false);
        }
    }

    fn record_unmarked_end(&mut self, decision: &EndDecision, has_other_end: bool) {
        let Source::Endpoint(answer) = &self.source else { return };
        let ended_at = answer.ended_at.unwrap_or_default();
        if let Some(proof) = decision.proof() {
            let after = match decision {
                EndDecision::Proven(proof) => Some(proof.at - ended_at),
                _ => None,
            };
            self.summary.set_proof(proof, after);
        }
        if matches!(decision, EndDecision::Marked) {
            return;
        }
        let attempt = &answer.attempt;
        let Placement { endpoint, incarnation, .. } = &attempt.placement;
        let now = self.state.clock.now();
        let held = now - ended_at;
        let leaves = attempt.leaves_at().map(|at| at.0 as i64 - ended_at.0 as i64);
        let leaves = leaves.map(|left| left.to_string()).unwrap_or_default();
        let result = decision.name();
        self.summary.set_end_check(result);
        self.state.metrics.unmarked_ends.with_label_values(&[result]).inc();
        let level = if decision.is_doubt() { log::Level::Warn } else { log::Level::Info };
        let stop_left = self.state.planned_stop.ends_at().map(|at| (at - now).to_string());
        let stop_left = stop_left.unwrap_or_default();
        event!(
            (level),
            "unmarked_end",
            id = self.call.head.attempt,
            endpoint = endpoint,
            born = incarnation.0,
            stream = self.events.is_some(),
            framing = answer.framing.name(),
            last_event = self.events.as_ref().and_then(EventTracker::last_id).unwrap_or_default(),
            held_ms = held,
            announced = attempt.has_announced_end(),
            leaves_ms = leaves,
            other_end = has_other_end,
            left_ms = self.call.due - now,
            stop_left_ms = stop_left,
            not_resumed = self.summary.not_resumed(),
            proof = decision.proof().unwrap_or_default(),
            result = result
        );
        if decision.is_unproven() {
            event!(
                Warn,
                "end_unproven",
                id = self.call.head.attempt,
                endpoint = endpoint,
                born = incarnation.0,
                framing = answer.framing.name(),
                held_ms = held,
                leaves_ms = leaves,
                proof = decision.proof().unwrap_or_default()
            );
        }
    }
}

/// Waits until little time is left to a call whose deadline passes after `time_left`, or to the process.
pub(super) async fn last_second(state: Arc<State>, time_left: Millis) {
    let stopping = async {
        state.termination.wait_for(FinalPhase::Stopping).await;
        let ends_at = state.planned_stop.ends_at().unwrap_or(Millis::MAX);
        tokio::time::sleep((ends_at - PREPARE_TIME - state.clock.now()).into()).await;
    };
    tokio::select! {
        () = tokio::time::sleep((time_left - PREPARE_TIME).into()) => {}
        () = stopping => {}
    }
}
