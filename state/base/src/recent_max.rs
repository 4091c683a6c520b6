//! The largest figure of the last while.

use crate::Millis;

/// The largest figure of the last one or two spans, without a history of them.
#[derive(Debug, Default, Clone, Copy)]
pub struct RecentMax {
    since: Millis,
    now: f64,
    before: f64,
}

impl RecentMax {
    /// Takes in a figure, which is not negative.
    pub fn note(&mut self, now: Millis, span: Millis, figure: f64) {
        let age = now - self.since;
        if age >= span {
            let before = if age < span * 2 { self.now } else { 0.0 };
            *self = Self { since: now, now: 0.0, before };
        }
        self.now = self.now.max(figure);
    }

    /// Returns the largest figure, unless none came for two spans.
    pub fn at(&self, now: Millis, span: Millis) -> Option<f64> {
        (now - self.since < span * 2).then(|| self.now.max(self.before))
    }
}
