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

/// Shortest time between two trials of an entry instance at one brittle endpoint, in milliseconds.
/// Twice that is the longest.
const BRITTLE_TRIAL_INTERVAL_MS: f64 = 1200.0;

/// How long an entry instance sends nothing to a brittle endpoint that rejected a request although
/// the one before it had had room: it holds fewer requests than before.
const CLOSED_TIME: Millis = Millis(1100);

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

/// Returns the time until the next trial at a brittle endpoint.
pub(crate) fn brittle_trial_interval(rng: &mut Rng) -> Millis {
    Millis((BRITTLE_TRIAL_INTERVAL_MS * rng.random_range(1.0..2.0)) as u64)
}

/// The most requests that an endpoint is presumed to hold.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Room {
    /// Requests that it held when it rejected one more.
    limit: u32,
    /// Own requests among them. Of a brittle endpoint, this entry instance takes no more.
    own_limit: u32,
    learned_at: Millis,
    /// When a request beyond the limit may be sent, to find out whether it is rejected too.
    next_trial: Millis,
    /// Until when nothing is sent if the endpoint is brittle.
    closed_until: Millis,
}

/// The number of requests at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    /// Of all entry instances, as far as known.
    pub(crate) all: u32,
    /// Of this one.
    pub(crate) own: u32,
}

impl Room {
    /// Creates the room of an endpoint that rejected an own request while it held `held`.
    pub(crate) fn learn(held: Held, at: Millis, trial_interval: Millis, was_trial: bool) -> Self {
        let closed_until = if was_trial { at } else { at + CLOSED_TIME };
        Self {
            limit: held.all,
            own_limit: held.own,
            learned_at: at,
            next_trial: at + trial_interval,
            closed_until,
        }
    }

    /// Creates the room of an endpoint that rejected a request of another entry instance while it
    /// held `limit`; `before` is what was known of it.
    pub(crate) fn learn_elsewhere(
        before: Option<Self>,
        limit: u32,
        at: Millis,
        trial_interval: Millis,
    ) -> Self {
        let (own_limit, closed_until) =
            before.map_or((u32::MAX, Millis::ZERO), |room| (room.own_limit, room.closed_until));
        Self { limit, own_limit, learned_at: at, next_trial: at + trial_interval, closed_until }
    }

    /// Returns when the rejection occurred.
    pub(crate) fn learned_at(&self) -> Millis {
        self.learned_at
    }

    /// Returns whether one more request may be sent to an endpoint.
    pub(crate) fn admits(&self, now: Millis, held: Held, is_brittle: bool) -> bool {
        if is_brittle {
            return now >= self.closed_until
                && (!self.is_full(held, true) || now >= self.next_trial);
        }
        !self.is_full(held, false) || now >= self.next_trial || now - self.learned_at >= ROOM_TTL
    }

    /// Returns whether the endpoint is presumed to be full, so that another request is a trial.
    pub(crate) fn is_full(&self, held: Held, is_brittle: bool) -> bool {
        match is_brittle && self.own_limit != u32::MAX {
            true => held.own >= self.own_limit,
            false => held.all >= self.limit,
        }
    }

    /// Records that a trial is sent.
    pub(crate) fn record_trial(&mut self, now: Millis, trial_interval: Millis) {
        self.next_trial = now + trial_interval;
    }

    /// Records how many requests the endpoint holds. If these are more than were presumed to have
    /// room, the next request may find out whether there is room for more; a brittle endpoint must
    /// not be asked that often.
    pub(crate) fn record_held(&mut self, now: Millis, held: Held, is_brittle: bool) {
        self.own_limit = self.own_limit.max(held.own);
        if held.all > self.limit {
            self.limit = held.all;
            if !is_brittle {
                self.next_trial = now;
            }
        }
    }
}
