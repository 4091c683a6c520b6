//! An exponentially decaying average of amounts per second.

use sill_base::Millis;

/// A moving average of amounts per second. Older amounts decay exponentially with the span that is
/// passed to each call.
#[derive(Debug, Default, Clone, Copy)]
pub struct MovingAverage {
    per_s: f64,
    updated_at: Millis,
}

impl MovingAverage {
    /// Creates an average of zero.
    pub const fn new(now: Millis) -> Self {
        Self { per_s: 0.0, updated_at: now }
    }

    /// Adds an amount at `now`.
    pub fn add(&mut self, now: Millis, span: Millis, amount: f64) {
        self.per_s = self.per_second(now, span) + amount / span.as_secs_f64();
    }

    /// Returns the amount per second, averaged over `span`.
    pub fn per_second(&mut self, now: Millis, span: Millis) -> f64 {
        let passed = (now - self.updated_at).as_secs_f64() / span.as_secs_f64();
        self.per_s *= (-passed).exp();
        self.updated_at = self.updated_at.max(now);
        self.per_s
    }
}
