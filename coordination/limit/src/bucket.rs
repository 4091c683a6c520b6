//! A token bucket whose balance may become negative.
//!
//! The share of a small limit is often less than the cost of a single request. If the bucket had to
//! cover the whole cost first, it would never admit the request. So a request is admitted while the
//! balance is positive, and the debt is paid back before the next one.

use sill_base::{Millis, Promise, assert_promise};

/// Requests that can be saved up in addition to the burst. Without them, the bucket of a small
/// share would overflow, and lose tokens, between two requests that are far apart by chance.
const EXTRA_REQUESTS: f64 = 3.0;

/// A token bucket, with a separate meter of the admitted cost.
#[derive(Debug, Clone)]
pub struct Bucket {
    balance: f64,
    rate: f64,
    filled_at: Millis,
    meter: Meter,
}

/// Checks the admitted cost against the share, independently of the balance.
#[derive(Debug, Clone)]
struct Meter {
    /// Cost that was admitted, less what the share has refilled since.
    level: f64,
    /// Largest capacity that the bucket has had.
    max_cap: f64,
    /// Largest cost of a single request.
    max_cost: f64,
}

impl Bucket {
    /// Creates a full bucket with a rate in units per second. `burst` is the time for which unused
    /// units are saved up.
    pub fn new(now: Millis, rate: f64, burst: Millis) -> Self {
        let cap = rate * burst.as_secs_f64();
        let meter = Meter { level: 0.0, max_cap: cap, max_cost: 0.0 };
        Self { balance: cap, rate, filled_at: now, meter }
    }

    /// Refills the bucket at the old rate up to now and sets a new rate in units per second.
    pub fn set_rate(&mut self, now: Millis, rate: f64, burst: Millis) {
        self.fill(now, burst);
        self.rate = rate;
    }

    /// Refills the bucket and returns whether its balance is positive, so that a request may be
    /// admitted.
    pub fn can_admit(&mut self, now: Millis, burst: Millis) -> bool {
        self.fill(now, burst);
        self.balance > 0.0
    }

    /// Refills the bucket and returns whether its balance covers a request's cost. If the cost is
    /// more than a burst, the balance of a whole burst is enough.
    pub fn can_cover(&mut self, now: Millis, burst: Millis, cost: f64) -> bool {
        self.fill(now, burst);
        self.balance >= cost.min(self.rate * burst.as_secs_f64())
    }

    /// Returns the balance as of the last refill. A negative balance is debt.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Sets a positive balance to zero and leaves debt as it is.
    pub fn drain(&mut self) {
        self.balance = self.balance.min(0.0);
    }

    /// Subtracts a request's cost from the balance, which may become negative.
    pub fn charge(&mut self, cost: f64) {
        self.balance -= cost;
    }

    /// Adds an admitted cost to the meter, and checks that the admitted total exceeds the share by
    /// no more than a burst and one request.
    pub fn meter(&mut self, cost: f64) {
        let Meter { level, max_cap, max_cost } = &mut self.meter;
        *level += cost;
        *max_cost = max_cost.max(cost);
        assert_promise!(
            Promise::AccountLimit,
            *level <= (*max_cap + *max_cost) * (1.0 + 1e-6),
            "admitted {level} more than the share, allowed is a burst of {max_cap} and a request of \
             {max_cost}"
        );
    }

    /// Returns the time until the balance is no longer negative, at most 60 s.
    pub fn time_to_admit(&self) -> Millis {
        self.time_to_balance(0.0)
    }

    /// Returns the time until the balance reaches an amount, at most 60 s.
    pub fn time_to_balance(&self, amount: f64) -> Millis {
        const MAX_WAIT_MS: f64 = 60_000.0;
        let wait_s = (amount - self.balance).max(0.0) / self.rate.max(1e-9);
        Millis((wait_s * 1000.0).min(MAX_WAIT_MS) as u64)
    }

    fn fill(&mut self, now: Millis, burst: Millis) {
        let gained = self.rate * now.since(self.filled_at).as_secs_f64();
        let cap = self.rate * burst.as_secs_f64() + EXTRA_REQUESTS * self.meter.max_cost;
        self.filled_at = self.filled_at.max(now);
        self.balance = (self.balance + gained).min(cap);
        self.meter.level = (self.meter.level - gained).max(0.0);
        self.meter.max_cap = self.meter.max_cap.max(cap);
    }
}
