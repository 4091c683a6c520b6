//! One request as a pure state machine, from admission to its single answer.

mod cfg;
mod ending;
mod event;
mod resume;
mod search;

use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Name, Promise, assert_promise};
use sill_wire::claim::{ClaimAsk, ClaimOutcome, ClaimVerdict};
use sill_wire::{ErrorCode, Software};

pub use self::cfg::{RequestCfg, Weakening};
pub use self::event::{
    Action, AttemptOutcome, ClaimSpec, DropReason, Epoch, Event, Placement, RecomputeCause,
    RequestSpec, ResumePoint, ServiceKind,
};
use crate::lifecycle::{Admitted, Claimed, Dispatched, Lifecycle, Received};

/// `retry_after` of a refusal or failure for which no other component supplied a time.
const DEFAULT_RETRY_AFTER: Millis = Millis(1000);

/// Upper bound of the exponential backoff between two calls to the router, without its jitter.
const MAX_ROUTE_BACKOFF: Millis = Millis(1000);

/// The state machine of one request.
#[derive(Debug)]
pub struct InFlightRequest {
    cfg: RequestCfg,
    spec: RequestSpec,
    stage: Stage,
    attempt: Option<Attempt>,
    epoch: Epoch,
    next_index: u32,
    search: Option<EndpointSearch>,
    excluded_endpoints: Vec<Name>,
    consecutive_failures: u32,
    kv_source: Option<Placement>,
    /// The version that generated the first token.
    software: Option<Software>,
    is_caller_disconnected: bool,
    rng: Rng,
}

#[derive(Debug)]
enum Stage {
    Received(Lifecycle<Received>),
    Admitted(Lifecycle<Admitted>),
    Claimed(Lifecycle<Claimed>),
    Dispatched(Lifecycle<Dispatched>),
    Finished,
}

/// The current attempt; chunks of earlier ones are dropped.
#[derive(Debug)]
struct Attempt {
    epoch: Epoch,
    placement: Placement,
    started_at: Millis,
    first_token_at: Option<Millis>,
    /// Time of the last token, or of the dispatch before the first one.
    last_token_at: Millis,
    tokens: u32,
    /// Whether the attempt runs to its end on an endpoint that is leaving.
    stays_on_endpoint: bool,
    /// The search that found the endpoint.
    search: EndpointSearch,
    kv_source: Option<Placement>,
}

/// The search for the endpoint of the next attempt.
#[derive(Debug, Clone, Copy)]
struct EndpointSearch {
    cause: Option<RecomputeCause>,
    started_at: Millis,
    backoff: Millis,
    /// When to call the router again; `MAX` while its answer is outstanding.
    retry_at: Millis,
}

impl InFlightRequest {
    /// Makes the machine of a request that was read; the first event is [`Event::Admitted`] or
    /// [`Event::LimitExceeded`].
    pub fn new(cfg: RequestCfg, spec: RequestSpec, seed: u64) -> Self {
        let stage = Stage::Received(Lifecycle::new(spec.request.clone()));
        Self::with_stage(cfg, spec, stage, 0, seed)
    }

    /// Makes the machine of a request that another entry instance dispatched and whose caller has
    /// the tokens below `next_index`. The first event must be [`Event::TakenOver`].
    pub fn from_hand_off(cfg: RequestCfg, spec: RequestSpec, next_index: u32, seed: u64) -> Self {
        let stage = Stage::Dispatched(Lifecycle::from_hand_off(spec.request.clone()));
        Self::with_stage(cfg, spec, stage, next_index, seed)
    }

    fn with_stage(
        cfg: RequestCfg,
        spec: RequestSpec,
        stage: Stage,
        next_index: u32,
        seed: u64,
    ) -> Self {
        Self {
            cfg,
            spec,
            stage,
            attempt: None,
            epoch: Epoch(0),
            next_index,
            search: None,
            excluded_endpoints: Vec::new(),
            consecutive_failures: 0,
            kv_source: None,
            software: None,
            is_caller_disconnected: false,
            rng: seeded(seed),
        }
    }

    /// Returns the request and its terms, as they were at admission.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Returns the index of the next token to send to the caller.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Returns the endpoint that holds the KV cache of the tokens so far.
    pub fn placement(&self) -> Option<&Placement> {
        self.attempt.as_ref().map(|a| &a.placement).or(self.kv_source.as_ref())
    }

    /// Sets the version that generated the first token of a request that was handed over.
    pub fn continue_at(&mut self, software: Option<Software>) {
        self.software = software;
    }

