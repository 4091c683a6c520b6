//! What a router believed of a pool when it refused a request, for the log.

use sill_base::Millis;

use crate::policy::PolicyCfg;
use crate::score::Candidate;

/// The endpoints that serve a target, as a router counts them.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PoolView {
    /// Endpoints that may be given work.
    pub ready: u32,
    /// Of these, those that hold all they may take.
    pub full: u32,
    /// Of these, those that failed lately.
    pub suspect: u32,
    /// Endpoints that may not be given work: leaving, expired, excluded or in another role.
    pub ineligible: u32,
    /// Requests at the ready endpoints, as reported and corrected by our own dispatches.
    pub active: u32,
    /// Of these, our own.
    pub own_active: u32,
    /// Slots of the ready endpoints.
    pub slots: u32,
    /// Age of the oldest load report among the ready endpoints.
    pub oldest_load_age: Millis,
}

impl PoolView {
    /// Counts an endpoint that may be given work.
    pub(crate) fn count(&mut self, now: Millis, candidate: &Candidate<'_>, cfg: &PolicyCfg) {
        let endpoint = candidate.endpoint;
        self.ready += 1;
        self.full += u32::from(candidate.is_full(cfg));
        self.suspect += u32::from(candidate.suspect);
        self.active += candidate.active;
        self.own_active += endpoint.own();
        self.slots += candidate.slots as u32;
        self.oldest_load_age = self.oldest_load_age.max(now - endpoint.sampled());
    }
}
