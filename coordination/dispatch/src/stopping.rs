//! Whether a call can still end before the entry instance that would take it does.
//!
//! A balancer goes on sending calls to an instance that stops, for as long as it has not noticed, and
//! after that where too few others are in rotation. A call that is begun too late is cut off in the middle
//! of its answer: it has run, its caller has nothing, and may not send it again.

use sill_base::{Map, Millis, Name, RecentMax};

/// Half of the span over which the longest times are kept. A planned stop comes within seconds of a burst
/// or a reclaim; what those did to the times must still be known then, and be forgotten afterwards.
const HALF_SPAN: Millis = Millis(15_000);

/// Added to the longest time that was seen, as a part of it. The calls at the end of a stop are mostly
/// no worse off than the slowest of those before; a fifth covers the batch that fills up meanwhile.
const MARGIN: f64 = 0.2;

/// What calls of each route took of late.
#[derive(Debug, Default)]
pub struct CallTimes(Map<Name, RouteTimes>);

/// How one call went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTime {
    /// Time until the first part of its answer; all of its time if there was none.
    pub first: Millis,
    /// All of its time.
    pub whole: Millis,
    /// Tokens of the answer at most; 0 where it isn't counted in tokens.
    pub output: u32,
}

/// When a stop is how far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// When the balancer has noticed. What still comes then has another instance to go to.
    pub noticed_at: Millis,
    /// When what still runs is cut.
    pub ends_at: Millis,
}

/// Bounds on one call that is about to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallBounds {
    /// Tokens of the answer at most.
    pub output: u32,
    /// When its caller has an answer in any case.
    pub due: Millis,
}

#[derive(Debug, Default)]
struct RouteTimes {
    first_ms: RecentMax,
    rest_ms_per_token: RecentMax,
}

impl CallTimes {
    /// Takes in how a call went that was run.
    pub fn took(&mut self, now: Millis, route: &Name, call: CallTime) {
        if !self.0.contains_key(route) {
            // Routes come and go with the settings; those of long ago are not asked for any more.
            self.0.retain(|_, times| times.first_ms.at(now, HALF_SPAN).is_some());
        }
        let times = self.0.entry(route.clone()).or_default();
        let rest = (call.whole - call.first).0 as f64;
        let (first, rest_per_token) = match call.output {
            0 => (call.whole.0 as f64, 0.0),
            output => (call.first.0 as f64, rest / f64::from(output)),
        };
        times.first_ms.note(now, HALF_SPAN, first);
        times.rest_ms_per_token.note(now, HALF_SPAN, rest_per_token);
    }

    /// Returns whether a call that begins now ends before the instance does.
    ///
    /// Until the balancer has noticed, that is judged by what calls took; refused, most of them would have
    /// to come back for nothing. Afterwards only a call is begun whose caller has an answer in any case:
    /// answers are rarely, but now and then, longer than all that were seen, and three seconds are too few
    /// for those. Judged by what was seen alone, one stream was cut in 35 plays of a day of rolling stops.
    pub fn fits(&self, now: Millis, route: &Name, call: CallBounds, stop: StopTimes) -> bool {
        let expected = match self.expected(now, route, call.output) {
            Some(expected) if now < stop.noticed_at => expected.min(call.due - now),
            _ => call.due - now,
        };
        now + expected <= stop.ends_at
    }

    fn expected(&self, now: Millis, route: &Name, output: u32) -> Option<Millis> {
        let times = self.0.get(route)?;
        let first = times.first_ms.at(now, HALF_SPAN)?;
        let per_token = times.rest_ms_per_token.at(now, HALF_SPAN).unwrap_or_default();
        let whole = first + per_token * f64::from(output);
        Some(Millis((whole * (1.0 + MARGIN)) as u64))
    }
}
