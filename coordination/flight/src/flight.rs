//! One request as a pure state machine: from admission to its one answer.

mod cfg;
mod ending;
mod event;
mod resume;
mod search;

use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Name, Promise, keep};
use sill_wire::ErrorCode;
use sill_wire::claim::{ClaimAsk, ClaimOutcome, ClaimVerdict};

pub use self::cfg::{RequestCfg, Weakening};
pub use self::event::{
    Action, AttemptOutcome, ClaimSpec, DropReason, Epoch, Event, Placement, RecomputeCause,
    RequestSpec, ResumePoint, ServiceKind,
};
use crate::lifecycle::{Admitted, Claimed, Dispatched, Lifecycle, Received};

/// When a caller should come back after a refusal that names no time.
const COME_BACK: Millis = Millis(1000);

/// The longest pause before the router is asked again.
const LONGEST_PAUSE: Millis = Millis(1000);

/// One request.
#[derive(Debug)]
pub struct InFlightRequest {
    cfg: RequestCfg,
    spec: RequestSpec,
    stage: Stage,
    attempt: Option<Attempt>,
    epoch: Epoch,
    next: u32,
    search: Option<Search>,
    excluded: Vec<Name>,
    failures: u32,
    kv_from: Option<Placement>,
    caller_gone: bool,
    rng: Rng,
}

#[derive(Debug)]
enum Stage {
    Received(Lifecycle<Received>),
    Admitted(Lifecycle<Admitted>),
    Claimed(Lifecycle<Claimed>),
    Dispatched(Lifecycle<Dispatched>),
    Over,
}

/// The attempt whose chunks are taken.
#[derive(Debug)]
struct Attempt {
    epoch: Epoch,
    place: Placement,
    began: Millis,
    first_token: Option<Millis>,
    heard: Millis,
    tokens: u32,
    stays: bool,
    /// The search that found it.
    search: Search,
    kv_from: Option<Placement>,
}

/// The search for an endpoint.
#[derive(Debug, Clone, Copy)]
struct Search {
    cause: Option<RecomputeCause>,
    since: Millis,
    pause: Millis,
    retry_at: Millis,
}

impl InFlightRequest {
    /// Begins with a request that was read.
    pub fn new(cfg: RequestCfg, spec: RequestSpec, seed: u64) -> Self {
        let stage = Stage::Received(Lifecycle::new(spec.request.clone()));
        Self::at(cfg, spec, stage, 0, seed)
    }

    /// Goes on with a request of another entry instance, of which the caller has `next` tokens.
    /// The first event has to be [`Event::TakenOver`].
    pub fn from_hand_off(cfg: RequestCfg, spec: RequestSpec, next: u32, seed: u64) -> Self {
        let stage = Stage::Dispatched(Lifecycle::from_hand_off(spec.request.clone()));
        Self::at(cfg, spec, stage, next, seed)
    }

    fn at(cfg: RequestCfg, spec: RequestSpec, stage: Stage, next: u32, seed: u64) -> Self {
        Self {
            cfg,
            spec,
            stage,
            attempt: None,
            epoch: Epoch(0),
            next,
            search: None,
            excluded: Vec::new(),
            failures: 0,
            kv_from: None,
            caller_gone: false,
            rng: seeded(seed),
        }
    }

    /// Returns what was asked for.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Returns the index of the next token.
    pub fn next_index(&self) -> u32 {
        self.next
    }

    /// Returns the endpoint that holds its computed tokens.
    pub fn placement(&self) -> Option<&Placement> {
        self.attempt.as_ref().map(|a| &a.place).or(self.kv_from.as_ref())
    }

    /// Returns how many endpoints it was given to.
    pub fn attempts(&self) -> u32 {
        self.epoch.0
    }

