//! Points in time and durations in whole milliseconds, and the process's monotonic clock.

use std::fmt::{self, Display, Formatter};
use std::ops::{Add, Mul, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
///
/// Arithmetic saturates: a deadline that overflows must mean "never" and a negative duration
/// "none", rather than panic in the middle of a request.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

/// The monotonic clock of one process.
///
/// It includes the time for which the instance was suspended. `CLOCK_MONOTONIC` stops meanwhile: a
/// control instance that resumes would trust a lease that expired seconds ago, and an operator
/// would read an outdated value from it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Millis {
    /// The clock's start, or the empty duration.
    pub const ZERO: Self = Self(0);

    /// A point that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a duration from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the value in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the current wall-clock time since the Unix epoch, for people and audit records only.
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
    fn from(duration: Millis) -> Self {
        Self::from_millis(duration.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(duration.as_millis() as u64)
    }
}

impl Display for Millis {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: time_since_boot() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Millis {
        time_since_boot().saturating_sub(self.start).into()
    }
}

fn time_since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME exists since Linux 2.6.39").into()
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
