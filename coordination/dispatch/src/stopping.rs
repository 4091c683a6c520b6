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

/// Factor, in percent, on the usual time of a call that is passed on as it comes although it may outlast the
/// instance. One in ten takes longer than usual, mostly as its endpoint has just become slower; its answer
/// would be cut in the middle.
const PASSED_MARGIN: u64 = 150;

/// The same for a call that is begun once the balancer has noticed. Its answer is held until it is whole, so
/// one that takes longer is not cut, but has run in vain.
const LATE_MARGIN: u64 = 200;

/// Calls of a route that must have been seen before one is begun so.
const ENOUGH: u32 = 20;

/// What calls of each route took of late.
#[derive(Debug, Default)]
pub struct CallTimes(Map<Name, RouteTimes>);

/// What the calls of a route took of late.
#[derive(Debug, Default)]
struct RouteTimes {
    /// Until the answer was whole.
    whole: RecentTimes,
    /// Until its first part.
    first: RecentTimes,
}

/// What is expected of a stream that has begun at an instance that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamForecast {
    /// What its route's streams usually take until the first part; none if too little is known.
    pub usual_first: Option<Millis>,
    /// Time that it may still take; none if too little is known.
    pub remaining: Option<Millis>,
    /// How its answer goes on.
    pub mode: AnswerMode,
}

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
    pub fn record_call(&mut self, now: Millis, route: &Name, whole: Millis) {
        if !self.0.contains_key(route) {
            // Routes come and go with the settings; those of long ago are not asked for any more.
            self.0.retain(|_, times| usual(now, &times.whole).is_some());
        }
        self.0.entry(route.clone()).or_default().whole.note(now, HALF_SPAN, whole);
    }

    /// Takes in the time until the first part of a call's answer. A route without a whole answer of late is not
    /// kept for it.
    pub fn record_first_part(&mut self, now: Millis, route: &Name, first: Millis) {
        if let Some(times) = self.0.get_mut(route) {
            times.first.note(now, HALF_SPAN, first);
        }
    }

    /// Returns what calls of a route usually take.
    pub fn usual_duration(&self, now: Millis, route: &Name) -> Option<Millis> {
        self.0.get(route).and_then(|times| usual(now, &times.whole))
    }

    /// Returns what to expect of a stream whose first part took so long, and of which the caller has nothing yet.
    ///
    /// An endpoint that took longer than usual until the first part is taken to be slower by as much for the
    /// rest. Where that may outlast the instance, the answer is held: nobody would get the end of it elsewhere. One of
    /// which too little is known is passed on: it was begun before the stop, and most end in time.
    pub fn forecast_stream(
        &self,
        now: Millis,
        route: &Name,
        first: Millis,
        stop: StopTimes,
    ) -> StreamForecast {
        let times = self.0.get(route);
        let usual_first = times.and_then(|times| usual(now, &times.first));
        let expected =
            usual_first.zip(self.usual_duration(now, route)).map(|(usual_first, whole)| {
                let slower = (first.0 as f64 / usual_first.0.max(1) as f64).max(1.0);
                Millis(((whole - usual_first).0 as f64 * slower) as u64)
            });
        let fits = |rest: Millis| now + with_margin(rest, PASSED_MARGIN) <= stop.ends_at;
        let begin = if expected.is_none_or(fits) { AnswerMode::Passed } else { AnswerMode::Held };
        StreamForecast { usual_first, remaining: expected, mode: begin }
    }

    /// Returns how a call may begin now whose caller has an answer by `due` in any case.
    ///
    /// Until the balancer has noticed, a call that may outlast the instance is begun if what such calls usually take
    /// fits with a margin. Afterwards a call is begun that must be over in time, and one that only usually is
    /// as [`AnswerMode::Held`].
    pub fn answer_mode(
        &self,
        now: Millis,
        route: &Name,
        due: Millis,
        stop: StopTimes,
    ) -> Option<AnswerMode> {
        if due.max(now) <= stop.ends_at {
            return Some(AnswerMode::Passed);
        }
        let usual = self.usual_duration(now, route)?;
        let fits = |margin: u64| now + with_margin(usual, margin) <= stop.ends_at;
        if now < stop.noticed_at {
            return fits(PASSED_MARGIN).then_some(AnswerMode::Passed);
        }
        let is_known = self.0.get(route).is_some_and(|times| times.whole.count() >= ENOUGH);
        (is_known && fits(LATE_MARGIN)).then_some(AnswerMode::Held)
    }
}

fn usual(now: Millis, times: &RecentTimes) -> Option<Millis> {
    times.quantile(now, HALF_SPAN, USUAL)
}

fn with_margin(time: Millis, percent: u64) -> Millis {
    Millis(time.0 * percent / 100)
}

/// How a call begins at an instance that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMode {
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
    Draining,
    /// All calls are refused, as new ones would put off the end for ever; those that are open are waited for.
    /// The sooner it ends, the sooner it is back. It goes on listening: callers that find nobody try at once
    /// with the few that stay. Three of 83 got some 900 calls a second, and answered one in ten.
    Refusing,
    /// The process may end.
    Ended,
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
            self.phase = StopPhase::Ended;
        }
        if self.phase == StopPhase::Announcing && now >= self.times.noticed_at {
            self.phase = StopPhase::Draining;
        }
        if self.phase == StopPhase::Draining && open.older == 0 {
            self.phase = StopPhase::Refusing;
        }
        if self.phase == StopPhase::Refusing && open == OpenCalls::default() {
            self.phase = StopPhase::Ended;
        }
        self.phase
    }
}
