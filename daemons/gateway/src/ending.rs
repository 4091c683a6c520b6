//! The end of a planned stop: what is still open is ended in a way that its caller and the on-call
//! engineer can tell from a fault.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// Lines on calls that the stop ended, for each way. The log must not take the moment that is left from the
/// calls that are still to be ended; the rest is counted.
pub const LINES_BY_STOP: usize = 300;

/// How near the end of the process is.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
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
pub enum ByStop {
    /// Told that it has not run.
    Refused,
    /// Told that its outcome is unknown.
    Failed,
    /// In the middle of its answer, or with its caller not reading.
    Cut,
}

/// The phase, for all who wait for it, and what it ended.
#[derive(Debug, Default)]
pub struct Ending {
    phase: watch::Sender<Phase>,
    refused: AtomicUsize,
    failed: AtomicUsize,
    cut: AtomicUsize,
}

impl Ending {
    /// Begins a phase.
    pub fn begin(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns whether a phase has begun.
    pub fn has_begun(&self, phase: Phase) -> bool {
        *self.phase.borrow() >= phase
    }

    /// Waits until a phase has begun.
    pub fn begins(&self, phase: Phase) -> impl Future<Output = ()> + Send + use<> {
        let mut begun = self.phase.subscribe();
        async move {
            if begun.wait_for(|now| *now >= phase).await.is_err() {
                std::future::pending().await
            }
        }
    }

    /// Counts a call that the stop ended; returns whether it gets a line.
    pub fn count(&self, by_stop: ByStop) -> bool {
        self.counter(by_stop).fetch_add(1, Ordering::Relaxed) < LINES_BY_STOP
    }

    /// Returns how many calls the stop ended so.
    pub fn counted(&self, by_stop: ByStop) -> usize {
        self.counter(by_stop).load(Ordering::Relaxed)
    }

    /// Returns how many of them have no line.
    pub fn without_line(&self) -> usize {
        // Each refusal has a line like all others, which the queue of the log bounds.
        let kinds = [ByStop::Failed, ByStop::Cut];
        kinds.iter().map(|kind| self.counted(*kind).saturating_sub(LINES_BY_STOP)).sum()
    }

    fn counter(&self, by_stop: ByStop) -> &AtomicUsize {
        match by_stop {
            ByStop::Refused => &self.refused,
            ByStop::Failed => &self.failed,
            ByStop::Cut => &self.cut,
        }
    }
}
