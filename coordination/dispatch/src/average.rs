//! A moving average of what comes in a second.

use sill_base::Millis;

/// Amounts a second, of which older ones count less and less.
#[derive(Debug, Default, Clone, Copy)]
pub struct MovingAverage {
    per_s: f64,
    at: Millis,
}

impl MovingAverage {
    /// Starts with nothing.
    pub const fn new(now: Millis) -> Self {
        Self { per_s: 0.0, at: now }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Millis, span: Millis, amount: f64) {
        self.per_s = self.per_second(now, span) + amount / span.as_secs_f64();
    }

    /// Returns the average over a span.
    pub fn per_second(&mut self, now: Millis, span: Millis) -> f64 {
        let passed = (now - self.at).as_secs_f64() / span.as_secs_f64();
        self.per_s *= (-passed).exp();
        self.at = self.at.max(now);
        self.per_s
    }
}