    /// Returns whether it has come to its end.
    pub fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Over)
    }

    /// Returns whether a byte of it may have left for an endpoint.
    pub fn may_have_sent(&self) -> bool {
        matches!(&self.stage, Stage::Dispatched(life) if life.may_have_sent() || self.attempt.is_some())
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Millis {
        let retry = self.search.as_ref().map(|s| s.retry_at);
        let stall = self.attempt.as_ref().map(|a| self.stalls_at(a));
        let soonest = [retry, stall].into_iter().flatten().min();
        soonest.map_or(self.spec.deadline, |at| at.min(self.spec.deadline))
    }

    fn stalls_at(&self, attempt: &Attempt) -> Millis {
        if !self.spec.is_idempotent {
            return Millis::MAX;
        }
        match attempt.first_token {
            None => attempt.began + self.cfg.first_token_timeout,
            Some(_) => attempt.heard + self.cfg.token_timeout,
        }
    }

    fn weakened(&self, by: Weakening) -> bool {
        self.cfg.weakening == Some(by)
    }

    fn admitted(&mut self, now: Millis, out: &mut Vec<Action>) {
        let life = match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Received(life) => life,
            stage => {
                self.stage = stage;
                return;
            }
        };
        self.stage = Stage::Admitted(life.admit());
        match &self.spec.claim {
            Some(claim) => out.push(Action::TakeClaim(claim.take_ask())),
            None => self.search(now, None, out),
        }
    }

    fn claimed(&mut self, now: Millis, verdict: ClaimVerdict, out: &mut Vec<Action>) {
        let life = match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Admitted(life) => life,
            stage => {
                self.stage = stage;
                return;
            }
        };
        let verdict = match verdict {
            ClaimVerdict::Taken { .. } if self.weakened(Weakening::IgnoreTaken) => {
                ClaimVerdict::Granted
            }
            ClaimVerdict::Unavailable if self.weakened(Weakening::IgnoreUnavailable) => {
                ClaimVerdict::Granted
            }
            verdict => verdict,
        };
        match verdict {
            ClaimVerdict::Granted => {
                self.stage = Stage::Claimed(life.claim());
                self.search(now, None, out);
            }
            ClaimVerdict::Taken { owner, outcome } => out.push(Action::Attach { owner, outcome }),
            ClaimVerdict::BodyMismatch => {
                let message = "the idempotency key was used with another body";
                out.push(Action::Refuse(life.refuse(ErrorCode::KeyReused, message, None)));
            }
            // The claim may have been taken all the same; it has to be given back, else a resend
            // would find it held by a request that was never sent.
            ClaimVerdict::Unavailable | ClaimVerdict::Done => {
                self.release(out);
                let message = "no quorum of control instances can be reached";
                let refusal = life.refuse(ErrorCode::NoQuorum, message, Some(COME_BACK));
                out.push(Action::Refuse(refusal));
            }
        }
    }

    fn drop_attempt(&mut self, outcome: AttemptOutcome, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if outcome == AttemptOutcome::Cancelled {
            out.push(Action::Cancel { epoch: attempt.epoch });
        }
        out.push(Action::ReleaseEndpoint { endpoint: attempt.place.endpoint, outcome });
    }

    fn is_current(&self, epoch: Epoch) -> bool {
        self.attempt.as_ref().is_some_and(|a| a.epoch == epoch)
    }

    fn token(&mut self, now: Millis, epoch: Epoch, index: u32, out: &mut Vec<Action>) {
        let takes_late = self.weakened(Weakening::ForwardLate) && !self.is_finished();
        if !self.is_current(epoch) && !takes_late {
            out.push(Action::Drop(DropReason::StaleAttempt));
            return;
        }
        if index < self.next && !self.weakened(Weakening::ForwardRepeats) {
            out.push(Action::Drop(DropReason::DuplicateToken));
            return;
        }
        if index > self.next && !self.weakened(Weakening::SkipGaps) {
            self.lost(now, epoch, RecomputeCause::Gap, out);
            return;
        }
        keep!(
            Promise::WholeAnswer,
            self.is_current(epoch),
            "{} would get token {index} of an abandoned attempt",
            self.spec.request
        );
        if let Some(attempt) = &mut self.attempt {
            attempt.heard = now;
            attempt.first_token.get_or_insert(now);
            attempt.tokens += 1;
        }
        self.failures = 0;
        self.next = index + 1;
        out.push(Action::ForwardToken);
    }

    fn done(&mut self, now: Millis, epoch: Epoch, tokens: Option<u32>, out: &mut Vec<Action>) {
        if !self.is_current(epoch) {
            out.push(Action::Drop(DropReason::StaleAttempt));
            return;
        }
        // Tokens that are missing at the very end leave no jump in the indexes.
        if tokens.is_some_and(|tokens| tokens > self.next) && !self.weakened(Weakening::SkipGaps) {
            self.lost(now, epoch, RecomputeCause::Gap, out);
            return;
        }
        self.end(AttemptOutcome::Finished, out);
        out.push(Action::Finish);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.is_finished() {
            return;
        }
        if now >= self.spec.deadline {
            let message = "the deadline passed";
            self.give_up(now, ErrorCode::DeadlinePassed, message, COME_BACK, out);
            return;
        }
        if let Some(attempt) = &self.attempt
            && now >= self.stalls_at(attempt)
        {
            let epoch = attempt.epoch;
            self.lost(now, epoch, RecomputeCause::Stalled, out);
            return;
        }
        if let Some(search) = &mut self.search
            && now >= search.retry_at
        {
            search.retry_at = Millis::MAX;
            self.route(out);
        }
    }
}

