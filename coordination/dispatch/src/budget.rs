//! Retry budgets of one entry instance, which keep the retries of all entry instances within the
//! bounds that the users set.

use sill_base::{Map, Millis, Name};
use sill_route::{RetryBudget, RetryCfg, Target};

/// Part of the allowed retries that the entry instances use. Their loads differ and change, and the
/// users' windows may begin at any time.
const USED_PART: f64 = 0.6;

/// Part of a window's share of retries that is kept in reserve for a sudden loss. An endpoint that
/// crashes breaks ten streams at one entry instance at once; without a reserve only four of them
/// were resumed.
const RESERVE_PART: f64 = 0.4;

/// Window over which the users count retries.
const WINDOW: Millis = Millis(10_000);

/// Retries that one entry instance may always make, whatever the number of entry instances.
const MIN_RESERVE: f64 = 1.0;

/// Number of entry instances that is presumed until the first totals arrive.
const PRESUMED_ENTRIES: u32 = 16;

/// Bounds on the retries to one service, over all entry instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per request.
    pub share: f64,
    /// Additional retries allowed per window.
    pub allowance: f64,
}

/// Retry budgets of one entry instance, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    bounds: RetryBounds,
    entries: u32,
    by_service: Map<Name, ServiceBudget>,
}

#[derive(Debug)]
struct ServiceBudget {
    budget: RetryBudget,
    /// Requests per window, as a moving average.
    requests: f64,
    updated_at: Millis,
    opened_at: Millis,
}

impl RetryBudgets {
    /// Creates budgets from which nothing was taken yet.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, entries: PRESUMED_ENTRIES, by_service: Map::default() }
    }

    /// Sets the number of entry instances that share the bounds.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Counts a request to a service, which earns a fraction of a retry.
    pub fn count_request(&mut self, now: Millis, service: &Name) {
        let (bounds, entries) = (self.bounds, self.entries);
        let budget = self.service_budget(now, service);
        let passed = (now - budget.updated_at).as_secs_f64() / WINDOW.as_secs_f64();
        budget.requests = budget.requests * (-passed).exp() + 1.0;
        budget.updated_at = now;
        // Retries of this instance before a restart may still be in the window and are not known
        // here, so the reserve grows over the first window.
        let age = (now - budget.opened_at).min(WINDOW);
        let window_part = age.as_secs_f64() / WINDOW.as_secs_f64();
        let fixed = bounds.allowance * USED_PART / f64::from(entries);
        let reserve = bounds.share * RESERVE_PART * budget.requests;
        budget.budget.set_reserve((window_part * (fixed + reserve)).max(MIN_RESERVE));
        budget.budget.record_success(&Name::default(), &Target::Service(service.clone()));
    }

    /// Returns whether a retry may be sent to a service, and takes it from the budget if so.
    pub fn may_retry(&mut self, now: Millis, service: &Name) -> bool {
        let target = Target::Service(service.clone());
        self.service_budget(now, service).budget.try_spend(&Name::default(), &target)
    }

    fn service_budget(&mut self, now: Millis, service: &Name) -> &mut ServiceBudget {
        let share = self.bounds.share * USED_PART;
        self.by_service.entry(service.clone()).or_insert_with(|| {
            let cfg = RetryCfg { share, reserve: MIN_RESERVE, ..RetryCfg::default() };
            ServiceBudget {
                budget: RetryBudget::new(cfg),
                requests: 0.0,
                updated_at: now,
                opened_at: now,
            }
        })
    }
}
