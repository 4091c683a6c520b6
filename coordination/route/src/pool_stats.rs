//! Statistics over all endpoints that each choice uses.

use sill_base::{Map, Millis, Name};

use crate::endpoint::Endpoint;
use crate::policy::{PolicyCfg, SampleSize};

/// Time between two refreshes. A pass over all endpoints for each announcement would cost time that
/// grows with the square of their number.
const REFRESH_INTERVAL: Millis = Millis(100);

/// Number of endpoints in the failure domain of the entry instance, and in all others.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct DomainCounts {
    pub(crate) local: u32,
    pub(crate) remote: u32,
}

/// Statistics over all endpoints, as of the last refresh.
#[derive(Debug, Default)]
pub(crate) struct PoolStats {
    /// Reclaimable endpoints that are not leaving, by failure domain.
    pub(crate) reclaimable_by_domain: Map<Name, u32>,
    /// The highest price.
    pub(crate) max_price: u64,
    /// Requests of other entry instances at the endpoints for each request of our own.
    pub(crate) peer_load_ratio: f64,
    /// Endpoints that are not leaving.
    pub(crate) domain_counts: DomainCounts,
    /// Whether any endpoint is past its slow start.
    pub(crate) has_warm: bool,
    refreshed_at: Option<Millis>,
}

impl PoolStats {
    /// Recomputes the statistics if the last refresh is at least [`REFRESH_INTERVAL`] ago.
    pub(crate) fn refresh<'a, I>(
        &mut self,
        now: Millis,
        endpoints: I,
        own_domain: &Name,
        policy: &PolicyCfg,
    ) where
        I: Iterator<Item = &'a Endpoint>,
    {
        if self.refreshed_at.is_some_and(|last| now.since(last) < REFRESH_INTERVAL) {
            return;
        }
        *self = Self { refreshed_at: Some(now), ..Self::default() };
        let (mut others, mut own) = (0, 1);
        for endpoint in endpoints {
            let a = &endpoint.announcement;
            let counts = endpoint.request_counts_at_sample();
            others += counts.0;
            own += counts.1;
            self.max_price = self.max_price.max(a.price);
            self.has_warm |= now.since(endpoint.first_seen) >= policy.slow_start;
            if a.leaving.is_none() {
                let counts = &mut self.domain_counts;
                let count = match a.domain == *own_domain {
                    true => &mut counts.local,
                    false => &mut counts.remote,
                };
                *count += 1;
            }
            if a.reclaimable && a.leaving.is_none() {
                *self.reclaimable_by_domain.entry(a.domain.clone()).or_default() += 1;
            }
        }
        self.peer_load_ratio = f64::from(others) / f64::from(own);
    }

    /// Returns the chance that an endpoint is in the sample for a request.
    pub(crate) fn sample_chance(&self, size: SampleSize, is_remote: bool) -> f64 {
        let (sampled, of) = match is_remote {
            true => (size.remote, self.domain_counts.remote),
            false => (size.local, self.domain_counts.local),
        };
        sampled / f64::from(of.max(1))
    }
}
