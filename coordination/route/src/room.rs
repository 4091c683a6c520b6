//! How many requests an endpoint holds, as learned from the requests that it rejected.
//!
//! What is learned from a rejection has an end: from time to time one request more is sent, since
//! nothing else shows that there is room again.

use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::Rng;

/// Bounds of the time between two trials at one endpoint, in milliseconds.
const MIN_TRIAL_INTERVAL_MS: f64 = 100.0;
const MAX_TRIAL_INTERVAL_MS: f64 = 1500.0;

/// Factor on that time after a request that was rejected. Together with the next, it lets about a
/// sixth of the trials succeed.
const REJECTED_FACTOR: f64 = 1.04;

/// Factor on that time after a trial that was accepted.
const ACCEPTED_FACTOR: f64 = 0.8;

/// Time after which a rejection says nothing any more.
const ROOM_TTL: Millis = Millis(10_000);

/// How often requests are sent to endpoints that are presumed to be full. The more entry instances
/// there are, and the fewer endpoints have room, the rarer such trials must be.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrialPace {
    interval_ms: f64,
}

impl Default for TrialPace {
    fn default() -> Self {
        Self { interval_ms: MIN_TRIAL_INTERVAL_MS }
    }
}

impl TrialPace {
    /// Records whether a request to an endpoint that was presumed to be full was accepted.
    pub(crate) fn record(&mut self, is_accepted: bool) {
        let factor = if is_accepted { ACCEPTED_FACTOR } else { REJECTED_FACTOR };
        let interval_ms = self.interval_ms * factor;
        self.interval_ms = interval_ms.clamp(MIN_TRIAL_INTERVAL_MS, MAX_TRIAL_INTERVAL_MS);
    }

    /// Returns the time until the next trial, with jitter: entry instances that heard of the same
    /// rejection would otherwise all try at once.
    pub(crate) fn next_interval(&self, rng: &mut Rng) -> Millis {
        Millis((self.interval_ms * rng.random_range(1.0..2.0)) as u64)
    }
}

/// The most requests that an endpoint is presumed to hold.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Room {
    /// Requests that it held when it rejected one more.
    limit: u32,
    learned_at: Millis,
    /// When a request beyond the limit may be sent, to find out whether it is rejected too.
    next_trial: Millis,
}

impl Room {
    /// Creates the room of an endpoint that rejected a request while it held `limit` others.
    pub(crate) fn learn(limit: u32, at: Millis, trial_interval: Millis) -> Self {
        Self { limit, learned_at: at, next_trial: at + trial_interval }
    }

    /// Returns when the rejection occurred.
    pub(crate) fn learned_at(&self) -> Millis {
        self.learned_at
    }

    /// Returns whether one more request may be sent to an endpoint that holds `active`.
    pub(crate) fn admits(&self, now: Millis, active: u32) -> bool {
        active < self.limit || now >= self.next_trial || now - self.learned_at >= ROOM_TTL
    }

    /// Returns whether the endpoint is presumed to be full with `active` requests, so that another
    /// one is a trial.
    pub(crate) fn is_full(&self, active: u32) -> bool {
        active >= self.limit
    }

    /// Records that a trial is sent.
    pub(crate) fn record_trial(&mut self, now: Millis, trial_interval: Millis) {
        self.next_trial = now + trial_interval;
    }

    /// Records that the endpoint holds `active` requests. If these are more than were presumed to
    /// have room, the next request may find out whether there is room for more.
    pub(crate) fn record_held(&mut self, now: Millis, active: u32) {
        if active > self.limit {
            self.limit = active;
            self.next_trial = now;
        }
    }
}
