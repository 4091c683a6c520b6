//! Demand of a service: its highest load over a while, so that a short lull stops nothing.

use std::collections::VecDeque;

use sill_base::Millis;

/// Length of a step that one maximum is kept for.
const STEP: Millis = Millis(15_000);

/// Maxima of the last steps.
#[derive(Debug, Clone)]
pub struct DemandWindow {
    steps: VecDeque<Step>,
    window: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    began: Millis,
    highest: u32,
}

impl DemandWindow {
    /// Makes a demand that looks back over a window.
    pub fn new(window: Millis) -> Self {
        Self { steps: VecDeque::new(), window }
    }

    /// Notes the slots in use or waited for.
    pub fn record(&mut self, now: Millis, slots: u32) {
        match self.steps.back_mut() {
            Some(step) if now - step.began < STEP => step.highest = step.highest.max(slots),
            _ => self.steps.push_back(Step { began: now, highest: slots }),
        }
        while self.steps.front().is_some_and(|s| now - s.began > self.window) {
            self.steps.pop_front();
        }
    }

    /// Returns the highest slots noted in the window.
    pub fn max(&self) -> u32 {
        self.steps.iter().map(|s| s.highest).max().unwrap_or(0)
    }
}
