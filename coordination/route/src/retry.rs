//! Retry budgets: retries may only be a share of the successes.
//!
//! When a failure domain is lost, each of its requests fails at once. Were all of them retried,
//! the endpoints left would get their own load and the lost one's twice, and fall in turn. The
//! budget bounds retries to a share of what succeeds, so the added load stays bounded too.

use sill_base::{Map, Name};

use crate::request::Target;

/// Figures of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryCfg {
    /// Retries earned by one success.
    pub share: f64,
    /// Retries that can be saved up.
    pub reserve: f64,
    /// Pairs of client account and target that are remembered.
    pub max_pairs: usize,
}

/// Retries that each client account has left for each model or service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    cfg: RetryCfg,
    spent: Map<Pair, f64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pair {
    account: Name,
    target: Target,
}

impl RetryBudget {
    /// Makes a budget of which nothing is spent.
    pub fn new(cfg: RetryCfg) -> Self {
        Self { cfg, spent: Map::default() }
    }

    /// Sets how many retries can be saved up from now on.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.cfg.reserve = reserve;
    }

    /// Notes an answer that came whole.
    pub fn record_success(&mut self, account: &Name, target: &Target) {
        let pair = Pair { account: account.clone(), target: target.clone() };
        let Some(spent) = self.spent.get_mut(&pair) else {
            return;
        };
        *spent -= self.cfg.share;
        if *spent <= 0.0 {
            self.spent.remove(&pair);
        }
    }

    /// Returns whether a retry may be sent, and counts it if so.
    pub fn try_spend(&mut self, account: &Name, target: &Target) -> bool {
        let pair = Pair { account: account.clone(), target: target.clone() };
        let is_new = !self.spent.contains_key(&pair);
        if is_new && self.spent.len() >= self.cfg.max_pairs {
            return false;
        }
        let spent = self.spent.entry(pair).or_default();
        let fits = *spent + 1.0 <= self.cfg.reserve;
        if fits {
            *spent += 1.0;
        }
        fits
    }
}

impl Default for RetryCfg {
    fn default() -> Self {
        Self { share: 0.1, reserve: 10.0, max_pairs: 4096 }
    }
}
