//! The maximum of recent values.

use crate::Millis;
use crate::window_pair::WindowPair;

/// The maximum of the values of the last one to two windows, without a history of them.
#[derive(Debug, Default, Clone, Copy)]
pub struct RecentMax(WindowPair<f64>);

impl RecentMax {
    /// Records a value, which must not be negative.
    pub fn record(&mut self, now: Millis, window: Millis, value: f64) {
        let current = self.0.current_mut(now, window, 0.0);
        *current = current.max(value);
    }

    /// Returns the maximum, or `None` once two windows have passed since the current one started.
    pub fn max(&self, now: Millis, window: Millis) -> Option<f64> {
        self.0.is_fresh(now, window).then(|| self.0.current.max(self.0.previous))
    }
}
