//! What came in the newest span of time and in the one before, without a history of it.

use crate::Millis;

/// Something gathered over the newest span, and over the one before.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Spans<T> {
    since: Millis,
    /// Of the newest span.
    pub now: T,
    /// Of the one before.
    pub before: T,
}

impl<T> Spans<T>
where
    T: Copy,
{
    /// Makes one in which nothing was gathered yet.
    pub const fn new(empty: T) -> Self {
        Self { since: Millis::ZERO, now: empty, before: empty }
    }

    /// Returns where to gather what comes now; a new span begins with `empty`.
    pub fn newest(&mut self, now: Millis, span: Millis, empty: T) -> &mut T {
        let age = now - self.since;
        if age >= span {
            let before = if age < span * 2 { self.now } else { empty };
            *self = Self { since: now, now: empty, before };
        }
        &mut self.now
    }

    /// Returns whether anything came in the last two spans.
    pub fn is_fresh(&self, now: Millis, span: Millis) -> bool {
        now - self.since < span * 2
    }
}
