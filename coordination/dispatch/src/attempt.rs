//! What follows from an attempt at an endpoint.

use sill_base::Millis;
use sill_tree::RouteKind;

/// Time that an endpoint needs at least to do anything; with less left no attempt is made.
const LEAST_TIME: Millis = Millis(20);

/// How an attempt ended before anything of an answer was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request has left.
    NotSent,
    /// The endpoint said that it did not run the request: it is full.
    Full,
    /// The endpoint said that it did not run the request, for another reason.
    NotRun,
    /// Another endpoint has the address.
    WrongEndpoint,
    /// The endpoint answered with a failure of its own.
    Failed,
    /// It may have run; no proper answer came.
    Unknown,
    /// The time is up; it may have run.
    TimedOut,
}

/// What became of a call so far.
#[derive(Debug, Clone, Copy)]
pub struct CallProgress {
    /// What may be repeated.
    pub kind: RouteKind,
    /// Endpoints that may run the call.
    pub max_attempts: u32,
    /// Endpoints that may have run it.
    pub possible_runs: u32,
    /// Endpoints that refused it.
    pub rejected: u32,
    /// Endpoints that could not be reached.
    pub unsent: u32,
    /// Time until the answer is due.
    pub time_left: Millis,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another endpoint, if the retry budget has room.
    Retry,
    /// Tell the caller that it did not run.
    RefuseNotRun,
    /// Hand on what the endpoint answered.
    PassOn,
    /// Tell the caller that the outcome is unknown.
    OutcomeUnknown,
    /// Tell the caller that the time is up.
    TimedOut,
}

/// Endpoints that refuse a call before its caller is told. Each refusal takes a part of the retry
/// budget that all share, and where two endpoints are full the others mostly are as well.
const MAX_REJECTED: u32 = 2;

/// Endpoints that are tried in vain before a caller is told. None of them got the call, so they cost
/// nothing but time; a failure domain that is cut off has more than one.
const MAX_UNSENT: u32 = 4;

impl CallProgress {
    /// Makes the progress of a call that was not sent yet.
    pub const fn new(kind: RouteKind, max_attempts: u32, time_left: Millis) -> Self {
        Self { kind, max_attempts, possible_runs: 0, rejected: 0, unsent: 0, time_left }
    }

    /// Returns how often the call was sent, or would have been.
    pub const fn attempts(&self) -> u32 {
        self.possible_runs + self.rejected + self.unsent
    }

    /// Decides what follows from an outcome, which is not yet counted in.
    pub fn next_step(&self, outcome: AttemptOutcome) -> NextStep {
        let has_time = self.time_left > LEAST_TIME;
        match outcome {
            AttemptOutcome::NotSent => self.go_on(has_time && self.unsent < MAX_UNSENT),
            AttemptOutcome::Full | AttemptOutcome::NotRun | AttemptOutcome::WrongEndpoint => {
                self.go_on(has_time && self.rejected < MAX_REJECTED)
            }
            AttemptOutcome::Failed => match self.may_repeat(has_time) {
                true => NextStep::Retry,
                false => NextStep::PassOn,
            },
            AttemptOutcome::Unknown => match self.may_repeat(has_time) {
                true => NextStep::Retry,
                false => NextStep::OutcomeUnknown,
            },
            AttemptOutcome::TimedOut => NextStep::TimedOut,
        }
    }

    fn go_on(&self, may_go_on: bool) -> NextStep {
        match (may_go_on, self.possible_runs) {
            (true, _) => NextStep::Retry,
            (false, 0) => NextStep::RefuseNotRun,
            // An earlier attempt may have run, so "not run" would be false.
            (false, _) => NextStep::OutcomeUnknown,
        }
    }

    /// Counts an outcome.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent => self.unsent += 1,
            _ if outcome.may_have_run() => self.possible_runs += 1,
            _ => self.rejected += 1,
        }
    }

    /// Returns what to tell the caller when the budget has no room for a retry.
    pub fn next_step_without_retry(&self, outcome: AttemptOutcome) -> NextStep {
        let last = Self { max_attempts: 0, rejected: MAX_REJECTED, unsent: MAX_UNSENT, ..*self };
        last.next_step(outcome)
    }

    /// Returns whether a call may be sent to one more endpoint after one that may have run it.
    fn may_repeat(&self, has_time: bool) -> bool {
        self.kind.may_repeat() && has_time && self.possible_runs + 1 < self.max_attempts
    }
}

impl AttemptOutcome {
    /// Returns whether the endpoint may have run the call.
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Unknown | Self::TimedOut)
    }
}