impl Machine for InFlightRequest {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Token { epoch, index } => self.token(now, epoch, index, out),
            Event::Admitted => self.admitted(now, out),
            Event::LimitExceeded { retry_after } => {
                let message = "the client account is over its limit";
                self.give_up(now, ErrorCode::LimitReached, message, retry_after, out);
            }
            Event::Claimed(verdict) => self.claimed(now, verdict, out),
            Event::Routed(place) => self.routed(now, place, out),
            Event::NoRoute { deadline, retry_after } => {
                self.no_route(now, deadline, retry_after, out);
            }
            Event::ConnectFailed { epoch } => self.connect_failed(now, epoch, out),
            Event::Rejected { epoch, status } => self.rejected(now, epoch, status, out),
            Event::Done { epoch, tokens } => self.done(now, epoch, tokens, out),
            Event::StreamCut { epoch } if self.weakened(Weakening::EndWithoutMarker) => {
                self.done(now, epoch, None, out);
            }
            Event::StreamCut { epoch } => self.lost(now, epoch, RecomputeCause::Cut, out),
            Event::EndpointLeaving { endpoint, incarnation, time_left } => {
                self.leaving(now, &endpoint, incarnation, time_left, out);
            }
            Event::CallerDisconnected => self.caller_gone(out),
            Event::TakenOver { from: None } if !self.spec.is_idempotent => {
                let message = "the request was handed over while no endpoint ran it";
                self.give_up(now, ErrorCode::OutcomeUnknown, message, COME_BACK, out);
            }
            Event::TakenOver { from } => {
                self.kv_from = from;
                self.search(now, Some(RecomputeCause::HandOff), out);
            }
            Event::Tick => self.tick(now, out),
        }
    }
}

impl ClaimSpec {
    /// Returns the ask that takes the claim.
    pub fn take_ask(&self) -> ClaimAsk {
        ClaimAsk::Take {
            key: self.key.clone(),
            body: self.body.clone(),
            owner: self.owner.clone(),
            retention: self.retention,
        }
    }

    /// Returns the ask that notes the outcome.
    pub fn finish_ask(&self, outcome: ClaimOutcome) -> ClaimAsk {
        ClaimAsk::Finish { key: self.key.clone(), owner: self.owner.clone(), outcome }
    }
}
