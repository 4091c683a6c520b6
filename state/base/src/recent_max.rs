//! The largest figure of the last while.

use crate::Millis;
use crate::spans::Spans;

/// The largest figure of the last one or two spans, without a history of them.
#[derive(Debug, Default, Clone, Copy)]
pub struct RecentMax(Spans<f64>);

impl RecentMax {
    /// Takes in a figure, which is not negative.
    pub fn record(&mut self, now: Millis, span: Millis, figure: f64) {
        let newest = self.0.newest(now, span, 0.0);
        *newest = newest.max(figure);
    }

    /// Returns the largest figure, unless none came for two spans.
    pub fn max(&self, now: Millis, span: Millis) -> Option<f64> {
        self.0.is_fresh(now, span).then(|| self.0.now.max(self.0.before))
    }
}
