//! Limits that endpoints name for the requests of all entry instances together.
//!
//! A few entry instances use such an endpoint, each with an equal part of its limit. With a part for
//! each of hundreds, no part would be a request in many seconds, and what all have saved up would come
//! at once.

use sill_base::{Map, Millis, Name};
use sill_route::SendRate;

/// How long a limit is presumed to stand after an endpoint named it last.
const LIMIT_TTL: Millis = Millis(60_000);

/// Requests that all entry instances together may have saved up for an endpoint, in addition to those
/// of a second.
const SAVED_REQUESTS: f64 = 2.0;

/// What an endpoint has said of its limit.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Requests per second; none if it has named no limit.
    per_s: Option<f64>,
    at: Millis,
}

/// The limits of the endpoints of one service.
#[derive(Debug, Default)]
pub(crate) struct RequestLimits {
    statements: Map<Name, Statement>,
}

impl RequestLimits {
    /// Records what an endpoint said at `at`. Older statements than the known one are ignored.
    pub(crate) fn record(&mut self, endpoint: &Name, per_s: Option<f64>, at: Millis) {
        match self.statements.get_mut(endpoint) {
            Some(known) if known.at <= at => *known = Statement { per_s, at },
            None if per_s.is_some() => {
                self.statements.insert(endpoint.clone(), Statement { per_s, at });
            }
            _ => {}
        }
    }

    /// Returns the limits that stand.
    pub(crate) fn standing(&self, now: Millis) -> impl Iterator<Item = (&Name, f64)> {
        let statements = self.statements.iter().filter(move |(_, s)| now - s.at < LIMIT_TTL);
        statements.filter_map(|(endpoint, s)| Some((endpoint, s.per_s?)))
    }

    /// Returns what an endpoint named last, if it has named a limit lately; 0 if it has none now.
    pub(crate) fn named_by(&self, now: Millis, endpoint: &Name) -> Option<f64> {
        let known = self.statements.get(endpoint).filter(|s| now - s.at < LIMIT_TTL)?;
        Some(known.per_s.unwrap_or_default())
    }

    /// Forgets an endpoint that has ended.
    pub(crate) fn forget(&mut self, endpoint: &Name) {
        self.statements.remove(endpoint);
    }
}

/// Returns how many entry instances use an endpoint with a limit.
pub(crate) fn users(per_s: f64) -> usize {
    (per_s as usize).saturating_add(1)
}

/// Returns the part of a limit that one of `users` entry instances has.
pub(crate) fn part(per_s: f64, users: usize) -> SendRate {
    let users = users.max(1) as f64;
    SendRate { per_s: per_s / users, burst: ((per_s + SAVED_REQUESTS) / users).max(1.0) }
}
