//! Callers' deadlines, and the ends of answers relative to them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The route's time-out, which ends calls whose callers have no deadline.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a whole stream takes at least.
const STREAM_TIME: Duration = Duration::from_millis(1920);

/// How far deadlines are spread beyond that. Shortly before a deadline there isn't enough time for the usual
/// proof of an end.
pub const NEAR_TIME: Duration = Duration::from_millis(600);

/// The deadlines that are meant to follow breaks come this much later than the call, and are spread over
/// [`BREAKS_SPREAD`].
const BREAKS_FROM: Duration = Duration::from_millis(500);

const BREAKS_SPREAD: Duration = Duration::from_millis(1500);

/// How much earlier than its deadline a stream is cut that was cut because of it.
const AT_DEADLINE: Duration = Duration::from_millis(30);

/// How much earlier than its deadline a decision comes that doesn't wait any longer.
const DECISION_TIME: Duration = Duration::from_millis(100);

/// Before its deadline, a stream needs this much time for anything to be shown of its end.
const LEAST_TIME: Duration = Duration::from_millis(50);

/// When callers' deadlines come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deadlines {
    /// Long after the ends of whole streams.
    Far,
    /// Shortly after them.
    Near,
}

/// Where a whole stream was cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutAt {
    /// Earlier than its deadline.
    Before,
    /// At its deadline.
    Deadline,
    /// At its deadline, which came too soon after its end for any proof.
    TooLate,
}

impl Deadlines {
    /// Returns the deadline that a caller sends in a round, if it sends one; with `has_breaks`, every second
    /// one comes in the middle of whole streams.
    pub fn of(self, number: usize, round: usize, has_breaks: bool) -> Option<Duration> {
        let spread = |over: Duration| {
            Duration::from_millis(((number * 119 + round * 187) as u128 % over.as_millis()) as u64)
        };
        match self {
            Self::Far => None,
            Self::Near if has_breaks && !round.is_multiple_of(2) => {
                Some(BREAKS_FROM + spread(BREAKS_SPREAD))
            }
            Self::Near => Some(STREAM_TIME + spread(NEAR_TIME)),
        }
    }
}

/// Returns the time on the clock that the logs show.
pub fn now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("it is later")
}

/// Returns when a call that begins now is due.
pub fn due_at(deadline: Option<Duration>) -> Duration {
    now() + deadline.unwrap_or(ROUTE_TIMEOUT)
}

/// Returns where a stream was cut that its endpoint had sent in time, none if it hadn't.
pub fn cut_at(sent_at: Duration, ended_at: Duration, due: Duration) -> Option<CutAt> {
    if sent_at >= due {
        return None;
    }
    Some(if ended_at + AT_DEADLINE < due {
        CutAt::Before
    } else if sent_at + LEAST_TIME < due {
        CutAt::Deadline
    } else {
        CutAt::TooLate
    })
}

/// Returns whether a stream ended when nothing could be waited for any more.
pub fn is_at_deadline(ended_at: Duration, due: Duration) -> bool {
    ended_at + DECISION_TIME > due
}
