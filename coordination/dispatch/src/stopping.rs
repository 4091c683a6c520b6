//! The planned stop of an entry instance, and the calls that it still accepts meanwhile.
//!
//! A balancer keeps sending calls to a stopping instance until it has noticed the stop, and even
//! then if too few others are in rotation. A call that is begun too late is cut off in the middle
//! of its answer: it has run, its caller has no result, and may not send it again. A call that is
//! refused although no other instance can take it is lost as well.

use sill_base::{Map, Millis, Name, RecentTimes};

/// Half of the span over which call times are kept. A planned stop occurs within seconds of a burst
/// or a reclaim; their effect on the times must still be known then, and be forgotten afterwards.
const HALF_SPAN: Millis = Millis(15_000);

/// Quantile of a route's call times that counts as the usual time. By the longest time, callers
/// would be refused that no other instance can take when most of them stop at once; calls beyond
/// this quantile have most of the stop left.
const USUAL_QUANTILE: f64 = 0.9;

/// Margin, in percent of the usual time, for a call whose answer is streamed although it may
/// outlast the instance. One in ten takes longer than usual, mostly because its endpoint has just
/// become slower; its answer would be cut in the middle.
const PASSED_MARGIN_PERCENT: u64 = 150;

/// Margin, in percent of the usual time, for a call that is begun after the balancer has noticed.
/// Its answer is buffered until it is complete, so a call that takes longer is not cut, but has run
/// in vain.
const HELD_MARGIN_PERCENT: u64 = 200;

/// Calls of a route that must have been recorded before one is begun after the balancer has
/// noticed.
const MIN_CALLS: u32 = 20;

/// Recent call times by route.
#[derive(Debug, Default)]
pub struct CallTimes {
    routes: Map<Name, RouteTimes>,
    /// For how long no endpoint has sent anything although requests were in flight.
    silence: Millis,
}

/// Recent call times of one route.
#[derive(Debug, Default)]
struct RouteTimes {
    /// Times until the complete answer.
    total: RecentTimes,
    /// Times until the first part of the answer.
    first_part: RecentTimes,
}

/// Forecast for a stream that has begun at a stopping instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamForecast {
    /// Usual time until the first part on this route; `None` without recent calls.
    pub usual_first: Option<Millis>,
    /// Expected time until the end of the stream; `None` without recent calls.
    pub remaining: Option<Millis>,
    /// How to deliver the answer.
    pub mode: AnswerMode,
}

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// Time by which the balancer has noticed the stop.
    pub noticed_at: Millis,
    /// Time at which calls that still wait for an answer are answered without a definite outcome.
    /// Calls that still run are cut shortly after.
    pub ends_at: Millis,
}

impl CallTimes {
    /// Records the time until the complete answer of a call.
    pub fn record_call(&mut self, now: Millis, route: &Name, total: Millis) {
        if !self.routes.contains_key(route) {
            // Routes come and go with the settings; those without recent calls are dropped.
            self.routes.retain(|_, times| usual_time(now, &times.total).is_some());
        }
        self.routes.entry(route.clone()).or_default().total.record(now, HALF_SPAN, total);
    }

    /// Records the time until the first part of a call's answer. Routes without a recent complete
    /// answer are ignored.
    pub fn record_first_part(&mut self, now: Millis, route: &Name, first: Millis) {
        if let Some(times) = self.routes.get_mut(route) {
            times.first_part.record(now, HALF_SPAN, first);
        }
    }

    /// Records for how long no endpoint has sent anything although requests were in flight.
    pub const fn record_silence(&mut self, silence: Millis) {
        self.silence = silence;
    }

    /// Returns the expected time of a call that begins now; `None` without recent calls.
    fn expected_duration(&self, now: Millis, route: &Name) -> Option<Millis> {
        let times = self.routes.get(route)?;
        let usual_first = usual_time(now, &times.first_part).unwrap_or_default();
        Some(usual_time(now, &times.total)? + (self.silence - usual_first))
    }

