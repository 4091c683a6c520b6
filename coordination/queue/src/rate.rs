//! The rate at which work was started lately.

use sill_base::{Millis, RecentMax};

/// Time constant of the moving average. Capacity changes within a second when endpoints start or
/// end; shorter averages vary with single large prompts.
const AVERAGE_SPAN: Millis = Millis(1000);

/// Length of the windows over which the maximum is taken. Endpoints that hang must not count as
/// capacity for longer than callers wait for an answer.
const MAX_WINDOW: Millis = Millis(1000);

/// The highest average rate of started work within the last one to two seconds.
///
/// Without contention the rate is that of the arrivals, which is below the capacity, so the recent
/// maximum is nearer to it than the present value.
#[derive(Debug, Default)]
pub(crate) struct StartRate {
    per_s: f64,
    updated_at: Millis,
    max: RecentMax,
    has_started: bool,
}

impl StartRate {
    /// Records that work of this cost was started.
    pub(crate) fn record(&mut self, now: Millis, cost: f64) {
        let passed = (now - self.updated_at).as_secs_f64() / AVERAGE_SPAN.as_secs_f64();
        self.per_s = self.per_s * (-passed).exp() + cost / AVERAGE_SPAN.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.max.record(now, MAX_WINDOW, self.per_s);
        self.has_started = true;
    }

    /// Returns the cost started per second; none if nothing was ever started.
    pub(crate) fn per_second(&self, now: Millis) -> Option<f64> {
        self.has_started.then(|| self.max.max(now, MAX_WINDOW).unwrap_or(0.0))
    }
}
