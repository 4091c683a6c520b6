//! The limiter of the entry instance.

use parking_lot::Mutex;
use sill_base::{Millis, Name};
use sill_limit::{Cost, Limiter, LimiterCfg, Verdict};

use crate::cfg::EntryCfg;

/// Limits of client accounts.
#[derive(Debug)]
pub struct Limits(Mutex<Limiter>);

impl Limits {
    /// Makes a limiter that knows no limit.
    pub fn new(cfg: &EntryCfg) -> Self {
        let cfg = LimiterCfg { entry: cfg.name.clone(), domain: cfg.domain.clone() };
        Self(Mutex::new(Limiter::new(cfg)))
    }

    /// Admits a request of an account or refuses it.
    pub fn admit(&self, now: Millis, account: &Name, cost: Cost) -> Verdict {
        self.0.lock().admit(now, account, cost)
    }
}
