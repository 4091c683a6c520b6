//! Retries over all entry instances.

use sill_base::{Millis, Name};
use sill_dispatch::{RetryBounds, RetryBudgets};

/// The bounds as the users state them.
const BOUNDS: RetryBounds = RetryBounds { share: 0.2, allowance: 56.0 };
const WINDOW_MS: u64 = 10_000;

struct Load {
    name: &'static str,
    entries: usize,
    /// Requests per second over all entry instances.
    per_s: u64,
    /// Second from which on every request fails.
    fails_from: u64,
    /// Seconds in which most entry instances restart.
    restarts: &'static [u64],
}

/// Simulates a load whose requests all need a retry from some second on. Returns the times of
/// requests and retries, in ms.
fn simulate(load: &Load) -> (Vec<u64>, Vec<u64>) {
    let service = Name::from("desk");
    let mut budgets: Vec<RetryBudgets> =
        (0..load.entries).map(|_| RetryBudgets::new(BOUNDS)).collect();
    budgets.iter_mut().for_each(|budgets| budgets.set_entries(load.entries as u32));
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let restarted = load.entries * 3 / 4;
    let mut restarts = load.restarts.iter().peekable();
    for i in 0..load.per_s * 60 {
        let now = i * 1000 / load.per_s;
        if restarts.next_if(|at| now >= **at * 1000).is_some() {
            for budgets in &mut budgets[..restarted] {
                *budgets = RetryBudgets::new(BOUNDS);
                budgets.set_entries(load.entries as u32);
            }
        }
        // Callers are not spread evenly: the first entry instance receives twice as many.
        let entry = (i as usize * 7 % (load.entries + 1)) % load.entries;
        budgets[entry].count_request(Millis(now), &service);
        requests.push(now);
        if now >= load.fails_from * 1000 && budgets[entry].may_retry(Millis(now), &service) {
            retries.push(now);
        }
    }
    (requests, retries)
}

fn within(times: &[u64], from: u64) -> usize {
    times.iter().filter(|at| **at >= from && **at < from + WINDOW_MS).count()
}

/// When a failure domain is lost, every request there fails at once. Without a bound on retries,
/// the remaining endpoints would receive their own load and that of the lost ones, and fail in
/// turn.
#[test]
fn retries_of_all_entry_instances_stay_within_the_bounds() {
    let loads = [
        Load { name: "seven", entries: 7, per_s: 70, fails_from: 0, restarts: &[] },
        Load {
            name: "eight, after a time without failures",
            entries: 8,
            per_s: 70,
            fails_from: 30,
            restarts: &[],
        },
        Load { name: "eighty", entries: 80, per_s: 700, fails_from: 30, restarts: &[] },
        Load {
            name: "eighty, hardly any requests",
            entries: 80,
            per_s: 10,
            fails_from: 0,
            restarts: &[],
        },
    ];
    assert_within_bounds(&loads);
}

/// Entry instances restart while every request fails. Each new process began with a full reserve of
/// retries.
#[test]
fn restarts_do_not_refill_the_retry_budget() {
    let restarts = &[31, 34, 37];
    assert_within_bounds(&[
        Load { name: "eight", entries: 8, per_s: 70, fails_from: 30, restarts },
        Load { name: "eighty", entries: 80, per_s: 700, fails_from: 30, restarts },
    ]);
}

fn assert_within_bounds(loads: &[Load]) {
    for load in loads {
        let (requests, retries) = simulate(load);
        for from in (0..50_000).step_by(500) {
            let allowed = BOUNDS.share * within(&requests, from) as f64 + BOUNDS.allowance;
            // Eighty entry instances may each retry once, however few requests there are.
            let allowed = allowed.max(load.entries as f64);
            let made = within(&retries, from) as f64;
            assert!(
                made <= allowed,
                "{}: {made} retries in the window from {from} ms, {allowed} allowed",
                load.name
            );
        }
    }
}

/// An endpoint crashes with ten streams of one entry instance, after a time without failures. The
/// reserve must allow all ten to be retried elsewhere.
#[test]
fn a_sudden_loss_is_retried_from_the_reserve() {
    let service = Name::from("desk");
    let mut budgets = RetryBudgets::new(BOUNDS);
    budgets.set_entries(8);
    for i in 0..300 {
        budgets.count_request(Millis(i * 100), &service);
    }
    let granted = (0..10).filter(|_| budgets.may_retry(Millis(30_000), &service)).count();
    assert_eq!(granted, 10);
}
