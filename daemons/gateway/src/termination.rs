//! The end of a planned stop: what is still open is ended in a way that its caller and the on-call
//! engineer can tell from a fault.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// Lines on calls that the stop ended, for each way. The log must not take the moment that is left from the
/// calls that are still to be ended; the rest is counted.
pub const MAX_LINES_PER_OUTCOME: usize = 300;

/// How near the end of the process is.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FinalPhase {
    /// Calls go on.
    #[default]
    Open,
    /// What waits for the first byte of its answer is answered.
    LastAnswers,
    /// What still runs is cut.
    Cut,
}

/// How a call was ended by the stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// Told that it has not run.
    Refused,
    /// Told that its outcome is unknown.
    Failed,
    /// In the middle of its answer, or with its caller not reading.
    Cut,
}

/// The phase, for all who wait for it, and what it ended.
#[derive(Debug, Default)]
pub struct Termination {
    phase: watch::Sender<FinalPhase>,
    refused: AtomicUsize,
    failed: AtomicUsize,
    cut: AtomicUsize,
}

impl Termination {
    /// Begins a phase.
    pub fn enter(&self, phase: FinalPhase) {
        self.phase.send_replace(phase);
    }

    /// Returns whether a phase has begun.
    pub fn has_begun(&self, phase: FinalPhase) -> bool {
        *self.phase.borrow() >= phase
    }

    /// Waits until a phase has begun.
    pub fn wait_for(&self, phase: FinalPhase) -> impl Future<Output = ()> + Send + use<> {
        let mut phases = self.phase.subscribe();
        async move {
            if phases.wait_for(|current| *current >= phase).await.is_err() {
                std::future::pending().await
            }
        }
    }

    /// Counts a call that the stop ended; returns whether it gets a line.
    pub fn record(&self, outcome: StopOutcome) -> bool {
        self.counter(outcome).fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_OUTCOME
    }

    /// Returns how many calls the stop ended so.
    pub fn count(&self, outcome: StopOutcome) -> usize {
        self.counter(outcome).load(Ordering::Relaxed)
    }

    /// Returns how many of them have no line.
    pub fn unlogged(&self) -> usize {
        // Each refusal has a line like all others, which the queue of the log bounds.
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
