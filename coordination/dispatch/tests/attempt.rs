//! What follows from an attempt.

use sill_base::Millis;
use sill_dispatch::{AttemptOutcome, CallProgress, NextStep};
use sill_tree::RouteKind;

const OUTCOMES: [AttemptOutcome; 7] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::Full,
    AttemptOutcome::NotRun,
    AttemptOutcome::WrongEndpoint,
    AttemptOutcome::Failed,
    AttemptOutcome::Unknown,
    AttemptOutcome::TimedOut,
];

/// Returns how many decisions were checked from here on.
fn check(progress: CallProgress, has_run: bool, depth: u32) -> usize {
    let mut checked = 0;
    for outcome in OUTCOMES {
        let has_run = has_run || outcome.may_have_run();
        let nexts = [progress.next_step(outcome), progress.next_step_without_retry(outcome)];
        for next in nexts {
            assert!(!(has_run && next == NextStep::RefuseNotRun), "{progress:?}, {outcome:?}");
            checked += 1;
        }
        if nexts[0] == NextStep::Retry && depth > 0 {
            let mut progress = progress;
            progress.begin();
            assert!(progress.may_have_run(), "{progress:?}");
            progress.record(outcome);
            assert_eq!(progress.possible_runs > 0, has_run, "{progress:?}");
            assert_eq!(progress.may_have_run(), has_run, "{progress:?}");
            checked += check(progress, has_run, depth - 1);
        }
    }
    checked
}

/// A call that may have run is refused as not run after some sequence of attempts, and its caller
/// runs it twice.
#[test]
fn no_sequence_of_attempts_refuses_what_may_have_run() {
    let mut checked = 0;
    for (kind, _) in RouteKind::NAMES {
        for max_attempts in 1..=3 {
            for time_left in [Millis(10), Millis(1000)] {
                checked += check(CallProgress::new(kind, max_attempts, time_left), false, 5);
            }
        }
    }
    assert!(checked > 1000, "{checked} decisions were checked");
}
