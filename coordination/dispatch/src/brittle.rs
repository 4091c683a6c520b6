//! Which endpoints end if they have to reject too many requests, as they say in their answers.

use sill_base::{Map, Millis, Name};

/// How long an endpoint is presumed to be brittle after it said so last.
const BRITTLE_TTL: Millis = Millis(10_000);

/// What an endpoint has said.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Rejections per second that it bears; none if it has said nothing of the kind.
    bound: Option<u32>,
    at: Millis,
}

/// The bounds on rejections of the endpoints of one service.
#[derive(Debug, Default)]
pub(crate) struct RejectionBounds {
    statements: Map<Name, Statement>,
    /// When any endpoint named its bound first, after none had done so for [`BRITTLE_TTL`].
    began_at: Millis,
    /// The bound that any endpoint named last.
    last: Option<(u32, Millis)>,
}

impl RejectionBounds {
    /// Records what an endpoint said at `at`.
    pub(crate) fn record(&mut self, endpoint: &Name, bound: Option<u32>, at: Millis) {
        if let Some(bound) = bound {
            if !self.is_active(at) {
                self.began_at = at;
            }
            self.last = Some((bound, self.last.map_or(at, |(_, last)| last.max(at))));
        }
        if bound.is_none() && self.last.is_none() {
            return;
        }
        let known = self.statements.get(endpoint);
        if known.is_none_or(|known| known.at <= at) {
            self.statements.insert(endpoint.clone(), Statement { bound, at });
        }
    }

    /// Returns whether any endpoint is brittle.
    pub(crate) fn is_active(&self, now: Millis) -> bool {
        self.last.is_some_and(|(_, at)| now - at < BRITTLE_TTL)
    }

    /// Returns the bound of an endpoint. One that has not answered since others named theirs counts
    /// as they do.
    pub(crate) fn bound_of(&self, now: Millis, endpoint: &Name) -> Option<u32> {
        let (bound, _) = self.last.filter(|_| self.is_active(now))?;
        match self.statements.get(endpoint).filter(|known| known.at >= self.began_at) {
            Some(known) if known.bound.is_none() => None,
            Some(known) if now - known.at < BRITTLE_TTL => known.bound,
            _ => Some(bound),
        }
    }

    /// Returns what an endpoint itself named within [`BRITTLE_TTL`].
    pub(crate) fn named_by(&self, now: Millis, endpoint: &Name) -> Option<u32> {
        let known = self.statements.get(endpoint)?;
        known.bound.filter(|_| now - known.at < BRITTLE_TTL)
    }

    /// Forgets an endpoint that has ended. What it alone has said is not presumed of others, nor of
    /// its next incarnation.
    pub(crate) fn forget(&mut self, endpoint: &Name) {
        let Some(forgotten) = self.statements.remove(endpoint) else { return };
        if forgotten.bound.is_some() {
            let named = self.statements.values().filter_map(|s| Some((s.bound?, s.at)));
            self.last = named.max_by_key(|(_, at)| *at);
        }
    }
}
