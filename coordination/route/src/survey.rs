//! What each choice needs to know of all endpoints together.

use sill_base::{Map, Millis, Name};

use crate::endpoint::Endpoint;
use crate::policy::{PolicyCfg, SampleSize};

/// Time between two surveys. A pass over all endpoints for each announcement would grow with the square of
/// their number.
const EVERY: Millis = Millis(100);

/// Endpoints by where they are.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Staying {
    pub(crate) here: u32,
    pub(crate) elsewhere: u32,
}

/// Counts over all endpoints, made now and then.
#[derive(Debug, Default)]
pub(crate) struct Survey {
    /// Reclaimable endpoints that stay, by failure domain.
    pub(crate) reclaimable_left: Map<Name, u32>,
    /// The highest price.
    pub(crate) dearest: u64,
    /// What others have at the endpoints for each request of our own.
    pub(crate) peers: f64,
    /// Endpoints that stay in the own failure domain, and in all others.
    pub(crate) staying: Staying,
    /// Whether any endpoint is past its slow start.
    pub(crate) any_warm: bool,
    at: Option<Millis>,
}

impl Survey {
    /// Counts anew, unless that was done just now.
    pub(crate) fn renew<'a, I>(
        &mut self,
        now: Millis,
        endpoints: I,
        own_domain: &Name,
        policy: &PolicyCfg,
    ) where
        I: Iterator<Item = &'a Endpoint>,
    {
        if self.at.is_some_and(|last| now.since(last) < EVERY) {
            return;
        }
        *self = Self { at: Some(now), ..Self::default() };
        let (mut others, mut own) = (0, 1);
        for endpoint in endpoints {
            let a = &endpoint.announcement;
            let shares = endpoint.shares();
            others += shares.0;
            own += shares.1;
            self.dearest = self.dearest.max(a.price);
            self.any_warm |= now.since(endpoint.first_seen) >= policy.slow_start;
            if a.leaving.is_none() {
                let staying = &mut self.staying;
                let count = match a.domain == *own_domain {
                    true => &mut staying.here,
                    false => &mut staying.elsewhere,
                };
                *count += 1;
            }
            if a.reclaimable && a.leaving.is_none() {
                *self.reclaimable_left.entry(a.domain.clone()).or_default() += 1;
            }
        }
        self.peers = f64::from(others) / f64::from(own);
    }

    /// Returns the chance that an endpoint is drawn for a request.
    pub(crate) fn chance(&self, drawn: SampleSize, is_elsewhere: bool) -> f64 {
        let (drawn, of) = match is_elsewhere {
            true => (drawn.remote, self.staying.elsewhere),
            false => (drawn.local, self.staying.here),
        };
        drawn / f64::from(of.max(1))
    }
}
