//! Refusals of calls for a limit.

use std::fmt::{self, Display, Formatter};

use sill_base::Millis;

/// A refusal for a limit, with what decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverLimit {
    /// When to come back.
    pub retry_after: Millis,
    /// The limit, in a second.
    pub rate: f64,
    /// The part of it that is given out here.
    pub share: f64,
    /// What is left here; below zero, a large call was admitted before.
    pub balance: f64,
    /// What all are presumed to have admitted in [`LIMIT_WINDOW`](sill_wire::link::LIMIT_WINDOW).
    pub admitted: f64,
    /// How old the totals are; none were heard yet.
    pub totals_age: Option<Millis>,
}

impl Display for OverLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { rate, share, balance, admitted, .. } = self;
        write!(
            f,
            "{share:.3} of {rate:.0}/s, {balance:.0} left, {admitted:.0} admitted everywhere"
        )?;
        match self.totals_age {
            Some(age) => write!(f, " as of {age} ms ago"),
            None => f.write_str(", no totals heard"),
        }
    }
}
