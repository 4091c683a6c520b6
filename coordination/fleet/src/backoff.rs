//! Exponential backoff for offers whose starts are refused, separate for each offer.

use rand::Rng as _;
use sill_base::random::Rng;
use sill_base::{Map, Millis};

use crate::offer::OfferKey;

/// Delays before a refused offer is requested again.
#[derive(Debug, Clone, Copy)]
pub struct BackoffCfg {
    /// Delay after the first refusal.
    pub initial_delay: Millis,
    /// Upper bound of the delay, before jitter.
    pub max_delay: Millis,
}

impl Default for BackoffCfg {
    fn default() -> Self {
        Self { initial_delay: Millis::from_secs(10), max_delay: Millis::from_secs(600) }
    }
}

/// Offers whose last start was refused.
#[derive(Debug)]
pub struct Backoff {
    cfg: BackoffCfg,
    refusals: Map<OfferKey, Refusal>,
}

#[derive(Debug, Clone, Copy)]
struct Refusal {
    delay: Millis,
    until: Millis,
}

impl Backoff {
    /// Creates a backoff without refusals.
    pub fn new(cfg: BackoffCfg) -> Self {
        Self { cfg, refusals: Map::default() }
    }

    /// Records a refusal, unless the offer is blocked already.
    ///
    /// The delay doubles with each refusal in a row. A jitter of up to a quarter of it keeps
    /// services that were refused together from retrying together.
    pub fn record_refusal(&mut self, now: Millis, key: &OfferKey, rng: &mut Rng) {
        let previous = self.refusals.get(key).copied();
        if previous.is_some_and(|refusal| now < refusal.until) {
            return;
        }
        let delay =
            previous.map_or(self.cfg.initial_delay, |r| (r.delay * 2).min(self.cfg.max_delay));
        let jitter = Millis(rng.random_range(0..=delay.0 / 4));
        self.refusals.insert(key.clone(), Refusal { delay, until: now + delay + jitter });
    }

    /// Records that a start was granted, which ends the backoff of the offer.
    pub fn record_grant(&mut self, key: &OfferKey) {
        self.refusals.remove(key);
    }

    /// Returns whether an offer must not be requested yet.
    pub fn is_blocked(&self, now: Millis, key: &OfferKey) -> bool {
        self.refusals.get(key).is_some_and(|refusal| now < refusal.until)
    }
}
