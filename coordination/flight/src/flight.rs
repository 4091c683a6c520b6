//! One request as a pure state machine: from admission to its one answer.

mod cfg;
mod event;
mod resume;

use rand::Rng as _;
use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Name, Promise, keep};
use sill_wire::ErrorCode;
use sill_wire::claim::{ClaimAsk, ClaimOutcome, ClaimVerdict};

pub use self::cfg::{FlightCfg, Weakening};
pub use self::event::{
    Action, Cause, Claimant, Dropped, Ending, Epoch, Event, Kind, Place, ResumeAt, Spec,
};
use crate::life::{Admitted, AfterConnect, Claimed, Dispatched, Life, Received};

/// When a caller should come back after a refusal that names no time.
const COME_BACK: Millis = Millis(1000);

/// The longest pause before the router is asked again.
const LONGEST_PAUSE: Millis = Millis(1000);

/// One request.
#[derive(Debug)]
pub struct Flight {
    cfg: FlightCfg,
    spec: Spec,
    stage: Stage,
    attempt: Option<Attempt>,
    epoch: Epoch,
    next: u32,
    search: Option<Search>,
    excluded: Vec<Name>,
    failures: u32,
    kv_from: Option<Place>,
    caller_gone: bool,
    rng: Rng,
}

#[derive(Debug)]
enum Stage {
    Received(Life<Received>),
    Admitted(Life<Admitted>),
    Claimed(Life<Claimed>),
    Dispatched(Life<Dispatched>),
    Over,
}

/// The attempt whose chunks are taken.
#[derive(Debug)]
struct Attempt {
    epoch: Epoch,
    place: Place,
    began: Millis,
    first_token: Option<Millis>,
    heard: Millis,
    tokens: u32,
    stays: bool,
    cause: Option<Cause>,
    kv_from: Option<Place>,
}

/// The search for an endpoint.
#[derive(Debug)]
struct Search {
    cause: Option<Cause>,
    since: Millis,
    pause: Millis,
    retry_at: Millis,
}

impl Flight {
    /// Begins with a request that was read.
    pub fn new(cfg: FlightCfg, spec: Spec, seed: u64) -> Self {
        let stage = Stage::Received(Life::received(spec.request.clone()));
        Self::at(cfg, spec, stage, 0, seed)
    }

    /// Goes on with a request of another entry instance, of which the caller has `next` tokens.
    /// The first event has to be [`Event::TakenOver`].
    pub fn taken_over(cfg: FlightCfg, spec: Spec, next: u32, seed: u64) -> Self {
        let stage = Stage::Dispatched(Life::taken_over(spec.request.clone()));
        Self::at(cfg, spec, stage, next, seed)
    }