    /// Returns the version that generated the first token.
    pub fn software(&self) -> Option<&Software> {
        self.software.as_ref()
    }

    /// Returns the number of attempts dispatched so far.
    pub fn attempts(&self) -> u32 {
        self.epoch.0
    }

    /// Returns whether the request was answered, refused, failed or abandoned.
    pub fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Finished)
    }

    /// Returns whether a byte of the request may have been sent to an endpoint.
    pub fn may_have_sent(&self) -> bool {
        matches!(
            &self.stage,
            Stage::Dispatched(lifecycle) if lifecycle.may_have_sent() || self.attempt.is_some()
        )
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Millis {
        let retry = self.search.as_ref().map(|s| s.retry_at);
        let stall = self.attempt.as_ref().map(|a| self.stall_deadline(a));
        let soonest = [retry, stall].into_iter().flatten().min();
        soonest.map_or(self.spec.deadline, |at| at.min(self.spec.deadline))
    }

    fn stall_deadline(&self, attempt: &Attempt) -> Millis {
        if !self.spec.is_idempotent {
            return Millis::MAX;
        }
        match attempt.first_token_at {
            None => attempt.started_at + self.cfg.first_token_timeout,
            Some(_) => attempt.last_token_at + self.cfg.token_timeout,
        }
    }

    fn has_weakening(&self, weakening: Weakening) -> bool {
        self.cfg.weakening == Some(weakening)
    }

    fn on_admitted(&mut self, now: Millis, out: &mut Vec<Action>) {
        let lifecycle = match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Received(lifecycle) => lifecycle,
            stage => {
                self.stage = stage;
                return;
            }
        };
        self.stage = Stage::Admitted(lifecycle.admit());
        match &self.spec.claim {
            Some(claim) => out.push(Action::TakeClaim(claim.take_ask())),
            None => self.start_search(now, None, out),
        }
    }

    fn on_claim_verdict(&mut self, now: Millis, verdict: ClaimVerdict, out: &mut Vec<Action>) {
        let lifecycle = match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Admitted(lifecycle) => lifecycle,
            stage => {
                self.stage = stage;
                return;
            }
        };
        let verdict = match verdict {
            ClaimVerdict::Taken { .. } if self.has_weakening(Weakening::IgnoreTaken) => {
                ClaimVerdict::Granted
            }
            ClaimVerdict::Unavailable if self.has_weakening(Weakening::IgnoreUnavailable) => {
                ClaimVerdict::Granted
            }
            verdict => verdict,
        };
        match verdict {
            ClaimVerdict::Granted => {
                self.stage = Stage::Claimed(lifecycle.claim());
                self.start_search(now, None, out);
            }
            ClaimVerdict::Taken { owner, outcome } => out.push(Action::Attach { owner, outcome }),
            ClaimVerdict::BodyMismatch => {
                let message = "the idempotency key was used with another body";
                out.push(Action::Refuse(lifecycle.refuse(ErrorCode::KeyReused, message, None)));
            }
            // The claim may have been granted although its verdict is unknown. Unless it is
            // released, a resend finds it held by a request that was never sent.
            ClaimVerdict::Unavailable | ClaimVerdict::Done => {
                self.release_claim(out);
                let message = "no quorum of control instances can be reached";
                let refusal =
                    lifecycle.refuse(ErrorCode::NoQuorum, message, Some(DEFAULT_RETRY_AFTER));
                out.push(Action::Refuse(refusal));
            }
        }
    }

    fn end_attempt(&mut self, outcome: AttemptOutcome, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if outcome == AttemptOutcome::Cancelled {
            out.push(Action::Cancel { epoch: attempt.epoch });
        }
        out.push(Action::ReleaseEndpoint { endpoint: attempt.placement.endpoint, outcome });
    }

    fn is_current(&self, epoch: Epoch) -> bool {
        self.attempt.as_ref().is_some_and(|a| a.epoch == epoch)
    }

    fn on_token(&mut self, now: Millis, epoch: Epoch, index: u32, out: &mut Vec<Action>) {
        let forwards_stale = self.has_weakening(Weakening::ForwardLate) && !self.is_finished();
        if !self.is_current(epoch) && !forwards_stale {
            out.push(Action::Drop(DropReason::StaleAttempt));
            return;
        }
        if index < self.next_index && !self.has_weakening(Weakening::ForwardRepeats) {
            out.push(Action::Drop(DropReason::DuplicateToken));
            return;
        }
        if index > self.next_index && !self.has_weakening(Weakening::SkipGaps) {
            self.on_attempt_lost(now, epoch, RecomputeCause::Gap, out);
            return;
        }
        assert_promise!(
            Promise::WholeAnswer,
            self.is_current(epoch),
            "request {}: token {index} of stale attempt {} would be forwarded",
            self.spec.request,
            epoch.0
        );
        if let Some(attempt) = &mut self.attempt {
            attempt.last_token_at = now;
            attempt.first_token_at.get_or_insert(now);
            attempt.tokens += 1;
            self.software.get_or_insert_with(|| attempt.placement.software.clone());
        }
        self.consecutive_failures = 0;
        self.next_index = index + 1;
        out.push(Action::ForwardToken);
    }

    fn on_done(&mut self, now: Millis, epoch: Epoch, tokens: Option<u32>, out: &mut Vec<Action>) {
        if !self.is_current(epoch) {
            out.push(Action::Drop(DropReason::StaleAttempt));
            return;
        }
        // Tokens missing at the end of an answer leave no gap in the indexes; only the count shows
        // them.
        if tokens.is_some_and(|tokens| tokens > self.next_index)
            && !self.has_weakening(Weakening::SkipGaps)
        {
            self.on_attempt_lost(now, epoch, RecomputeCause::Gap, out);
            return;
        }
        self.finish(AttemptOutcome::Finished, out);
        out.push(Action::Finish);
    }

    fn on_tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.is_finished() {
            return;
        }
        if now >= self.spec.deadline {
            let message = "the deadline passed";
            self.give_up(now, ErrorCode::DeadlinePassed, message, DEFAULT_RETRY_AFTER, out);
            return;
        }
        if let Some(attempt) = &self.attempt
            && now >= self.stall_deadline(attempt)
        {
            let epoch = attempt.epoch;
            self.on_attempt_lost(now, epoch, RecomputeCause::Stalled, out);
            return;
        }
        if let Some(search) = &mut self.search
            && now >= search.retry_at
        {
            search.retry_at = Millis::MAX;
            self.request_route(out);
        }
    }
}

