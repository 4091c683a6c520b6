//! Retries that one entry instance may make, so that all together stay within what the users allow.

use sill_base::{Map, Millis, Name};
use sill_route::{RetryBudget, RetryCfg, Target};

/// Part of what all may make together that the entry instances use, since their loads are not equal and
/// change, and windows of the users' may begin anywhere.
const PART: f64 = 0.6;

/// Part of the share of a window's requests that is saved up for a sudden loss. An endpoint that crashes
/// breaks ten streams at one entry instance at once; without savings four of them went on.
const SAVED: f64 = 0.4;

/// The window over which the users count.
const WINDOW: Millis = Millis(10_000);

/// Retries that one entry instance may always make, however many there are.
const LEAST_RESERVE: f64 = 1.0;

/// Entry instances that are presumed until their number is known.
const PRESUMED_ENTRIES: u32 = 16;

/// Bounds on the retries for a service, over all entry instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries for each request.
    pub share: f64,
    /// Retries beyond that in a window.
    pub allowance: f64,
}

/// The budgets of one entry instance, by service.
#[derive(Debug)]
pub struct Budgets {
    bounds: RetryBounds,
    entries: u32,
    by_service: Map<Name, Budget>,
}

#[derive(Debug)]
struct Budget {
    budget: RetryBudget,
    /// Requests of a window, as a moving average.
    requests: f64,
    at: Millis,
    opened: Millis,
}

impl Budgets {
    /// Makes budgets that are unused.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, entries: PRESUMED_ENTRIES, by_service: Map::default() }
    }

    /// Takes in how many entry instances there are.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Counts a request for a service, which earns a part of a retry.
    pub fn requested(&mut self, now: Millis, service: &Name) {
        let (bounds, entries) = (self.bounds, self.entries);
        let budget = self.open(now, service);
        let passed = (now - budget.at).as_secs_f64() / WINDOW.as_secs_f64();
        budget.requests = budget.requests * (-passed).exp() + 1.0;
        budget.at = now;
        // What an earlier life of this instance retried is still in the window, and nobody knows it.
        let age = (now - budget.opened).min(WINDOW);
        let earned = age.as_secs_f64() / WINDOW.as_secs_f64();
        let fixed = bounds.allowance * PART / f64::from(entries);
        let saved = bounds.share * SAVED * budget.requests;
        budget.budget.set_reserve((earned * (fixed + saved)).max(LEAST_RESERVE));
        budget.budget.record_success(&Name::default(), &Target::Service(service.clone()));
    }

    /// Returns whether a retry may be sent to a service, and counts it if so.
    pub fn may_retry(&mut self, now: Millis, service: &Name) -> bool {
        let target = Target::Service(service.clone());
        self.open(now, service).budget.try_spend(&Name::default(), &target)
    }

    fn open(&mut self, now: Millis, service: &Name) -> &mut Budget {
        let share = self.bounds.share * PART;
        self.by_service.entry(service.clone()).or_insert_with(|| {
            let cfg = RetryCfg { share, reserve: LEAST_RESERVE, ..RetryCfg::default() };
            Budget { budget: RetryBudget::new(cfg), requests: 0.0, at: now, opened: now }
        })
    }
}
