//! Demand of an account, whether admitted or refused, as a moving average.

use sill_base::Millis;

use crate::limiter::SplitCfg;

/// A pair of values for requests and tokens: rates per second, or fractions of a whole.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Value for requests.
    pub requests: f64,
    /// Value for tokens.
    pub tokens: f64,
}

/// Demand of one account at this entry instance.
#[derive(Debug, Default, Clone)]
pub(crate) struct Demand {
    average: Rates,
    /// Requests and tokens counted since the last update.
    since_update: Rates,
    updated_at: Millis,
}

impl Rates {
    /// Combines the values for requests, and those for tokens, by a function.
    pub(crate) fn zip<F>(self, other: Self, f: F) -> Self
    where
        F: Fn(f64, f64) -> f64,
    {
        Self { requests: f(self.requests, other.requests), tokens: f(self.tokens, other.tokens) }
    }

    /// Returns the sums of the values.
    pub(crate) fn plus(self, other: Self) -> Self {
        self.zip(other, |a, b| a + b)
    }
}

impl Demand {
    pub(crate) fn new(now: Millis) -> Self {
        Self { updated_at: now, ..Self::default() }
    }

    /// Counts a request and its tokens.
    pub(crate) fn record(&mut self, tokens: u64) {
        self.since_update.requests += 1.0;
        self.since_update.tokens += tokens as f64;
    }

    /// Updates the moving average by what was recorded since the last call, and returns it. If
    /// requests are rare, the window is longer, since random gaps between them would otherwise move
    /// shares back and forth.
    pub(crate) fn update(&mut self, now: Millis, cfg: &SplitCfg) -> Rates {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        if elapsed_s > 0.0 {
            let window_s = cfg.averaging_window.as_secs_f64();
            let needed_s = cfg.min_averaged_requests / self.average.requests.max(1e-9);
            let decay = (-elapsed_s / needed_s.clamp(window_s, 5.0 * window_s)).exp();
            let since_update = std::mem::take(&mut self.since_update);
            self.average =
                self.average.zip(since_update, |a, n| a * decay + n / elapsed_s * (1.0 - decay));
            self.updated_at = now;
        }
        self.average
    }
}
