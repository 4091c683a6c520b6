//! What the answer to an attempt tells about its endpoint.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use http::{HeaderMap, StatusCode};
use sill_base::{Millis, event};
use sill_dispatch::{AttemptOutcome, BrokenRequest, CallProgress, NextStep, Placement};
use sill_net::h1::Answer;
use sill_rollout::AnswerEnd;
use sill_route::Outcome;
use sill_wire::Load;

use super::{Attempt, LATE_PART, has_time_for_attempt};
use crate::crashes::{self, CrashSign, PROVEN_AFTER};
use crate::dialect::{AnswerClass, InvalidLimit, InvalidPause, LoadReport, ReportedLoad};
use crate::egress::{Destination, Exchange, Via};
use crate::pause_notice;
use crate::rollouts::AnswerWatch;
use crate::serve::Call;
use crate::state::State;
use crate::termination::FinalPhase;

/// Describes the answer of an endpoint that is full, with the load that it reported.
fn rejection_text(status: StatusCode, load: Option<ReportedLoad>) -> String {
    match load {
        Some(ReportedLoad { running, queued, .. }) => {
            format!("{}, {running} running, {queued} queued", status.as_u16())
        }
        None => format!("{}, no load reported", status.as_u16()),
    }
}

impl Attempt {
    /// Checks the head of an answer. Returns the outcome if the answer must not be relayed.
    pub(super) fn check_answer(
        &mut self,
        answer: &Answer,
        progress: &CallProgress,
    ) -> Option<AttemptOutcome> {
        let dialect = &self.state.cfg.dialect;
        let (status, headers) = (answer.response.status(), answer.response.headers());
        if answer.is_new {
            let service = [self.call.pool.service.as_str()];
            self.state.metrics.connects.with_label_values(&service).inc();
        }
        let now = self.state.clock.now();
        let LoadReport { load, invalid } = dialect.load(headers);
        let class = dialect.classify(&self.call.head.attempt, status, headers);
        if !matches!(class, AnswerClass::Improper | AnswerClass::WrongEndpoint) {
            self.record_sign(now);
            let (bound, limit) = (dialect.rejection_bound(headers), dialect.request_limit(headers));
            let mut pool = self.call.pool.pool.lock();
            pool.record_rejection_bound(now, &self.placement, bound);
            match limit {
                Ok(limit) => pool.record_request_limit(now, &self.placement, limit),
                Err(InvalidLimit(named)) => {
                    drop(pool);
                    self.call.pool.log_invalid_limit(&self.placement.endpoint, &named);
                }
            }
        }
        if class != AnswerClass::WrongEndpoint {
            self.record_pause(status, headers);
            self.record_leaving(headers);
        }
        if let Some(reported) = invalid {
            self.call.pool.log_invalid_load(&self.placement.endpoint, &reported);
        }
        if let Some(load) = load.filter(|_| class != AnswerClass::Full) {
            let mut pool = self.call.pool.pool.lock();
            pool.record_load(now, &self.placement, load.running, load.queued);
            pool.record_pace(now, &self.placement, load.pace);
            drop(pool);
            self.call.pool.waiting.wake();
        }
        let status_text = status.as_str();
        match class {
            AnswerClass::Answer => None,
            AnswerClass::Failed => {
                self.count_usage();
                self.end_answer(AnswerEnd::Failed);
                match progress.next_step(AttemptOutcome::Failed) {
                    NextStep::Retry if self.may_be_repeated() => {
                        Some(self.failed(AttemptOutcome::Failed, status_text))
                    }
                    _ => None,
                }
            }
            AnswerClass::Full => {
                self.record_rejection(now, load);
                Some(self.failed(AttemptOutcome::Full, &rejection_text(status, load)))
            }
            AnswerClass::NotRun => Some(self.failed(AttemptOutcome::NotRun, status_text)),
            AnswerClass::WrongEndpoint => {
                self.call.pool.pool.lock().mark_gone(now, &self.placement);
                self.state.egress.forget(self.placement.address);
                let Placement { endpoint, incarnation, .. } = &self.placement;
                self.state.crashes.confirm(endpoint, *incarnation, CrashSign::WrongEndpoint);
                Some(self.failed(AttemptOutcome::WrongEndpoint, status_text))
            }
            AnswerClass::Improper => {
                self.end_answer(AnswerEnd::Failed);
                Some(self.failed(AttemptOutcome::Unknown, "invalid answer"))
            }
        }
    }