    /// Returns the usual time of a route's calls; `None` without recent calls.
    pub fn usual_duration(&self, now: Millis, route: &Name) -> Option<Millis> {
        self.routes.get(route).and_then(|times| usual_time(now, &times.total))
    }

    /// Returns the forecast for a stream whose first part took `first`, and of which nothing was
    /// forwarded yet.
    ///
    /// If an endpoint was slower than usual until the first part, the rest is expected to be slower
    /// by the same factor. If the rest may outlast the instance, the answer is buffered: its end
    /// could not be fetched elsewhere. A stream of which too little is known is forwarded: it was
    /// begun before the stop, and most streams end in time.
    pub fn forecast_stream(
        &self,
        now: Millis,
        route: &Name,
        first: Millis,
        stop: StopTimes,
    ) -> StreamForecast {
        let times = self.routes.get(route);
        let usual_first = times.and_then(|times| usual_time(now, &times.first_part));
        let remaining =
            usual_first.zip(self.usual_duration(now, route)).map(|(usual_first, total)| {
                let slowdown = (first.0 as f64 / usual_first.0.max(1) as f64).max(1.0);
                Millis(((total - usual_first).0 as f64 * slowdown) as u64)
            });
        let fits =
            |remaining: Millis| now + with_margin(remaining, PASSED_MARGIN_PERCENT) <= stop.ends_at;
        let mode = if remaining.is_none_or(fits) { AnswerMode::Passed } else { AnswerMode::Held };
        StreamForecast { usual_first, remaining, mode }
    }

    /// Returns how to deliver the answer to a call that arrives now and ends by `due` at the
    /// latest, or `None` to refuse it.
    ///
    /// Until the balancer has noticed, a call that may outlast the instance is begun if the route's
    /// usual time fits with a margin. While all endpoints are silent, the call is expected to take
    /// longer by as long as they have been. Afterwards, a call that ends in time for certain is begun as
    /// before, and one that usually does is begun as [`AnswerMode::Held`].
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
        let expected = self.expected_duration(now, route)?;
        let fits = |margin: u64| now + with_margin(expected, margin) <= stop.ends_at;
        if now < stop.noticed_at {
            return fits(PASSED_MARGIN_PERCENT).then_some(AnswerMode::Passed);
        }
        let has_enough_calls =
            self.routes.get(route).is_some_and(|times| times.total.count() >= MIN_CALLS);
        (has_enough_calls && fits(HELD_MARGIN_PERCENT)).then_some(AnswerMode::Held)
    }
}

fn usual_time(now: Millis, times: &RecentTimes) -> Option<Millis> {
    times.quantile(now, HALF_SPAN, USUAL_QUANTILE)
}

fn with_margin(time: Millis, percent: u64) -> Millis {
    Millis(time.0 * percent / 100)
}

/// How a stopping instance delivers the answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMode {
    /// The answer is forwarded as it arrives.
    Passed,
    /// The answer is buffered and forwarded once it is complete. If the instance ends before, the
    /// caller is told that the outcome is unknown, and has no partial answer.
    Held,
}

/// Numbers of open connections of callers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OpenCalls {
    /// Accepted before the balancer had noticed the stop.
    pub older: usize,
    /// Accepted afterwards.
    pub later: usize,
}

/// How a stopping instance treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// Connections are accepted as before: until the balancer has noticed, it sends them here.
    Announcing,
    /// Each connection is closed after its current call. New ones are accepted: they arrive only if
    /// too few other instances are in rotation, and this one has to wait anyway.
    Draining,
    /// All calls are refused, as new ones would postpone the end indefinitely; those in flight are
    /// completed. The sooner the instance ends, the sooner it is back. It keeps listening: callers
    /// that reach no instance retry at once with the few that remain. Three of 83 received some 900
    /// calls a second, and answered one in ten.
    Refusing,
    /// The process may end.
    Ended,
}

/// The state of a planned stop.
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

    /// Advances the stop, given the open connections, and returns the phase. Phases never go back.
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
