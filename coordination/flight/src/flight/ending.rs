//! How attempts and requests end.

use sill_base::{Millis, Promise, keep};
use sill_wire::ErrorCode;
use sill_wire::claim::{ClaimAsk, ClaimOutcome};

use super::cfg::Weakening;
use super::event::{Action, AttemptOutcome, DropReason, Epoch, RecomputeCause, ServiceKind};
use super::{COME_BACK, InFlightRequest, Stage};

impl InFlightRequest {
    pub(super) fn release(&self, out: &mut Vec<Action>) {
        if let Some(claim) = &self.spec.claim {
            out.push(Action::SettleClaim(ClaimAsk::Release {
                key: claim.key.clone(),
                owner: claim.owner.clone(),
            }));
        }
    }

    pub(super) fn end(&mut self, how: AttemptOutcome, out: &mut Vec<Action>) {
        if let Stage::Dispatched(life) = std::mem::replace(&mut self.stage, Stage::Over) {
            let _answered = life.answer();
        }
        self.search = None;
        self.drop_attempt(how, out);
    }

    /// Ends an attempt whose bytes may have left, and goes on elsewhere where that is allowed.
    pub(super) fn lost(
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
        if cause == RecomputeCause::Cut && self.weakened(Weakening::CutIsUnsent) {
            self.connect_failed(now, epoch, out);
            return;
        }
        self.exclude_current();
        let gone = cause == RecomputeCause::Cut || cause == RecomputeCause::Rejected;
        let how = if gone { AttemptOutcome::Failed } else { AttemptOutcome::Cancelled };
        self.drop_attempt(how, out);
        self.kv_from = None;
        self.mark_left();
        if !self.spec.is_idempotent && !self.weakened(Weakening::RepeatNonIdempotent) {
            let message = "the request was sent once, and its answer was lost";
            self.give_up(now, ErrorCode::OutcomeUnknown, message, COME_BACK, out);
            return;
        }
        self.failed(now, Some(cause), out);
    }

    pub(super) fn mark_left(&mut self) {
        self.stage = match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Dispatched(life) => Stage::Dispatched(life.mark_sent()),
            stage => stage,
        };
    }

    /// Ends the request for good, at once.
    pub(super) fn give_up(
        &mut self,
        now: Millis,
        code: ErrorCode,
        message: &str,
        retry_after: Millis,
        out: &mut Vec<Action>,
    ) {
        let retry = Some(retry_after);
        let searched = self.search.take().map_or(Millis::ZERO, |s| now.since(s.since));
        self.drop_attempt(AttemptOutcome::Cancelled, out);
        match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Received(life) => out.push(Action::Refuse(life.refuse(code, message, retry))),
            // A claim that was asked for may be taken all the same.
            Stage::Admitted(life) => {
                self.release(out);
                out.push(Action::Refuse(life.refuse(code, message, retry)));
            }
            Stage::Claimed(life) => {
                self.release(out);
                out.push(Action::Refuse(life.refuse(code, message, retry)));
            }
            Stage::Dispatched(life) => {
                keep!(
                    Promise::AcceptedSurvives,
                    !self.spec.is_idempotent
                        || now >= self.spec.deadline
                        || searched >= self.cfg.route_timeout
                        || self.failures >= self.cfg.max_failures,
                    "{} was given up: {message}",
                    self.spec.request
                );
                self.settle(ClaimOutcome::Unknown, out);
                out.push(Action::Fail(life.fail(code, message, retry)));
            }
            Stage::Over => {}
        }
    }

    pub(super) fn settle(&self, outcome: ClaimOutcome, out: &mut Vec<Action>) {
        if let Some(claim) = &self.spec.claim {
            out.push(Action::SettleClaim(claim.finish_ask(outcome)));
        }
    }

    pub(super) fn rejected(
        &mut self,
        now: Millis,
        epoch: Epoch,
        status: u16,
        out: &mut Vec<Action>,
    ) {
        let elsewhere = match self.spec.kind {
            ServiceKind::Model => status >= 500 || status == 429,
            ServiceKind::Plain => (502..=504).contains(&status),
        };
        let may_retry = self.spec.is_idempotent && self.failures + 1 < self.cfg.max_failures;
        let lost_run = !self.spec.is_idempotent && self.next > 0;
        if !self.is_current(epoch) || (elsewhere && may_retry) || lost_run {
            self.lost(now, epoch, RecomputeCause::Rejected, out);
            return;
        }
        self.end(AttemptOutcome::Finished, out);
        out.push(Action::ForwardError);
    }

    pub(super) fn caller_gone(&mut self, out: &mut Vec<Action>) {
        self.caller_gone = true;
        let runs = matches!(self.stage, Stage::Dispatched(_));
        if self.is_finished() || (self.spec.is_keyed && runs) {
            return;
        }
        match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Claimed(_) | Stage::Admitted(_) => self.release(out),
            Stage::Dispatched(_) => self.settle(ClaimOutcome::Unknown, out),
            Stage::Received(_) | Stage::Over => {}
        }
        self.search = None;
        self.drop_attempt(AttemptOutcome::Cancelled, out);
        out.push(Action::Abandon);
    }
}