    /// Records whether the endpoint says with an answer that it leaves.
    fn record_leaving(&self, headers: &HeaderMap) {
        if !self.state.cfg.dialect.is_leaving(headers) {
            return;
        }
        let now = self.state.clock.now();
        if self.call.pool.pool.lock().record_leaving(now, &self.placement) {
            let service = [self.call.pool.service.as_str()];
            self.state.metrics.leaving_answers.with_label_values(&service).inc();
            event!(
                Info,
                "endpoint_says_it_leaves",
                service = self.call.pool.service,
                endpoint = self.placement.endpoint,
                id = self.call.head.attempt
            );
        }
    }

    /// Records the pause for which the endpoint asks with an answer, also at the entry instance that
    /// carried the request.
    fn record_pause(&self, status: StatusCode, headers: &HeaderMap) {
        let Placement { endpoint, incarnation, .. } = &self.placement;
        let span = match self.state.cfg.dialect.requested_pause(status, headers) {
            Ok(Some(span)) => span,
            Ok(None) => return,
            Err(InvalidPause(named)) => return self.call.pool.log_invalid_pause(endpoint, &named),
        };
        let via = self.via();
        let id = &self.call.head.attempt;
        let via_name = via.map(|via| via.entry.as_str()).unwrap_or_default();
        self.state.record_pause(endpoint, *incarnation, span, (id, via_name));
        if let Some(via) = via {
            pause_notice::send(&self.state, via, endpoint, *incarnation, span);
        }
    }

    fn record_rejection(&mut self, now: Millis, load: Option<ReportedLoad>) {
        let service = [self.call.pool.service.as_str()];
        self.state.metrics.rejections.with_label_values(&service).inc();
        if !std::mem::replace(&mut self.is_over, true) {
            let pace = load.and_then(|load| load.pace);
            let load = load.map(|load| Load {
                running: load.running,
                queued: load.queued,
                ..Load::default()
            });
            let mut pool = self.call.pool.pool.lock();
            pool.record_rejection(now, &self.placement, &self.name, load);
            pool.record_pace(now, &self.placement, pace);
        }
    }

    fn may_be_repeated(&self) -> bool {
        has_time_for_attempt(&self.state, &self.call)
            && self.state.may_retry(&self.call.pool.service)
    }

    pub(super) fn failed(&self, outcome: AttemptOutcome, reason: &str) -> AttemptOutcome {
        let name = format!("{outcome:?}");
        self.state.metrics.attempts.with_label_values(&[&name]).inc();
        event!(
            Warn,
            "attempt_failed",
            id = self.name,
            endpoint = self.placement.endpoint,
            address = self.placement.address,
            request = self.call.request_key(),
            parts = self.call.shared_parts,
            outcome = name,
            why = reason,
            ms = self.state.clock.now() - self.call.received_at
        );
        outcome
    }

    /// Records that its answer is the one that the caller gets.
    pub fn record_chosen(&self) {
        self.watch.iter().for_each(AnswerWatch::record_begun);
    }

    /// The shared state of the entry instance.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// The call that the attempt serves.
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// Returns the tunnel that carries the answer.
    pub fn via(&self) -> Option<&Via> {
        self.exchange.as_ref()?.via()
    }

    /// Returns when the endpoint is known to have run: when it was chosen, or when the own connection to it
    /// was opened, if that was later.
    pub fn ran_at(&self) -> Millis {
        let opened_at = self.exchange.as_ref().map(Exchange::opened_at);
        opened_at.unwrap_or_default().max(self.placed_at)
    }

    /// Ends the request in flight: no more of the answer is awaited from the endpoint.
    pub fn end_exchange(&mut self) {
        self.exchange = None;
    }

    /// Records that a part of the answer arrived, which shows that the path to the endpoint works.
    pub fn record_heard(&self) {
        self.exchange.iter().for_each(Exchange::record_heard);
    }

    /// Records that the process of the endpoint sent a part of the answer at `at` or later.
    pub fn record_sign(&self, at: Millis) {
        self.exchange.iter().for_each(|exchange| exchange.record_sign(at));
    }