    fn at(cfg: FlightCfg, spec: Spec, stage: Stage, next: u32, seed: u64) -> Self {
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
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the index of the next token.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Returns the endpoint that holds its computed tokens.
    pub fn place(&self) -> Option<&Place> {
        self.attempt.as_ref().map(|a| &a.place).or(self.kv_from.as_ref())
    }

    /// Returns whether it has come to its end.
    pub fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Over)
    }

    /// Returns whether a byte of it may have left for an endpoint.
    pub fn was_sent(&self) -> bool {
        matches!(&self.stage, Stage::Dispatched(life) if life.has_left() || self.attempt.is_some())
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Millis {
        let retry = self.search.as_ref().map(|s| s.retry_at);
        let stall = self.attempt.as_ref().map(|a| self.stalls_at(a));
        let soonest = [retry, stall].into_iter().flatten().min();
        soonest.map_or(self.spec.deadline, |at| at.min(self.spec.deadline))
    }

    fn stalls_at(&self, attempt: &Attempt) -> Millis {
        if !self.spec.idempotent {
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
            Some(claim) => out.push(Action::Claim(claim.take())),
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

    fn release(&self, out: &mut Vec<Action>) {
        if let Some(claim) = &self.spec.claim {
            out.push(Action::Settle(ClaimAsk::Release {
                key: claim.key.clone(),
                owner: claim.owner.clone(),
            }));
        }
    }

    fn search(&mut self, now: Millis, cause: Option<Cause>, out: &mut Vec<Action>) {
        let pause = self.cfg.route_pause;
        // Until the router has answered there is nothing to try again.
        let retry_at = Millis::MAX;
        self.search = Some(Search { cause, since: now, pause, retry_at });
        self.route(out);
    }

    fn route(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Route {
            exclude: self.excluded.clone(),
            prompt_tokens: self.spec.prompt_tokens + u64::from(self.next),
            max_tokens: self.spec.max_tokens.saturating_sub(self.next),
        });
    }

    fn no_route(
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
        let waited = now.since(search.since) >= self.cfg.route_patience;
        let lost = self.attempt.is_none();
        if lost && (waited || self.weakened(Weakening::NoPatience)) {
            let message = "no endpoint can go on with the request";
            self.give_up(now, ErrorCode::NoCapacity, message, retry_after, out);
        }
    }

    fn routed(&mut self, now: Millis, place: Place, out: &mut Vec<Action>) {
        let Some(search) = self.search.take() else {
            // The answer became whole while the router was asked.
            out.push(Action::Ended { endpoint: place.endpoint, how: Ending::Cancelled });
            return;
        };
        let life = match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Admitted(life) => life.dispatch(),
            Stage::Claimed(life) => life.dispatch(),
            Stage::Dispatched(life)
                if self.attempt.is_some() && !self.weakened(Weakening::MoveIsUnsent) =>
            {
                life.attempt_over()
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
            self.spec.idempotent || !life.has_left() || resume.as_ref().is_some_and(|r| r.same_run),
            "{} would be sent to {} as well",
            self.spec.request,
            place.endpoint
        );
        self.drop_attempt(Ending::Cancelled, out);
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
            cause: search.cause,
            kv_from: resume.as_ref().and_then(|r| r.kv_from.clone()),
        });
        out.push(Action::Dispatch { epoch, place, resume });
    }

    fn drop_attempt(&mut self, how: Ending, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if how == Ending::Cancelled {
            out.push(Action::Cancel { epoch: attempt.epoch });
        }
        out.push(Action::Ended { endpoint: attempt.place.endpoint, how });
    }

    fn is_current(&self, epoch: Epoch) -> bool {
        self.attempt.as_ref().is_some_and(|a| a.epoch == epoch)
    }

    fn token(&mut self, now: Millis, epoch: Epoch, index: u32, out: &mut Vec<Action>) {
        let takes_late = self.weakened(Weakening::ForwardLate) && !self.is_over();
        if !self.is_current(epoch) && !takes_late {
            out.push(Action::Drop(Dropped::Late));
            return;
        }
        if index < self.next && !self.weakened(Weakening::ForwardRepeats) {
            out.push(Action::Drop(Dropped::Repeat));
            return;
        }
        if index > self.next && !self.weakened(Weakening::SkipGaps) {
            self.lost(now, epoch, Cause::Gap, out);
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
        out.push(Action::Forward);
    }

    fn done(&mut self, now: Millis, epoch: Epoch, tokens: Option<u32>, out: &mut Vec<Action>) {
        if !self.is_current(epoch) {
            out.push(Action::Drop(Dropped::Late));
            return;
        }
        // Tokens that are missing at the very end leave no jump in the indexes.
        if tokens.is_some_and(|tokens| tokens > self.next) && !self.weakened(Weakening::SkipGaps) {
            self.lost(now, epoch, Cause::Gap, out);
            return;
        }
        self.end(Ending::Finished, out);
        out.push(Action::Finish);
    }

    fn end(&mut self, how: Ending, out: &mut Vec<Action>) {
        if let Stage::Dispatched(life) = std::mem::replace(&mut self.stage, Stage::Over) {
            let _answered = life.answer();
        }
        self.search = None;
        self.drop_attempt(how, out);
    }

    fn connect_failed(&mut self, now: Millis, epoch: Epoch, out: &mut Vec<Action>) {
        if !self.is_current(epoch) {
            return;
        }
        self.exclude_current();
        let attempt = self.attempt.as_ref();
        let cause = attempt.and_then(|a| a.cause);
        // Nothing was moved, so the next attempt can still import from the same source.
        self.kv_from = attempt.and_then(|a| a.kv_from.clone());
        self.drop_attempt(Ending::Failed, out);
        self.stage = match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Dispatched(life) => match life.not_connected() {
                AfterConnect::Admitted(life) => Stage::Admitted(life),
                AfterConnect::Claimed(life) => Stage::Claimed(life),
                AfterConnect::Dispatched(life) => Stage::Dispatched(life),
            },
            stage => stage,
        };
        self.failed(now, cause, out);
    }

    /// Ends an attempt whose bytes may have left, and goes on elsewhere where that is allowed.
    fn lost(&mut self, now: Millis, epoch: Epoch, cause: Cause, out: &mut Vec<Action>) {
        if !self.is_current(epoch) {
            out.push(Action::Drop(Dropped::Late));
            return;
        }
        if cause == Cause::Cut && self.weakened(Weakening::CutIsUnsent) {
            self.connect_failed(now, epoch, out);
            return;
        }
        self.exclude_current();
        let gone = cause == Cause::Cut || cause == Cause::Rejected;
        let how = if gone { Ending::Failed } else { Ending::Cancelled };
        self.drop_attempt(how, out);
        self.kv_from = None;
        self.mark_left();
        if !self.spec.idempotent && !self.weakened(Weakening::RepeatNonIdempotent) {
            let message = "the request was sent once, and its answer was lost";
            self.give_up(now, ErrorCode::OutcomeUnknown, message, COME_BACK, out);
            return;
        }
        self.failed(now, Some(cause), out);
    }

    fn mark_left(&mut self) {
        self.stage = match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Dispatched(life) => Stage::Dispatched(life.attempt_over()),
            stage => stage,
        };
    }

    fn exclude_current(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if !self.excluded.contains(&attempt.place.endpoint) {
            self.excluded.push(attempt.place.endpoint.clone());
        }
    }

    fn failed(&mut self, now: Millis, cause: Option<Cause>, out: &mut Vec<Action>) {
        self.failures += 1;
        if self.failures >= self.cfg.max_failures {
            let message = "one endpoint after the other failed the request";
            self.give_up(now, ErrorCode::UpstreamFailed, message, COME_BACK, out);
            return;
        }
        self.search(now, cause, out);
    }

    /// Ends the request for good, at once.
    fn give_up(
        &mut self,
        now: Millis,
        code: ErrorCode,
        message: &str,
        retry_after: Millis,
        out: &mut Vec<Action>,
    ) {
        let retry = Some(retry_after);
        let searched = self.search.take().map_or(Millis::ZERO, |s| now.since(s.since));
        self.drop_attempt(Ending::Cancelled, out);
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
                    !self.spec.idempotent
                        || now >= self.spec.deadline
                        || searched >= self.cfg.route_patience
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

    fn settle(&self, outcome: ClaimOutcome, out: &mut Vec<Action>) {
        if let Some(claim) = &self.spec.claim {
            out.push(Action::Settle(claim.finish(outcome)));
        }
    }

    fn rejected(&mut self, now: Millis, epoch: Epoch, status: u16, out: &mut Vec<Action>) {
        let elsewhere = match self.spec.kind {
            Kind::Model => status >= 500 || status == 429,
            Kind::Plain => (502..=504).contains(&status),
        };
        let may_retry = self.spec.idempotent && self.failures + 1 < self.cfg.max_failures;
        let lost_run = !self.spec.idempotent && self.next > 0;
        if !self.is_current(epoch) || (elsewhere && may_retry) || lost_run {
            self.lost(now, epoch, Cause::Rejected, out);
            return;
        }
        self.end(Ending::Finished, out);
        out.push(Action::PassOn);
    }

    fn caller_gone(&mut self, out: &mut Vec<Action>) {
        self.caller_gone = true;
        let runs = matches!(self.stage, Stage::Dispatched(_));
        if self.is_over() || (self.spec.keyed && runs) {
            return;
        }
        match std::mem::replace(&mut self.stage, Stage::Over) {
            Stage::Claimed(_) | Stage::Admitted(_) => self.release(out),
            Stage::Dispatched(_) => self.settle(ClaimOutcome::Unknown, out),
            Stage::Received(_) | Stage::Over => {}
        }
        self.search = None;
        self.drop_attempt(Ending::Cancelled, out);
        out.push(Action::Abandon);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.is_over() {
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
            self.lost(now, epoch, Cause::Stalled, out);
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

impl Machine for Flight {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Token { epoch, index } => self.token(now, epoch, index, out),
            Event::Admitted => self.admitted(now, out),
            Event::Limited { retry_after } => {
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
            Event::Cut { epoch } if self.weakened(Weakening::EndWithoutMarker) => {
                self.done(now, epoch, None, out);
            }
            Event::Cut { epoch } => self.lost(now, epoch, Cause::Cut, out),
            Event::Leaving { endpoint, incarnation, left } => {
                self.leaving(now, &endpoint, incarnation, left, out);
            }
            Event::CallerGone => self.caller_gone(out),
            Event::TakenOver { from: None } if !self.spec.idempotent => {
                let message = "the request was handed over while no endpoint ran it";
                self.give_up(now, ErrorCode::OutcomeUnknown, message, COME_BACK, out);
            }
            Event::TakenOver { from } => {
                self.kv_from = from;
                self.search(now, Some(Cause::HandOff), out);
            }
            Event::Tick => self.tick(now, out),
        }
    }
}

impl Claimant {
    /// Returns the ask that takes the claim.
    pub fn take(&self) -> ClaimAsk {
        ClaimAsk::Take {
            key: self.key.clone(),
            body: self.body.clone(),
            owner: self.owner.clone(),
            retention: self.retention,
        }
    }

    /// Returns the ask that notes the outcome.
    pub fn finish(&self, outcome: ClaimOutcome) -> ClaimAsk {
        ClaimAsk::Finish { key: self.key.clone(), owner: self.owner.clone(), outcome }
    }
}
