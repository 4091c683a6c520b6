//! What an account asks for, admitted or not, as a moving average.

use sill_base::Millis;

use crate::limiter::SplitCfg;

/// Requests and tokens, asked for in a second or as parts of a whole.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Requests.
    pub requests: f64,
    /// Tokens.
    pub tokens: f64,
}

/// Demand of one account here.
#[derive(Debug, Default, Clone)]
pub(crate) struct Demand {
    average: Rates,
    asked: Rates,
    since: Millis,
}

impl Rates {
    /// Applies a function to each kind.
    pub(crate) fn zip<F>(self, other: Self, f: F) -> Self
    where
        F: Fn(f64, f64) -> f64,
    {
        Self { requests: f(self.requests, other.requests), tokens: f(self.tokens, other.tokens) }
    }

    /// Adds both kinds.
    pub(crate) fn plus(self, other: Self) -> Self {
        self.zip(other, |a, b| a + b)
    }
}

impl Demand {
    pub(crate) fn new(now: Millis) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// Counts a request.
    pub(crate) fn ask(&mut self, tokens: u64) {
        self.asked.requests += 1.0;
        self.asked.tokens += tokens as f64;
    }

    /// Returns the average after taking in all that was asked since the last call.
    /// Few requests are averaged over longer, since their chance gaps would shift shares about.
    pub(crate) fn update(&mut self, now: Millis, cfg: &SplitCfg) -> Rates {
        let passed = now.since(self.since).as_secs_f64();
        if passed > 0.0 {
            let span = cfg.averaging_window.as_secs_f64();
            let needed = cfg.min_averaged_requests / self.average.requests.max(1e-9);
            let keep = (-passed / needed.clamp(span, 5.0 * span)).exp();
            let asked = std::mem::take(&mut self.asked);
            self.average = self.average.zip(asked, |a, n| a * keep + n / passed * (1.0 - keep));
            self.since = now;
        }
        self.average
    }
}