impl Machine for InFlightRequest {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Token { epoch, index } => self.on_token(now, epoch, index, out),
            Event::Admitted => self.on_admitted(now, out),
            Event::LimitExceeded { retry_after } => {
                let message = "the client account is over its limit";
                self.give_up(now, ErrorCode::LimitReached, message, retry_after, out);
            }
            Event::Claimed(verdict) => self.on_claim_verdict(now, verdict, out),
            Event::Routed(placement) => self.on_routed(now, placement, out),
            Event::NoRoute { deadline, retry_after } => {
                self.on_no_route(now, deadline, retry_after, out);
            }
            Event::ConnectFailed { epoch } => self.on_connect_failed(now, epoch, out),
            Event::Rejected { epoch, status } => self.on_rejected(now, epoch, status, out),
            Event::Done { epoch, tokens } => self.on_done(now, epoch, tokens, out),
            Event::StreamCut { epoch } if self.has_weakening(Weakening::EndWithoutMarker) => {
                self.on_done(now, epoch, None, out);
            }
            Event::StreamCut { epoch } => {
                self.on_attempt_lost(now, epoch, RecomputeCause::Cut, out)
            }
            Event::EndpointLeaving { endpoint, incarnation, time_left } => {
                self.on_endpoint_leaving(now, &endpoint, incarnation, time_left, out);
            }
            Event::CallerDisconnected => self.on_caller_disconnected(out),
            Event::TakenOver { from: None } if !self.spec.is_idempotent => {
                let message = "the request was handed over while no endpoint ran it";
                self.give_up(now, ErrorCode::OutcomeUnknown, message, DEFAULT_RETRY_AFTER, out);
            }
            Event::TakenOver { from } => {
                self.kv_source = from;
                self.start_search(now, Some(RecomputeCause::HandOff), out);
            }
            Event::Tick => self.on_tick(now, out),
        }
    }
}

impl ClaimSpec {
    /// Returns the message that takes the claim for its owner.
    pub fn take_ask(&self) -> ClaimAsk {
        ClaimAsk::Take {
            key: self.key.clone(),
            body: self.body.clone(),
            owner: self.owner.clone(),
            retention: self.retention,
        }
    }

    /// Returns the message that records the outcome of the claimed request.
    pub fn finish_ask(&self, outcome: ClaimOutcome) -> ClaimAsk {
        ClaimAsk::Finish { key: self.key.clone(), owner: self.owner.clone(), outcome }
    }
}
