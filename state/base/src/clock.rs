//! Time in whole milliseconds, as a point or as a span.

use std::fmt::{self, Display, Formatter};
use std::ops::{Add, Mul, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds.
///
/// Arithmetic saturates, because a deadline that overflows must read as "never" and a span that
/// would be negative as "none", not as a panic in the middle of a request.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

/// The steady clock of one process.
///
/// It counts the time for which the instance was suspended. The usual monotonic clock stands still
/// meanwhile: a control instance that wakes up would hold a lease that ended seconds ago, and an
/// operator would read an old value from it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Millis {
    /// The start of time, and the empty span.
    pub const ZERO: Self = Self(0);

    /// A point that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Makes a span from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// Returns the span from `earlier` to `self`, or zero where `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the value in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the wall-clock time since the Unix epoch, for people and audit records only.
    pub fn wall() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(since_epoch.as_millis() as u64)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

impl Mul<u64> for Millis {
    type Output = Self;

    fn mul(self, rhs: u64) -> Self {
        Self(self.0.saturating_mul(rhs))
    }
}

impl From<Millis> for Duration {
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(span.as_millis() as u64)
    }
}

impl Display for Millis {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl Clock {
    /// Starts a clock that reads zero now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Millis {
        since_boot().saturating_sub(self.start).into()
    }
}

fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has had this clock since 2.6.39").into()
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
