//! The search for an endpoint, and what a new attempt begins with.

use rand::Rng as _;
use sill_base::{Millis, Promise, keep};
use sill_wire::ErrorCode;

use super::cfg::Weakening;
use super::event::{Action, AttemptOutcome, Epoch, Placement, RecomputeCause};
use super::{Attempt, COME_BACK, InFlightRequest, LONGEST_PAUSE, Search, Stage};
use crate::lifecycle::ConnectFailureState;

impl InFlightRequest {
    pub(super) fn search(
        &mut self,
        now: Millis,
        cause: Option<RecomputeCause>,
        out: &mut Vec<Action>,
    ) {
        let pause = self.cfg.min_route_backoff;
        // Until the router has answered there is nothing to try again.
        let retry_at = Millis::MAX;
        self.search = Some(Search { cause, since: now, pause, retry_at });
        self.route(out);
    }

    /// Goes on with a search whose endpoint could not be reached.
    fn search_on(&mut self, now: Millis, search: Search, out: &mut Vec<Action>) {
        self.search = Some(Search { retry_at: Millis::MAX, ..search });
        if now.since(search.since) >= self.cfg.route_timeout {
            let message = "no endpoint can go on with the request";
            self.give_up(now, ErrorCode::NoCapacity, message, COME_BACK, out);
            return;
        }
        self.route(out);
    }

    pub(super) fn route(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Route {
            exclude: self.excluded.clone(),
            prompt_tokens: self.spec.prompt_tokens + u64::from(self.next),
            max_tokens: self.spec.max_tokens.saturating_sub(self.next),
        });
    }

    pub(super) fn no_route(
        &mut self,
        now: Millis,
        deadline: bool,
        retry_after: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(search) = &mut self.search else {
            return;
        };
        // An endpoint that failed once is better than none.
        self.excluded.clear();
        if let Some(attempt) = &self.attempt {
            self.excluded.push(attempt.place.endpoint.clone());
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
        // Pauses differ, so that the requests of a lost failure domain don't all come back at once.
        let jitter = self.rng.random_range(0..=search.pause.0);
        search.retry_at = now + search.pause + Millis(jitter);
        search.pause = (search.pause * 2).min(LONGEST_PAUSE);
        let waited = now.since(search.since) >= self.cfg.route_timeout;
        let lost = self.attempt.is_none();
        if lost && (waited || self.weakened(Weakening::NoPatience)) {
            let message = "no endpoint can go on with the request";
            self.give_up(now, ErrorCode::NoCapacity, message, retry_after, out);
        }
    }

    pub(super) fn routed(&mut self, now: Millis, place: Placement, out: &mut Vec<Action>) {
        let Some(search) = self.search.take() else {
            // The answer became whole while the router was asked.
            out.push(Action::ReleaseEndpoint {
                endpoint: place.endpoint,
                outcome: AttemptOutcome::Cancelled,
            });
            return;
        };
        let life = match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Admitted(life) => life.dispatch(),
            Stage::Claimed(life) => life.dispatch(),
            Stage::Dispatched(life)
                if self.attempt.is_some() && !self.weakened(Weakening::MoveIsUnsent) =>
            {
                life.mark_sent()
            }
            Stage::Dispatched(life) => life,
            stage @ (Stage::Received(_) | Stage::Over) => {
                self.stage = stage;
                return;
            }
        };
        let resume = self.resume_at(&life, &place, search.cause, out);
        keep!(
            Promise::AtMostOnce,
            self.spec.is_idempotent
                || !life.may_have_sent()
                || resume.as_ref().is_some_and(|r| r.is_same_run),
            "{} would be sent to {} as well",
            self.spec.request,
            place.endpoint
        );
        self.drop_attempt(AttemptOutcome::Cancelled, out);
        self.stage = Stage::Dispatched(life);
        self.epoch.0 += 1;
        let epoch = self.epoch;
        self.attempt = Some(Attempt {
            epoch,
            place: place.clone(),
            began: now,
            first_token: None,
            heard: now,
            tokens: 0,
            stays: false,
            search,
            kv_from: resume.as_ref().and_then(|r| r.kv_source.clone()),
        });
        out.push(Action::Dispatch { epoch, placement: place, resume });
    }

    pub(super) fn connect_failed(&mut self, now: Millis, epoch: Epoch, out: &mut Vec<Action>) {
        if !self.is_current(epoch) {
            return;
        }
        self.exclude_current();
        let attempt = self.attempt.as_ref();
        let search = attempt.map(|a| a.search);
        // Nothing was moved, so the next attempt can still import from the same source.
        self.kv_from = attempt.and_then(|a| a.kv_from.clone());
        self.drop_attempt(AttemptOutcome::Failed, out);
        self.stage = match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Dispatched(life) => match life.revert_failed_connect() {
                ConnectFailureState::Admitted(life) => Stage::Admitted(life),
                ConnectFailureState::Claimed(life) => Stage::Claimed(life),
                ConnectFailureState::Dispatched(life) => Stage::Dispatched(life),
            },
            stage => stage,
        };
        // Dead endpoints look free until their lease ends. While the live ones are full, a request
        // that was accepted would be sent to one dead endpoint after the other and be given up
        // within a second; that nothing ran there must not count against it.
        match search.filter(|_| matches!(self.stage, Stage::Dispatched(_))) {
            Some(search) => self.search_on(now, search, out),
            None => self.failed(now, search.and_then(|s| s.cause), out),
        }
    }

    pub(super) fn exclude_current(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if !self.excluded.contains(&attempt.place.endpoint) {
            self.excluded.push(attempt.place.endpoint.clone());
        }
    }

    pub(super) fn failed(
        &mut self,
        now: Millis,
        cause: Option<RecomputeCause>,
        out: &mut Vec<Action>,
    ) {
        self.failures += 1;
        if self.failures >= self.cfg.max_failures {
            let message = "one endpoint after the other failed the request";
            self.give_up(now, ErrorCode::UpstreamFailed, message, COME_BACK, out);
            return;
        }
        self.search(now, cause, out);
    }
}
