//! The highest demand of a service over a sliding window, so that a short lull stops no instance.

use std::collections::VecDeque;

use sill_base::Millis;

/// Time that is merged into one maximum.
const STEP: Millis = Millis(15_000);

/// Maximum of the demand over a sliding window.
#[derive(Debug, Clone)]
pub struct DemandWindow {
    steps: VecDeque<Step>,
    window: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    start: Millis,
    max: u32,
}

impl DemandWindow {
    /// Creates an empty window of the given length.
    pub fn new(window: Millis) -> Self {
        Self { steps: VecDeque::new(), window }
    }

    /// Records the number of slots in use or waited for.
    pub fn record(&mut self, now: Millis, slots: u32) {
        match self.steps.back_mut() {
            Some(step) if now - step.start < STEP => step.max = step.max.max(slots),
            _ => self.steps.push_back(Step { start: now, max: slots }),
        }
        while self.steps.front().is_some_and(|s| now - s.start > self.window) {
            self.steps.pop_front();
        }
    }

    /// Returns the highest number of slots recorded in the window, or zero if none was.
    pub fn max(&self) -> u32 {
        self.steps.iter().map(|s| s.max).max().unwrap_or(0)
    }
}
