//! Retry budgets: retries are limited to a share of the successful requests.
//!
//! When a failure domain is lost, all of its requests fail at once. If all of them were retried,
//! the remaining endpoints would get their own load and that of the lost domain twice, and would
//! fail in turn. The budget limits retries to a share of the successes, which bounds the added load
//! too.

use sill_base::{Map, Name};

use crate::request::Target;

/// Parameters of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryCfg {
    /// Retries that one successful request earns.
    pub share: f64,
    /// Highest number of retries that can be saved up.
    pub reserve: f64,
    /// Pairs of client account and target that are tracked. Retries of further pairs are refused.
    pub max_pairs: usize,
}

/// Retries that each client account has spent for each model or service.
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
    /// Creates a budget with the whole reserve available.
    pub fn new(cfg: RetryCfg) -> Self {
        Self { cfg, spent: Map::default() }
    }

    /// Sets the reserve. Retries that are already spent still count.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.cfg.reserve = reserve;
    }

    /// Records a complete answer, which earns a share of a retry.
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

    /// Spends a retry if the budget allows one, and returns whether it does.
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