    /// Waits until the path is lost on which the answer arrives.
    pub fn wait_until_stuck(&self) -> BoxFuture<'static, ()> {
        match &self.exchange {
            Some(exchange) => exchange.wait_until_stuck(),
            None => Box::pin(std::future::pending()),
        }
    }

    /// Waits for `pause`, and then until that path is lost.
    pub fn wait_until_still_stuck(&self, pause: Millis) -> BoxFuture<'static, ()> {
        match &self.exchange {
            Some(exchange) => exchange.wait_until_still_stuck(pause),
            None => Box::pin(std::future::pending()),
        }
    }

    /// Returns whether the endpoint has announced that it leaves or has ended.
    pub fn has_announced_end(&self) -> bool {
        self.call.pool.pool.lock().has_announced_end(&self.placement)
    }

    /// Returns whether the endpoint has announced its end after its answer ended.
    pub fn has_confirmed_end(&self, ended_at: Millis) -> bool {
        self.call.pool.pool.lock().has_confirmed_end(&self.placement, ended_at)
    }

    /// Returns when the endpoint will be gone, if it has said so.
    pub fn leaves_at(&self) -> Option<Millis> {
        self.call.pool.pool.lock().leaves_at(&self.placement)
    }

    /// Records that the answer has broken off with its connection. Ends at the same time show that the
    /// process of the endpoint has ended.
    pub fn record_closed_answer(&self) {
        let now = self.state.clock.now();
        let to = Destination::from(&self.placement);
        let answer = self.call.head.attempt.clone();
        let key = (to.endpoint.clone(), to.incarnation);
        self.state.stream_ends.record_end(now, key, &answer, now);
        if self.has_announced_end() {
            let state = self.state.clone();
            tokio::spawn(async move { state.report_end(&to, &answer, now).await });
        }
    }

    /// Records that the answer broke off, because the endpoint may have crashed. `began_at` is when
    /// its first part arrived, if one did.
    pub fn record_broken_answer(&self, began_at: Option<Millis>) {
        // An endpoint that leaves ends anyway.
        if !self.call.pool.pool.lock().is_ready(&self.placement.endpoint) {
            return;
        }
        let now = self.state.clock.now();
        let is_proven = began_at.is_some_and(|began_at| now - began_at >= PROVEN_AFTER);
        // A machine or a network that fails takes whatever runs there.
        let is_path_lost = self.state.egress.is_path_lost(self.placement.address);
        let is_suspect = !is_proven && !is_path_lost;
        let prompt = is_suspect.then(|| self.call.shared_parts.clone());
        let request = BrokenRequest { request: self.call.request_key(), prompt };
        crashes::record_broken_answer(&self.state, &self.placement, request);
    }

    /// Records that a part of the answer arrived, for the comparison of versions.
    pub fn record_part(&mut self, now: Millis) {
        self.watch.iter_mut().for_each(|watch| watch.record_part(now));
    }

    /// Counts the answer for the version of its endpoint. Only the first end counts.
    pub fn end_answer(&mut self, end: AnswerEnd) {
        let now = self.state.clock.now();
        self.watch.iter_mut().for_each(|watch| watch.end(now, end));
    }

    /// Counts an answer that broke off. That is no failure of the version if the path is lost, or the
    /// endpoint had announced that it leaves.
    pub fn end_broken(&mut self) {
        let is_excused =
            self.state.egress.is_path_lost(self.placement.address) || self.has_announced_end();
        self.end_answer(if is_excused { AnswerEnd::Abandoned } else { AnswerEnd::Failed });
    }

    /// Counts an answer that was not complete in time.
    pub fn end_late(&mut self) {
        if self.state.egress.is_path_lost(self.placement.address) {
            return self.end_answer(AnswerEnd::Abandoned);
        }
        let now = self.state.clock.now();
        self.watch.iter_mut().for_each(|watch| watch.end_late(now));
    }

    /// Records that the first part of the answer arrived.
    pub fn record_first_part(&self, now: Millis) {
        self.call.pool.pool.lock().record_first_part(now, &self.placement, &self.name);
        let time = now - self.placed_at;
        self.call.pool.waiting.record_first_part(now, &self.call.route.name, time);
    }

    /// Counts the call towards its client account's usage; called when the call starts to run.
    pub fn count_usage(&self) {
        if let Some(account) = &self.call.account {
            self.state.count_usage(&account.name);
        }
    }

    /// Removes the attempt from its endpoint's load. Only the first outcome counts.
    pub fn finish(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.is_over, true) {
            let now = self.state.clock.now();
            self.call.pool.pool.lock().finish_attempt(now, &self.placement, &self.name, outcome);
            self.call.pool.waiting.wake();
        }
    }
}

impl Drop for Attempt {
    /// A caller that disconnects cancels the attempt in any state.
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
        let Call { received_at, due, .. } = *self.call;
        let late_from = due - Millis((due - received_at).0 / LATE_PART);
        let is_stopping = self.state.termination.has_begun(FinalPhase::LastAnswers);
        match self.state.clock.now() >= late_from && !is_stopping {
            true => self.end_late(),
            false => self.end_answer(AnswerEnd::Abandoned),
        }
    }
}
