//! How an entry instance stops, and which calls it still begins meanwhile.
//!
//! A balancer goes on sending calls to an instance that stops, for as long as it has not noticed, and
//! after that where too few others are in rotation. A call that is begun too late is cut off in the middle
//! of its answer: it has run, its caller has nothing, and may not send it again. A call that is sent away
//! although nobody else can take it is lost as well.

use sill_base::{Map, Millis, Name, RecentTimes};

/// Half of the span over which times are kept. A planned stop comes within seconds of a burst or a reclaim;
/// what those did to the times must still be known then, and be forgotten afterwards.
const HALF_SPAN: Millis = Millis(15_000);

/// The part of the calls of a route that took no longer than what one is expected to take.
///
/// Where most instances stop at once, those that are sent away find nobody: judged by the longest time seen,
/// 3,500 tries were refused on a day with 57 and then 75 of 88 instances stopping, against 46 without a
/// judgement, and the worst two seconds earned 0.59 in place of 0.75 of their worth. What exceeds this part
/// has most of the stop left, and may still end.
const USUAL: f64 = 0.9;

/// What calls of each route took of late.
#[derive(Debug, Default)]
pub struct CallTimes(Map<Name, RecentTimes>);

/// When a stop is how far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// When the balancer has noticed.
    pub noticed_at: Millis,
    /// When what still waits for its answer gets one that promises nothing. What still runs is cut shortly
    /// after.
    pub ends_at: Millis,
}

impl CallTimes {
    /// Takes in the whole time of a call.
    pub fn took(&mut self, now: Millis, route: &Name, whole: Millis) {
        if !self.0.contains_key(route) {
            // Routes come and go with the settings; those of long ago are not asked for any more.
            self.0.retain(|_, times| times.quantile(now, HALF_SPAN, USUAL).is_some());
        }
        self.0.entry(route.clone()).or_default().note(now, HALF_SPAN, whole);
    }

    /// Returns whether a call that begins now, and whose caller has an answer by `due` in any case, ends
    /// before the instance does.
    ///
    /// Until the balancer has noticed, that is judged by what calls usually take: most of the time of the
    /// stop is left. Afterwards only a call is begun that must be over in time. What others of its route
    /// took doesn't bound it: judged by the longest time seen and a fifth more, one stream was cut in 35
    /// plays of a day of rolling stops; by twice the longest time after the first part, one that was larger
    /// than those before.
    pub fn fits(&self, now: Millis, route: &Name, due: Millis, stop: StopTimes) -> bool {
        let usual = match self.0.get(route) {
            Some(times) if now < stop.noticed_at => times.quantile(now, HALF_SPAN, USUAL),
            _ => None,
        };
        let left = due - now;
        now + usual.map_or(left, |usual| usual.min(left)) <= stop.ends_at
    }
}

/// Open connections of callers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OpenCalls {
    /// Taken before the balancer had noticed.
    pub older: usize,
    /// Taken since.
    pub later: usize,
}

/// What a stopping instance does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// It takes them as before: until the balancer has noticed, it sends them here.
    Announcing,
    /// Each ends after the call that it carries. New ones are taken, as they are sent here only if too few
    /// other instances are in rotation, and this one has to wait anyway.
    Finishing,
    /// All calls are refused, as new ones would put off the end for ever; those that are open are waited for.
    /// The sooner it ends, the sooner it is back. It goes on listening: callers that find nobody try at once
    /// with the few that stay. Three of 83 got some 900 calls a second, and answered one in ten.
    Leaving,
    /// The process may end.
    Over,
}

/// A planned stop.
#[derive(Debug)]
pub struct StopPlan {
    times: StopTimes,
    phase: StopPhase,
}

impl StopPlan {
    /// Begins a stop.
    pub const fn new(times: StopTimes) -> Self {
        Self { times, phase: StopPhase::Announcing }
    }

    /// Takes in what is open, and returns the phase. It never goes back.
    pub fn step(&mut self, now: Millis, open: OpenCalls) -> StopPhase {
        if now >= self.times.ends_at {
            self.phase = StopPhase::Over;
        }
        if self.phase == StopPhase::Announcing && now >= self.times.noticed_at {
            self.phase = StopPhase::Finishing;
        }
        if self.phase == StopPhase::Finishing && open.older == 0 {
            self.phase = StopPhase::Leaving;
        }
        if self.phase == StopPhase::Leaving && open == OpenCalls::default() {
            self.phase = StopPhase::Over;
        }
        self.phase
    }
}
