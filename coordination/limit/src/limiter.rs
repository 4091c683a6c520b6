//! The limiter of one entry instance.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

/// Settings of a limiter.
#[derive(Debug, Clone)]
pub struct LimiterCfg {
    /// The entry instance.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
}

/// What a request costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Prompt tokens, and answer tokens asked for.
    pub tokens: u64,
}

/// Whether a request may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may.
    Admit,
    /// The client account is over its limit here.
    Refuse {
        /// When to come back.
        retry_after: Millis,
    },
}

/// Admits requests of client accounts within the share of this entry instance.
#[derive(Debug)]
pub struct Limiter {
    _cfg: LimiterCfg,
}

impl Limiter {
    /// Makes a limiter that knows no limit.
    pub fn new(cfg: LimiterCfg) -> Self {
        Self { _cfg: cfg }
    }

    /// Admits a request or refuses it.
    pub fn admit(&mut self, _now: Millis, _account: &Name, _cost: Cost) -> Verdict {
        Verdict::Admit
    }
}
