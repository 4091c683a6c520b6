//! The end of a planned stop: calls that are still open are ended so that callers and on-call
//! engineers can tell this from a fault.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// Number of log lines for calls ended by the stop, per outcome. Logging must not take the short
/// time needed to end the remaining calls; further ones are only counted.
pub const MAX_LINES_PER_OUTCOME: usize = 300;

/// How close the end of the process is.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FinalPhase {
    /// Calls are served.
    #[default]
    Open,
    /// A planned stop has begun.
    Stopping,
    /// Calls that wait for the first byte of their answers get an error response.
    LastAnswers,
    /// Calls that are still running are cut.
    Cut,
}

/// How the stop ended a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The caller got a response that says that the call has not run.
    Refused,
    /// The caller got a response that says that the outcome is unknown.
    Failed,
    /// The answer was cut, or its caller had stopped reading.
    Cut,
}

/// The current phase, for all tasks that wait for it, and the number of calls ended per outcome.
#[derive(Debug, Default)]
pub struct Termination {
    phase: watch::Sender<FinalPhase>,
    refused: AtomicUsize,
    failed: AtomicUsize,
    cut: AtomicUsize,
}

impl Termination {
    /// Enters a phase and wakes all tasks that wait for it.
    pub fn enter(&self, phase: FinalPhase) {
        self.phase.send_replace(phase);
    }

    /// Returns whether a phase, or a later one, was entered.
    pub fn has_begun(&self, phase: FinalPhase) -> bool {
        *self.phase.borrow() >= phase
    }

    /// Waits until a phase, or a later one, is entered.
    pub fn wait_for(&self, phase: FinalPhase) -> impl Future<Output = ()> + Send + use<> {
        let mut phases = self.phase.subscribe();
        async move {
            if phases.wait_for(|current| *current >= phase).await.is_err() {
                std::future::pending().await
            }
        }
    }

    /// Counts a call ended by the stop; returns whether a line is logged for it.
    pub fn record(&self, outcome: StopOutcome) -> bool {
        self.counter(outcome).fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_OUTCOME
    }

    /// Returns how many calls the stop ended with an outcome.
    pub fn count(&self, outcome: StopOutcome) -> usize {
        self.counter(outcome).load(Ordering::Relaxed)
    }

    /// Returns how many calls ended by the stop have no log line.
    pub fn unlogged(&self) -> usize {
        // Every refusal has a log line; the queue of the log bounds those.
        let outcomes = [StopOutcome::Failed, StopOutcome::Cut];
        outcomes
            .iter()
            .map(|outcome| self.count(*outcome).saturating_sub(MAX_LINES_PER_OUTCOME))
            .sum()
    }

    fn counter(&self, outcome: StopOutcome) -> &AtomicUsize {
        match outcome {
            StopOutcome::Refused => &self.refused,
            StopOutcome::Failed => &self.failed,
            StopOutcome::Cut => &self.cut,
        }
    }
}
