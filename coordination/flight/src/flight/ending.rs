//! How attempts and requests end.

use sill_base::{Millis, Promise, assert_promise};
use sill_wire::ErrorCode;
use sill_wire::claim::{ClaimAsk, ClaimOutcome};

use super::cfg::Weakening;
use super::event::{Action, AttemptOutcome, DropReason, Epoch, RecomputeCause, ServiceKind};
use super::{DEFAULT_RETRY_AFTER, InFlightRequest, Stage};

impl InFlightRequest {
    pub(super) fn release_claim(&self, out: &mut Vec<Action>) {
        if let Some(claim) = &self.spec.claim {
            out.push(Action::SettleClaim(ClaimAsk::Release {
                key: claim.key.clone(),
                owner: claim.owner.clone(),
            }));
        }
    }

    pub(super) fn finish(&mut self, outcome: AttemptOutcome, out: &mut Vec<Action>) {
        if let Stage::Dispatched(lifecycle) = std::mem::replace(&mut self.stage, Stage::Finished) {
            let _answered = lifecycle.answer();
        }
        self.search = None;
        self.end_attempt(outcome, out);
    }

    /// Ends an attempt of which bytes may have been sent, and retries where that is allowed.
    pub(super) fn on_attempt_lost(
        &mut self,
        now: Millis,
        epoch: Epoch,
        cause: RecomputeCause,
        out: &mut Vec<Action>,
    ) {
        if !self.is_current(epoch) {
            out.push(Action::Drop(DropReason::StaleAttempt));
            return;
        }
        if cause == RecomputeCause::Cut && self.has_weakening(Weakening::CutIsUnsent) {
            self.on_connect_failed(now, epoch, out);
            return;
        }
        self.exclude_current_endpoint();
        let is_endpoint_failure = cause == RecomputeCause::Cut || cause == RecomputeCause::Rejected;
        let outcome =
            if is_endpoint_failure { AttemptOutcome::Failed } else { AttemptOutcome::Cancelled };
        self.end_attempt(outcome, out);
        self.kv_source = None;
        self.mark_sent();
        if !self.spec.is_idempotent && !self.has_weakening(Weakening::RepeatNonIdempotent) {
            let message = "the request was sent once, and its answer was lost";
            self.give_up(now, ErrorCode::OutcomeUnknown, message, DEFAULT_RETRY_AFTER, out);
            return;
        }
        self.retry_or_fail(now, Some(cause), out);
    }

    pub(super) fn mark_sent(&mut self) {
        self.stage = match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Dispatched(lifecycle) => Stage::Dispatched(lifecycle.mark_sent()),
            stage => stage,
        };
    }

    /// Refuses the request if nothing was sent yet, and fails it otherwise. It is not retried.
    pub(super) fn give_up(
        &mut self,
        now: Millis,
        code: ErrorCode,
        message: &str,
        retry_after: Millis,
        out: &mut Vec<Action>,
    ) {
        let retry = Some(retry_after);
        let search_time = self.search.take().map_or(Millis::ZERO, |s| now.since(s.started_at));
        self.end_attempt(AttemptOutcome::Cancelled, out);
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Received(lifecycle) => {
                out.push(Action::Refuse(lifecycle.refuse(code, message, retry)))
            }
            // The claim may have been granted although its verdict has not arrived.
            Stage::Admitted(lifecycle) => {
                self.release_claim(out);
                out.push(Action::Refuse(lifecycle.refuse(code, message, retry)));
            }
            Stage::Claimed(lifecycle) => {
                self.release_claim(out);
                out.push(Action::Refuse(lifecycle.refuse(code, message, retry)));
            }
            Stage::Dispatched(lifecycle) => {
                assert_promise!(
                    Promise::AcceptedSurvives,
                    !self.spec.is_idempotent
                        || now >= self.spec.deadline
                        || search_time >= self.cfg.route_timeout
                        || self.consecutive_failures >= self.cfg.max_failures,
                    "idempotent request {} failed early, after {} failed attempts and a search of \
                     {search_time} ms: {message}",
                    self.spec.request,
                    self.consecutive_failures
                );
                self.settle_claim(ClaimOutcome::Unknown, out);
                out.push(Action::Fail(lifecycle.fail(code, message, retry)));
            }
            Stage::Finished => {}
        }
    }

    pub(super) fn settle_claim(&self, outcome: ClaimOutcome, out: &mut Vec<Action>) {
        if let Some(claim) = &self.spec.claim {
            out.push(Action::SettleClaim(claim.finish_ask(outcome)));
        }
    }

    pub(super) fn on_rejected(
        &mut self,
        now: Millis,
        epoch: Epoch,
        status: u16,
        out: &mut Vec<Action>,
    ) {
        let is_retryable = match self.spec.kind {
            ServiceKind::Model => status >= 500 || status == 429,
            ServiceKind::Plain => (502..=504).contains(&status),
        };
        let may_retry =
            self.spec.is_idempotent && self.consecutive_failures + 1 < self.cfg.max_failures;
        let is_partial_run = !self.spec.is_idempotent && self.next_index > 0;
        if !self.is_current(epoch) || (is_retryable && may_retry) || is_partial_run {
            self.on_attempt_lost(now, epoch, RecomputeCause::Rejected, out);
            return;
        }
        self.finish(AttemptOutcome::Finished, out);
        out.push(Action::ForwardError);
    }

    pub(super) fn on_caller_disconnected(&mut self, out: &mut Vec<Action>) {
        self.is_caller_disconnected = true;
        let is_dispatched = matches!(self.stage, Stage::Dispatched(_));
        if self.is_finished() || (self.spec.is_keyed && is_dispatched) {
            return;
        }
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Claimed(_) | Stage::Admitted(_) => self.release_claim(out),
            Stage::Dispatched(_) => self.settle_claim(ClaimOutcome::Unknown, out),
            Stage::Received(_) | Stage::Finished => {}
        }
        self.search = None;
        self.end_attempt(AttemptOutcome::Cancelled, out);
        out.push(Action::Abandon);
    }
}
