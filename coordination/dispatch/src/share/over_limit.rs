//! Refusals of calls over a limit.

use std::fmt::{self, Display, Formatter};

use sill_base::Millis;

/// A refusal of a call over its account's limit, with the figures that decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverLimit {
    /// Time after which the caller should retry.
    pub retry_after: Millis,
    /// Limit of the account per second.
    pub rate: f64,
    /// Part of the limit that this entry instance may admit.
    pub share: f64,
    /// Balance of the token bucket here; below zero, a large call was admitted before.
    pub balance: f64,
    /// Amount that all entry instances are presumed to have admitted in
    /// [`LIMIT_WINDOW`](sill_wire::link::LIMIT_WINDOW).
    pub admitted: f64,
    /// Age of the totals; `None` before the first ones.
    pub totals_age: Option<Millis>,
}

impl Display for OverLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { rate, share, balance, admitted, .. } = self;
        write!(f, "{share:.3} of {rate:.0}/s, {balance:.0} left, {admitted:.0} admitted by all")?;
        match self.totals_age {
            Some(age) => write!(f, " as of {age} ms ago"),
            None => f.write_str(", no totals received"),
        }
    }
}
