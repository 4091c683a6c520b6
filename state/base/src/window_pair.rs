//! A value aggregated over the current time window and one over the previous window.

use crate::Millis;

/// Aggregates of the current and the previous time window.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct WindowPair<T> {
    /// Start of the current window.
    start: Millis,
    pub current: T,
    pub previous: T,
}

impl<T> WindowPair<T>
where
    T: Copy,
{
    /// Creates a pair of empty windows.
    pub const fn new(empty: T) -> Self {
        Self { start: Millis::ZERO, current: empty, previous: empty }
    }

    /// Returns the aggregate of the current window. Starts a new window with the value `empty` if
    /// the current one is older than `window`.
    pub fn current_mut(&mut self, now: Millis, window: Millis, empty: T) -> &mut T {
        let age = now - self.start;
        if age >= window {
            let previous = if age < window * 2 { self.current } else { empty };
            *self = Self { start: now, current: empty, previous };
        }
        &mut self.current
    }

    /// Returns whether the current window started less than two windows ago.
    pub fn is_fresh(&self, now: Millis, window: Millis) -> bool {
        now - self.start < window * 2
    }
}
