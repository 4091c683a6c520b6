//! Retries over all entry instances.

use sill_base::{Millis, Name};
use sill_dispatch::{RetryBounds, RetryBudgets};

/// As the users state them.
const BOUNDS: RetryBounds = RetryBounds { share: 0.2, allowance: 56.0 };
const WINDOW: u64 = 10_000;

struct Load {
    name: &'static str,
    entries: usize,
    /// Requests a second over all entry instances.
    per_s: u64,
    /// The second from which on everything fails.
    fails_from: u64,
    /// The seconds in which most entry instances restart.
    restarts: &'static [u64],
}

/// Plays a load in which, from some second on, every request asks for a retry.
fn play(load: &Load) -> (Vec<u64>, Vec<u64>) {
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
        // Callers are not spread evenly: the first entry instance has twice as many.
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
    times.iter().filter(|at| **at >= from && **at < from + WINDOW).count()
}

/// When a failure domain is lost, every request there fails at once. Retried without a bound, the endpoints
/// that are left would get their own load and the lost one's, and fall in turn.
#[test]
fn retries_of_all_entry_instances_stay_within_the_bounds() {
    let loads = [
        Load { name: "seven", entries: 7, per_s: 70, fails_from: 0, restarts: &[] },
        Load {
            name: "eight, after a calm while",
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
    stay_within_the_bounds(&loads);
}

/// Entry instances restart while everything fails: each life began with a whole reserve of retries.
#[test]
fn restarts_open_no_new_budget_of_retries() {
    let restarts = &[31, 34, 37];
    stay_within_the_bounds(&[
        Load { name: "eight", entries: 8, per_s: 70, fails_from: 30, restarts },
        Load { name: "eighty", entries: 80, per_s: 700, fails_from: 30, restarts },
    ]);
}

fn stay_within_the_bounds(loads: &[Load]) {
    for load in loads {
        let (requests, retries) = play(load);
        for from in (0..50_000).step_by(500) {
            let allowed = BOUNDS.share * within(&requests, from) as f64 + BOUNDS.allowance;
            // Eighty entry instances may each retry once, however few requests there are.
            let allowed = allowed.max(load.entries as f64);
            let made = within(&retries, from) as f64;
            assert!(made <= allowed, "{}: {made} retries from {from}, {allowed}", load.name);
        }
    }
}

/// An endpoint crashes with ten streams of one entry instance, after a while without any failure. All ten
/// go on elsewhere; the savings are there for that.
#[test]
fn a_sudden_loss_is_borne_after_a_calm_while() {
    let service = Name::from("desk");
    let mut budgets = RetryBudgets::new(BOUNDS);
    budgets.set_entries(8);
    for i in 0..300 {
        budgets.count_request(Millis(i * 100), &service);
    }
    let granted = (0..10).filter(|_| budgets.may_retry(Millis(30_000), &service)).count();
    assert_eq!(granted, 10);
}
