//! A token bucket that may go into debt.
//!
//! A share of a small limit is often less than a single request. A bucket that had to hold the
//! whole request first would never admit it; so a request is admitted while the bucket holds
//! anything, and its excess is paid back before the next.

use sill_base::{Millis, Promise, keep};

/// Requests that can be saved up beside the burst, since a small share would run over between two
/// requests that come by chance far apart.
const SAVED_REQUESTS: f64 = 3.0;

/// A bucket and, apart from it, a meter of what was admitted.
#[derive(Debug, Clone)]
pub struct Bucket {
    balance: f64,
    rate: f64,
    filled: Millis,
    meter: Meter,
}

/// What was admitted, less what the share has paid for since.
#[derive(Debug, Clone)]
struct Meter {
    level: f64,
    highest_cap: f64,
    largest: f64,
}

impl Bucket {
    /// Makes a full bucket with a rate in units a second that saves up a burst.
    pub fn new(now: Millis, rate: f64, burst: Millis) -> Self {
        let cap = rate * burst.as_secs_f64();
        let meter = Meter { level: 0.0, highest_cap: cap, largest: 0.0 };
        Self { balance: cap, rate, filled: now, meter }
    }

    /// Sets the rate from now on.
    pub fn set_rate(&mut self, now: Millis, rate: f64, burst: Millis) {
        self.fill(now, burst);
        self.rate = rate;
    }

    /// Returns whether a request may pass.
    pub fn can_admit(&mut self, now: Millis, burst: Millis) -> bool {
        self.fill(now, burst);
        self.balance > 0.0
    }

    /// Returns whether it holds what a request costs, or is full where it never holds so much.
    pub fn can_cover(&mut self, now: Millis, burst: Millis, cost: f64) -> bool {
        self.fill(now, burst);
        self.balance >= cost.min(self.rate * burst.as_secs_f64())
    }

    /// Returns what it holds; below zero, it is in debt.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Takes all that it holds.
    pub fn drain(&mut self) {
        self.balance = self.balance.min(0.0);
    }

    /// Takes what a request costs.
    pub fn charge(&mut self, cost: f64) {
        self.balance -= cost;
    }

    /// Meters what was let through, and checks that it is no more than a burst and one request
    /// beyond the share.
    pub fn meter(&mut self, cost: f64) {
        let Meter { level, highest_cap, largest } = &mut self.meter;
        *level += cost;
        *largest = largest.max(cost);
        keep!(
            Promise::AccountLimit,
            *level <= (*highest_cap + *largest) * (1.0 + 1e-6),
            "{level} is out beyond the share, with bursts of {highest_cap} and requests of {largest}"
        );
    }

    /// Returns when the bucket holds something again.
    pub fn time_to_admit(&self) -> Millis {
        self.time_to_balance(0.0)
    }

    /// Returns when the bucket holds an amount.
    pub fn time_to_balance(&self, amount: f64) -> Millis {
        const LONGEST: f64 = 60_000.0;
        let missing = (amount - self.balance).max(0.0) / self.rate.max(1e-9);
        Millis((missing * 1000.0).min(LONGEST) as u64)
    }

    fn fill(&mut self, now: Millis, burst: Millis) {
        let gained = self.rate * now.since(self.filled).as_secs_f64();
        let cap = self.rate * burst.as_secs_f64() + SAVED_REQUESTS * self.meter.largest;
        self.filled = self.filled.max(now);
        self.balance = (self.balance + gained).min(cap);
        self.meter.level = (self.meter.level - gained).max(0.0);
        self.meter.highest_cap = self.meter.highest_cap.max(cap);
    }
}
