//! The search for an endpoint, and the dispatch of a new attempt.

use rand::Rng as _;
use sill_base::{Millis, Promise, assert_promise};
use sill_wire::ErrorCode;

use super::cfg::Weakening;
use super::event::{Action, AttemptOutcome, Epoch, Placement, RecomputeCause};
use super::{
    Attempt, DEFAULT_RETRY_AFTER, EndpointSearch, InFlightRequest, MAX_ROUTE_BACKOFF, Stage,
};
use crate::lifecycle::ConnectFailureState;

impl InFlightRequest {
    pub(super) fn start_search(
        &mut self,
        now: Millis,
        cause: Option<RecomputeCause>,
        out: &mut Vec<Action>,
    ) {
        let backoff = self.cfg.min_route_backoff;
        // No retry is due until the router has answered.
        let retry_at = Millis::MAX;
        self.search = Some(EndpointSearch { cause, started_at: now, backoff, retry_at });
        self.request_route(out);
    }

    /// Resumes a search whose endpoint refused the connection; its start time and backoff stay.
    fn continue_search(&mut self, now: Millis, search: EndpointSearch, out: &mut Vec<Action>) {
        self.search = Some(EndpointSearch { retry_at: Millis::MAX, ..search });
        if now.since(search.started_at) >= self.cfg.route_timeout {
            let message = "no endpoint can go on with the request";
            self.give_up(now, ErrorCode::NoCapacity, message, DEFAULT_RETRY_AFTER, out);
            return;
        }
        self.request_route(out);
    }

    pub(super) fn request_route(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Route {
            exclude: self.excluded_endpoints.clone(),
            prompt_tokens: self.spec.prompt_tokens + u64::from(self.next_index),
            max_tokens: self.spec.max_tokens.saturating_sub(self.next_index),
            software: self.software.clone(),
        });
    }

    pub(super) fn on_no_route(
        &mut self,
        now: Millis,
        deadline: bool,
        retry_after: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(search) = &mut self.search else {
            return;
        };
        // An endpoint that failed before is better than none.
        self.excluded_endpoints.clear();
        if let Some(attempt) = &self.attempt {
            self.excluded_endpoints.push(attempt.placement.endpoint.clone());
        }
        if !matches!(self.stage, Stage::Dispatched(_)) {
            let (code, message) = if deadline {
                (ErrorCode::DeadlineUnmeetable, "no endpoint can meet the deadline")
            } else {
                (ErrorCode::NoCapacity, "no endpoint can take the request now")
            };
            self.give_up(now, code, message, retry_after, out);
            return;
        }
        // The jitter keeps the requests of a lost failure domain from retrying all at once.
        let jitter = self.rng.random_range(0..=search.backoff.0);
        search.retry_at = now + search.backoff + Millis(jitter);
        search.backoff = (search.backoff * 2).min(MAX_ROUTE_BACKOFF);
        let is_timed_out = now.since(search.started_at) >= self.cfg.route_timeout;
        let has_no_attempt = self.attempt.is_none();
        if has_no_attempt && (is_timed_out || self.has_weakening(Weakening::NoPatience)) {
            let message = "no endpoint can go on with the request";
            self.give_up(now, ErrorCode::NoCapacity, message, retry_after, out);
        }
    }

    pub(super) fn on_routed(&mut self, now: Millis, placement: Placement, out: &mut Vec<Action>) {
        let Some(search) = self.search.take() else {
            // The request ended while the router was choosing.
            out.push(Action::ReleaseEndpoint {
                endpoint: placement.endpoint,
                outcome: AttemptOutcome::Cancelled,
            });
            return;
        };
        let lifecycle = match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Admitted(lifecycle) => lifecycle.dispatch(),
            Stage::Claimed(lifecycle) => lifecycle.dispatch(),
            Stage::Dispatched(lifecycle)
                if self.attempt.is_some() && !self.has_weakening(Weakening::MoveIsUnsent) =>
            {
                lifecycle.mark_sent()
            }
            Stage::Dispatched(lifecycle) => lifecycle,
            stage @ (Stage::Received(_) | Stage::Finished) => {
                self.stage = stage;
                return;
            }
        };
        let resume = self.resume_point(&lifecycle, &placement, search.cause, out);
        assert_promise!(
            Promise::AtMostOnce,
            self.spec.is_idempotent
                || !lifecycle.may_have_sent()
                || resume.as_ref().is_some_and(|r| r.is_same_run),
            "non-idempotent request {} would be sent to a second endpoint, {}",
            self.spec.request,
            placement.endpoint
        );
        self.end_attempt(AttemptOutcome::Cancelled, out);
        self.stage = Stage::Dispatched(lifecycle);
        self.epoch.0 += 1;
        let epoch = self.epoch;
        self.attempt = Some(Attempt {
            epoch,
            placement: placement.clone(),
            started_at: now,
            first_token_at: None,
            last_token_at: now,
            tokens: 0,
            stays_on_endpoint: false,
            search,
            kv_source: resume.as_ref().and_then(|r| r.kv_source.clone()),
        });
        out.push(Action::Dispatch { epoch, placement, resume });
    }

    pub(super) fn on_connect_failed(&mut self, now: Millis, epoch: Epoch, out: &mut Vec<Action>) {
        if !self.is_current(epoch) {
            return;
        }
        self.exclude_current_endpoint();
        let attempt = self.attempt.as_ref();
        let search = attempt.map(|a| a.search);
        // The KV cache was not transferred, so the next attempt can import from the same source.
        self.kv_source = attempt.and_then(|a| a.kv_source.clone());
        self.end_attempt(AttemptOutcome::Failed, out);
        self.stage = match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Dispatched(lifecycle) => match lifecycle.revert_failed_connect() {
                ConnectFailureState::Admitted(lifecycle) => Stage::Admitted(lifecycle),
                ConnectFailureState::Claimed(lifecycle) => Stage::Claimed(lifecycle),
                ConnectFailureState::Dispatched(lifecycle) => Stage::Dispatched(lifecycle),
            },
            stage => stage,
        };
        // A dead endpoint looks free until its lease expires. While the live ones are full, an
        // accepted request is sent to one dead endpoint after another; if each connect failure
        // counted as a failed attempt, the request would fail within a second although nothing ran.
        match search.filter(|_| matches!(self.stage, Stage::Dispatched(_))) {
            Some(search) => self.continue_search(now, search, out),
            None => self.retry_or_fail(now, search.and_then(|s| s.cause), out),
        }
    }

    pub(super) fn exclude_current_endpoint(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if !self.excluded_endpoints.contains(&attempt.placement.endpoint) {
            self.excluded_endpoints.push(attempt.placement.endpoint.clone());
        }
    }

    pub(super) fn retry_or_fail(
        &mut self,
        now: Millis,
        cause: Option<RecomputeCause>,
        out: &mut Vec<Action>,
    ) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= self.cfg.max_failures {
            let message = "one endpoint after the other failed the request";
            self.give_up(now, ErrorCode::UpstreamFailed, message, DEFAULT_RETRY_AFTER, out);
            return;
        }
        self.start_search(now, cause, out);
    }
}
