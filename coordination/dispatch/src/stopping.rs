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

/// The part of the calls of a route that took no longer than what one is expected to take. Judged by the longest
/// time seen, callers would be sent away that nobody else can take where most instances stop at once; what
/// exceeds this part has most of the stop left.
const USUAL: f64 = 0.9;

/// Factor on the usual time for a call that is begun once the balancer has noticed, and that may outlast the
/// instance. Its answer is held until it is whole; one in ten takes longer than usual, few twice as long.
const LATE_MARGIN: u64 = 2;

/// Calls of a route that must have been seen before one is begun so.
const ENOUGH: u32 = 20;

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

    /// Returns how a call may begin now whose caller has an answer by `due` in any case.
    ///
    /// Until the balancer has noticed, that is judged by what calls usually take: most of the time of the
    /// stop is left. Afterwards a call is begun that must be over in time. What others of its route took
    /// doesn't bound it: judged by the longest time seen and a fifth more, one stream was cut in 35 plays of
    /// a day of rolling stops. So one that only usually is over in time is begun as [`Begin::Held`].
    pub fn begin(&self, now: Millis, route: &Name, due: Millis, stop: StopTimes) -> Option<Begin> {
        let times = self.0.get(route);
        let usual = times.and_then(|times| times.quantile(now, HALF_SPAN, USUAL));
        let is_over = |takes: Millis| now + takes <= stop.ends_at;
        if is_over(due - now) {
            return Some(Begin::Passed);
        }
        if now < stop.noticed_at {
            return usual.filter(|usual| is_over(*usual)).map(|_| Begin::Passed);
        }
        let is_known = times.is_some_and(|times| times.count() >= ENOUGH);
        let late = usual.filter(|usual| is_known && is_over(*usual * LATE_MARGIN));
        late.map(|_| Begin::Held)
    }
}

/// How a call begins at an instance that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// Its answer is passed on as it comes.
    Passed,
    /// Its answer is passed on once it is whole. If the instance ends before, the caller is told that the
    /// outcome is unknown, and has no half of an answer.
    Held,
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
