//! Decides whether a call is retried after an attempt at an endpoint.

use sill_base::Millis;
use sill_tree::RouteKind;

/// Shortest remaining time with which an attempt is made. No endpoint can answer in less.
const MIN_TIME_LEFT: Millis = Millis(20);

/// How an attempt ended before any part of an answer was forwarded to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint is full and reported that it did not run the request.
    Full,
    /// The endpoint reported, for another reason, that it did not run the request.
    NotRun,
    /// The address belongs to another endpoint now.
    WrongEndpoint,
    /// The endpoint answered with an error of its own.
    Failed,
    /// The request may have run, but no valid answer was received.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// State of a call over all its attempts so far.
#[derive(Debug, Clone, Copy)]
pub struct CallProgress {
    /// Kind of the route, which decides whether a call that may have run may be repeated.
    pub kind: RouteKind,
    /// Maximum number of times that the call may be sent so that it may run.
    pub max_attempts: u32,
    /// Number of times that it was sent and may have run.
    pub possible_runs: u32,
    /// Endpoints that refused the call.
    pub rejected: u32,
    /// Endpoints that could not be reached.
    pub unsent: u32,
    /// Whether an attempt is being made.
    pub is_under_way: bool,
    /// Time left until the call's deadline; the caller updates it before each decision.
    pub time_left: Millis,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the call to another endpoint, if the retry budget allows it.
    Retry,
    /// Answer that the call did not run.
    RefuseNotRun,
    /// Forward the endpoint's answer.
    PassOn,
    /// Answer that the outcome is unknown.
    OutcomeUnknown,
    /// Answer that the deadline has passed.
    TimedOut,
}

/// Endpoints that may refuse a call before the caller is refused. Each refusal takes a retry from
/// the budget that all calls share, and when two endpoints are full the others usually are as well.
const MAX_REJECTED: u32 = 2;

/// Endpoints that may be unreachable before the caller is refused. None of them received the call,
/// so a retry costs nothing but time, and a failure domain that is cut off has more than one
/// endpoint.
const MAX_UNSENT: u32 = 4;

impl CallProgress {
    /// Creates the progress of a call that has not been sent yet.
    pub const fn new(kind: RouteKind, max_attempts: u32, time_left: Millis) -> Self {
        let (possible_runs, rejected, unsent, is_under_way) = (0, 0, 0, false);
        Self { kind, max_attempts, possible_runs, rejected, unsent, is_under_way, time_left }
    }

    /// Returns the number of attempts so far, whether or not they reached an endpoint.
    pub const fn attempts(&self) -> u32 {
        self.possible_runs + self.rejected + self.unsent
    }

    /// Returns what to do after `outcome`, which must not be recorded yet.
    pub fn next_step(&self, outcome: AttemptOutcome) -> NextStep {
        let has_time = self.time_left > MIN_TIME_LEFT;
        match outcome {
            AttemptOutcome::NotSent => self.retry_or_refuse(has_time && self.unsent < MAX_UNSENT),
            AttemptOutcome::Full | AttemptOutcome::NotRun | AttemptOutcome::WrongEndpoint => {
                self.retry_or_refuse(has_time && self.rejected < MAX_REJECTED)
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

    fn retry_or_refuse(&self, may_retry: bool) -> NextStep {
        match (may_retry, self.possible_runs) {
            (true, _) => NextStep::Retry,
            (false, 0) => NextStep::RefuseNotRun,
            // An earlier attempt may have run, so "not run" would be false.
            (false, _) => NextStep::OutcomeUnknown,
        }
    }

    /// Records that an attempt is made.
    pub fn begin(&mut self) {
        self.is_under_way = true;
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        self.is_under_way = false;
        match outcome {
            AttemptOutcome::NotSent => self.unsent += 1,
            _ if outcome.may_have_run() => self.possible_runs += 1,
            _ => self.rejected += 1,
        }
    }

    /// Returns whether an endpoint may have run the call by now.
    pub const fn may_have_run(&self) -> bool {
        self.possible_runs > 0 || self.is_under_way
    }

    /// Returns how to answer the caller when the retry budget is exhausted.
    pub fn next_step_without_retry(&self, outcome: AttemptOutcome) -> NextStep {
        let last = Self { max_attempts: 0, rejected: MAX_REJECTED, unsent: MAX_UNSENT, ..*self };
        last.next_step(outcome)
    }

    /// Returns whether the call may be sent to another endpoint after one that may have run it.
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
