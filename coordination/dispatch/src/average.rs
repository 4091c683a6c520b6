//! A moving average of what comes in a second.

use sill_base::Millis;

/// Amounts a second, of which older ones count less and less.
#[derive(Debug, Default, Clone, Copy)]
pub struct Average {
    per_s: f64,
    at: Millis,
}

impl Average {
    /// Starts with nothing.
    pub const fn new(now: Millis) -> Self {
        Self { per_s: 0.0, at: now }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Millis, span: Millis, amount: f64) {
        self.per_s = self.at(now, span) + amount / span.as_secs_f64();
    }

    /// Returns the average over a span.
    pub fn at(&mut self, now: Millis, span: Millis) -> f64 {
        let passed = (now - self.at).as_secs_f64() / span.as_secs_f64();
        self.per_s *= (-passed).exp();
        self.at = self.at.max(now);
        self.per_s
    }
}
