//! The promises of the system: the guarantees that assertions, logs, metrics and tests refer to by
//! name.

use std::fmt::{self, Display, Formatter};

/// A guarantee that must hold at all times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Promise {
    /// An accepted request survives every announced reclaim.
    AcceptedSurvives,
    /// A caller receives the complete answer to its own request, once, in order.
    WholeAnswer,
    /// A refusal marked as not run means that no byte of the request was sent to an endpoint.
    NotRunIsTrue,
    /// A non-idempotent request is sent to at most one endpoint, ever.
    AtMostOnce,
    /// An endpoint receives no new requests more than two seconds after it started leaving.
    LeavingGetsNothing,
    /// A planned stop interrupts no request in flight.
    GracefulStop,
    /// An accepted settings change takes effect everywhere within seconds and never reverts.
    AcceptedChangeStays,
    /// An order of a control instance that has lost its leadership has no effect.
    OneOrderer,
    /// A client account stays within its limit over all entry instances.
    AccountLimit,
}

impl Promise {
    /// All promises, in the order of the design document.
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

    /// Returns the promise's name in logs and metrics.
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

/// Asserts that a promise holds; panics otherwise, in release builds too.
///
/// With a broken invariant the process could silently repeat or lose a request, so it stops here,
/// while the log still shows the cause.
#[macro_export]
macro_rules! assert_promise {
    ($promise:expr, $cond:expr, $($arg:tt)+) => {
        if !$cond {
            panic!("promise={} broken: {}", $promise.name(), format_args!($($arg)+));
        }
    };
}
