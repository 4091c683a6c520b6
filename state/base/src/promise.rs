//! The promises of the system, by the names that assertions, logs, metrics and tests use.

use std::fmt::{self, Display, Formatter};

/// What must hold at all times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Promise {
    /// An accepted request survives every announced reclaim.
    AcceptedSurvives,
    /// A caller gets the whole answer to its own request, once, in order.
    WholeAnswer,
    /// A refusal that says not-run means that no byte has left for an endpoint.
    NotRunIsTrue,
    /// A non-idempotent request is sent to at most one endpoint, ever.
    AtMostOnce,
    /// A leaving endpoint gets no new work after two seconds.
    LeavingGetsNothing,
    /// A planned stop cuts off no request in flight.
    GracefulStop,
    /// An accepted settings change is in force everywhere in seconds and never reverts.
    AcceptedChangeStays,
    /// An order of a superseded control instance has no effect.
    OneOrderer,
    /// A client account stays within its limit over all entry instances.
    AccountLimit,
}

impl Promise {
    /// Every promise, in the order of the design page.
    pub const ALL: [Self; 9] = [
        Self::AcceptedSurvives,
        Self::WholeAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::LeavingGetsNothing,
        Self::GracefulStop,
        Self::AcceptedChangeStays,
        Self::OneOrderer,
        Self::AccountLimit,
    ];

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::AcceptedSurvives => "accepted_survives",
            Self::WholeAnswer => "whole_answer",
            Self::NotRunIsTrue => "not_run_is_true",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingGetsNothing => "leaving_gets_nothing",
            Self::GracefulStop => "graceful_stop",
            Self::AcceptedChangeStays => "accepted_change_stays",
            Self::OneOrderer => "one_orderer",
            Self::AccountLimit => "account_limit",
        }
    }
}

impl Display for Promise {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Panics, in release builds too, when a promise does not hold.
///
/// Going on with a broken invariant would repeat or lose a request silently, so the process stops
/// here, where the log still tells what led to it.
#[macro_export]
macro_rules! keep {
    ($promise:expr, $cond:expr, $($arg:tt)+) => {
        if !$cond {
            panic!("promise={} broken: {}", $promise.name(), format_args!($($arg)+));
        }
    };
}
