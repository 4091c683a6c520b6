//! The rate at which requests are sent to an endpoint that has named a limit.

use sill_base::Millis;

use crate::request::SendRate;

/// A token bucket of requests. It begins empty, since another entry instance may just have used the
/// same part of the limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    rate: SendRate,
    tokens: f64,
    filled_at: Millis,
}

impl Pace {
    pub(crate) fn new(now: Millis, rate: SendRate) -> Self {
        Self { rate, tokens: 0.0, filled_at: now }
    }

    /// Changes the rate and keeps what has been saved up, as far as the new burst allows.
    pub(crate) fn set_rate(&mut self, now: Millis, rate: SendRate) {
        self.tokens = self.tokens_at(now).min(rate.burst);
        self.filled_at = now;
        self.rate = rate;
    }

    pub(crate) fn may_send(&self, now: Millis) -> bool {
        self.tokens_at(now) >= 1.0
    }

    pub(crate) fn record_sent(&mut self, now: Millis) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.filled_at = now;
    }

    fn tokens_at(&self, now: Millis) -> f64 {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate.per_s;
        (self.tokens + gained).min(self.rate.burst)
    }
}
