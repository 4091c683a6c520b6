//! Admission of calls during a planned stop, and how their answers are relayed.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use sill_base::{Clock, Millis, Name, event};
use sill_dispatch::{AnswerMode, CallTimes, StopTimes};

/// The planned stop of this entry instance, if it was requested, and the durations of recent calls.
#[derive(Debug)]
pub struct PlannedStop {
    clock: Clock,
    times: OnceLock<StopTimes>,
    refuses_all: AtomicBool,
    call_times: Mutex<CallTimes>,
}

/// Why a call is not admitted: it may outlast the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InsufficientTime {
    /// Time until the instance ends.
    pub time_left: Millis,
    /// How long calls of the route usually take; none if there are too few samples.
    pub usual_duration: Option<Millis>,
}

impl PlannedStop {
    /// Creates the state of an instance for which no stop was requested.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            times: OnceLock::new(),
            refuses_all: AtomicBool::new(false),
            call_times: Mutex::default(),
        }
    }

    /// Returns whether a stop was requested.
    pub fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }

    /// Starts the stop: the instance is no longer ready for the balancer, and calls still running
    /// at the end are cut.
    pub fn start(&self, times: StopTimes) {
        self.times.get_or_init(|| times);
    }

    /// Returns when calls that still wait are answered without a definite outcome; none before a stop.
    pub fn ends_at(&self) -> Option<Millis> {
        self.times.get().map(|stop| stop.ends_at)
    }

    /// Refuses all new calls from now on. Open calls are still completed.
    pub fn refuse_all(&self) {
        self.refuses_all.store(true, Ordering::Relaxed);
    }

    /// Returns whether the instance ends within `span` from now.
    pub fn ends_within(&self, span: Millis) -> bool {
        self.times.get().is_some_and(|stop| stop.ends_at <= self.clock.now() + span)
    }

    /// Returns how a new call with deadline `due` is answered if it is admitted.
    ///
    /// # Errors
    ///
    /// Fails if the call may outlast the instance.
    pub fn admit(
        &self,
        id: &Name,
        route: &Name,
        due: Millis,
    ) -> Result<AnswerMode, InsufficientTime> {
        let Some(stop) = self.times.get() else { return Ok(AnswerMode::Passed) };
        let now = self.clock.now();
        let (mode, usual_duration) = {
            let times = self.call_times.lock();
            (times.answer_mode(now, route, due, *stop), times.usual_duration(now, route))
        };
        let time_left = stop.ends_at - now;
        let mode = mode.filter(|_| !self.refuses_all.load(Ordering::Relaxed));
        let mode = mode.ok_or(InsufficientTime { time_left, usual_duration })?;
        if self.may_cut(due) {
            event!(
                Info,
                "call_begun_in_stop",
                id = id,
                route = route,
                begin = format!("{mode:?}"),
                usual_ms = usual_duration.unwrap_or_default(),
                left_ms = time_left,
                due_ms = due - now
            );
        }
        Ok(mode)
    }

    /// Returns how an attempt at a call with deadline `due` is answered; none if it may not be
    /// started.
    pub fn attempt_mode(&self, route: &Name, due: Millis) -> Option<AnswerMode> {
        let Some(stop) = self.times.get() else { return Some(AnswerMode::Passed) };
        self.call_times.lock().answer_mode(self.clock.now(), route, due, *stop)
    }

    /// Returns whether a call with deadline `due` may still be running when the instance ends.
    pub fn may_cut(&self, due: Millis) -> bool {
        self.stop_before(due).is_some()
    }

    /// Returns the stop times if the instance ends before `due`.
    fn stop_before(&self, due: Millis) -> Option<&StopTimes> {
        self.times.get().filter(|stop| due > stop.ends_at)
    }

    /// Returns how a stream is continued after its first part arrived, before the caller has any of
    /// it.
    pub fn stream_mode(&self, id: &Name, route: &Name, due: Millis, first: Millis) -> AnswerMode {
        let Some(stop) = self.stop_before(due) else { return AnswerMode::Passed };
        let now = self.clock.now();
        let forecast = self.call_times.lock().forecast_stream(now, route, first, *stop);
        if forecast.mode == AnswerMode::Passed {
            return forecast.mode;
        }
        event!(
            Info,
            "stream_held_in_stop",
            id = id,
            route = route,
            first_ms = first,
            usual_first_ms = forecast.usual_first.unwrap_or_default(),
            rest_ms = forecast.remaining.unwrap_or_default(),
            left_ms = stop.ends_at - now
        );
        forecast.mode
    }

    /// Records for how long no endpoint has sent anything although requests were in flight.
    pub fn record_silence(&self, silence: Millis) {
        self.call_times.lock().record_silence(silence);
    }

    /// Records the duration of a call, up to the end of its answer.
    pub fn record_call(&self, route: &Name, whole: Millis) {
        self.call_times.lock().record_call(self.clock.now(), route, whole);
    }

    /// Records the time until the first part of a call's answer.
    pub fn record_first_part(&self, route: &Name, first: Millis) {
        self.call_times.lock().record_first_part(self.clock.now(), route, first);
    }
}
