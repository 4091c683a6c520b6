//! How an entry instance stops, and which calls it still begins meanwhile.
//!
//! A balancer goes on sending calls to an instance that stops, for as long as it has not noticed, and
//! after that where too few others are in rotation. A call that is begun too late is cut off in the middle
//! of its answer: it has run, its caller has nothing, and may not send it again. A call that is sent away
//! although nobody else can take it is lost as well.

use sill_base::{Map, Millis, Name, RecentMax, RecentTimes};

/// Half of the span over which times are kept. A planned stop comes within seconds of a burst or a reclaim;
/// what those did to the times must still be known then, and be forgotten afterwards.
const HALF_SPAN: Millis = Millis(15_000);

/// The part of the calls of a route that took no longer than what one is expected to take.
///
/// Where most instances stop at once, those that are sent away find nobody: judged by the longest time seen,
/// 3,500 tries were refused on a day with 57 and then 75 of 88 instances stopping, against 46 without a
/// judgement, and the worst two seconds earned 0.59 in place of 0.75 of their worth. What exceeds this part
/// has five seconds left at the least, and may still end.
const USUAL: f64 = 0.9;

/// Factor on the longest time that answers took of late from their first part to their end. The wait for the
/// first part is what varies, behind a full engine or a reclaim; it is over then, and a call whose answer is
/// not begun can still be told so.
const REST_MARGIN: f64 = 2.0;

/// Calls of a route that must have been seen before their longest time says anything.
const ENOUGH: u32 = 20;

/// What calls of each route took of late.
#[derive(Debug, Default)]
pub struct CallTimes(Map<Name, RouteTimes>);

#[derive(Debug, Default)]
struct RouteTimes {
    whole: RecentTimes,
    rest_ms: RecentMax,
}

/// How one call went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTime {
    /// Time until the first part of its answer; all of its time if there was none.
    pub first: Millis,
    /// All of its time.
    pub whole: Millis,
}

/// When a stop is how far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// When the balancer has noticed.
    pub noticed_at: Millis,
    /// When what still runs is cut.
    pub ends_at: Millis,
}

impl CallTimes {
    /// Takes in how a call went that was run.
    pub fn took(&mut self, now: Millis, route: &Name, call: CallTime) {
        if !self.0.contains_key(route) {
            // Routes come and go with the settings; those of long ago are not asked for any more.
            self.0.retain(|_, times| times.usual(now).is_some());
        }
        let times = self.0.entry(route.clone()).or_default();
        times.whole.note(now, HALF_SPAN, call.whole);
        times.rest_ms.note(now, HALF_SPAN, (call.whole - call.first).0 as f64);
    }

    /// Returns whether a call that begins now, and whose caller has an answer by `due` in any case, ends
    /// before the instance does.
    ///
    /// Until the balancer has noticed, that is judged by what calls usually take: most of the time of the
    /// stop is left. Afterwards only a call is begun that must be over in time, or for which far more time
    /// is left than any like it took: judged by the longest time seen and a fifth more, one stream was cut
    /// in 35 plays of a day of rolling stops. See [`Self::may_answer`] for what still takes longer.
    pub fn fits(&self, now: Millis, route: &Name, due: Millis, stop: StopTimes) -> bool {
        let times = self.0.get(route);
        let expected = match now < stop.noticed_at {
            true => times.and_then(|times| times.usual(now)),
            false => times.and_then(|times| Some(times.usual(now)? + times.longest_rest(now)?)),
        };
        let left = due - now;
        now + expected.map_or(left, |expected| expected.min(left)) <= stop.ends_at
    }

    /// Returns whether the answer of a call may begin whose first part has come now.
    ///
    /// A call that came after the balancer had noticed may have waited longer than any before. Its answer
    /// would be cut in the middle; not begun, its caller is told that the outcome is unknown.
    pub fn may_answer(&self, now: Millis, call: &BegunCall<'_>, stop: StopTimes) -> bool {
        let is_bound = call.arrived < stop.noticed_at || call.due <= stop.ends_at;
        let times = self.0.get(call.route);
        let rest = || times.and_then(|times| times.longest_rest(now));
        is_bound || rest().is_some_and(|rest| now + rest <= stop.ends_at)
    }
}

/// A call whose answer is about to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BegunCall<'a> {
    /// Its route.
    pub route: &'a Name,
    /// When it came.
    pub arrived: Millis,
    /// When its caller has an answer in any case.
    pub due: Millis,
}

impl RouteTimes {
    /// Returns what a call is expected to take.
    fn usual(&self, now: Millis) -> Option<Millis> {
        self.whole.quantile(now, HALF_SPAN, USUAL)
    }

    /// Returns what an answer that has begun takes at the very most.
    fn longest_rest(&self, now: Millis) -> Option<Millis> {
        let rest = self.rest_ms.at(now, HALF_SPAN)?;
        (self.whole.count() >= ENOUGH).then_some(Millis((rest * REST_MARGIN) as u64))
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
