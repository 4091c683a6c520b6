//! Names of why callers get answers that aren't whole.

use sill_route::RefusalReason;

/// Why an answer has no end for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutCause {
    /// The endpoint ended it in the middle, or its connection broke.
    BrokenByEndpoint,
    /// Its end proves nothing, and the endpoint was not shown to run on.
    EndNotProven,
    /// Its end proves nothing, and the instance that carried it was not shown to run on.
    CarrierNotShown,
    /// The deadline or the stop came before anything was shown.
    NoTime,
    /// One of its events is too long to be held back.
    EventTooLong,
    /// The network path to the endpoint is lost.
    PathLost,
    /// The engine has stopped the run, and it didn't go on elsewhere.
    RunNotMoved,
    /// The deadline came before its end.
    OutOfTime,
    /// The stop came before its end.
    CutByStop,
    /// The task of the call ended with a panic.
    TaskEnded,
}

impl CutCause {
    /// All causes.
    pub const ALL: [Self; 10] = [
        Self::BrokenByEndpoint,
        Self::EndNotProven,
        Self::CarrierNotShown,
        Self::NoTime,
        Self::EventTooLong,
        Self::PathLost,
        Self::RunNotMoved,
        Self::OutOfTime,
        Self::CutByStop,
        Self::TaskEnded,
    ];

    /// Returns the name for log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::BrokenByEndpoint => "broken_by_endpoint",
            Self::EndNotProven => "end_not_proven",
            Self::CarrierNotShown => "carrier_not_shown",
            Self::NoTime => "no_time",
            Self::EventTooLong => "event_too_long",
            Self::PathLost => "path_lost",
            Self::RunNotMoved => "run_not_moved",
            Self::OutOfTime => "out_of_time",
            Self::CutByStop => "cut_by_stop",
            Self::TaskEnded => "task_ended",
        }
    }
}

/// Why no other endpoint goes on with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoResumption {
    /// Another endpoint is tried already.
    TriedElsewhere,
    /// The call must not run twice, or its answer is no stream.
    NotRepeatable,
    /// Its caller can't be given the events after those that it has.
    NoEventId,
    /// No attempt is left, or too little time for one.
    AttemptsUsed,
    /// Endpoints crashed under equal calls.
    Blocked,
    /// The process or the call ends before another endpoint could answer.
    NoTime,
    /// No endpoint was chosen.
    Refused(RefusalReason),
    /// The retry budget is used up.
    Budget,
    /// Resumptions of ended streams have shown nothing new lately.
    Skipped,
    /// The call was sent to no endpoint.
    NotSent,
    /// An endpoint that was asked didn't go on.
    Failed,
    /// An endpoint that was asked had no time to answer.
    Late,
}

impl NoResumption {
    /// Returns whether another endpoint may be asked a little later.
    pub const fn may_pass(self) -> bool {
        matches!(self, Self::Refused(_) | Self::Budget)
    }

    /// Returns the name for log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TriedElsewhere => "tried_elsewhere",
            Self::NotRepeatable => "not_repeatable",
            Self::NoEventId => "no_event_id",
            Self::AttemptsUsed => "attempts_used",
            Self::Blocked => "blocked",
            Self::NoTime => "no_time",
            Self::Refused(RefusalReason::NoEndpoint) => "no_endpoint",
            Self::Refused(RefusalReason::Full) => "no_room",
            Self::Refused(RefusalReason::Deadline) => "too_slow",
            Self::Refused(RefusalReason::Paused) => "paused",
            Self::Budget => "budget",
            Self::Skipped => "skipped",
            Self::NotSent => "not_sent",
            Self::Failed => "failed",
            Self::Late => "late",
        }
    }
}
