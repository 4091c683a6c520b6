//! The state of a pool as a router sees it when it refuses a request, for the log.

use std::fmt::{self, Display, Formatter};

use sill_base::Millis;

use crate::policy::PolicyCfg;
use crate::score::Candidate;

/// Counts over the endpoints that serve a target, from one router's state.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PoolView {
    /// Endpoints that may be sent requests, whether or not they have room.
    pub ready: u32,
    /// Ready endpoints that have reached the load bound of high priority.
    pub full: u32,
    /// Those of them that have asked for a pause.
    pub paused: u32,
    /// Time until the first of these may be sent requests again.
    pub paused_for: Millis,
    /// Ready endpoints that are in backoff after a failure.
    pub suspect: u32,
    /// Endpoints that must not be sent requests: leaving, expired, excluded or in another role.
    pub ineligible: u32,
    /// Requests at the ready endpoints, as reported and corrected by our own dispatches.
    pub active: u32,
    /// Requests at the ready endpoints that this router sent.
    pub own_active: u32,
    /// Slots of the ready endpoints.
    pub slots: u32,
    /// Age of the oldest load report among the ready endpoints.
    pub oldest_load_age: Millis,
}

impl PoolView {
    /// Adds a ready endpoint to the counts.
    pub(crate) fn count(&mut self, now: Millis, candidate: &Candidate<'_>, cfg: &PolicyCfg) {
        let endpoint = candidate.endpoint;
        self.ready += 1;
        self.full += u32::from(candidate.is_full(cfg));
        if endpoint.is_paused(now) {
            let left = endpoint.paused_until() - now;
            self.paused_for = if self.paused == 0 { left } else { self.paused_for.min(left) };
            self.paused += 1;
        }
        self.suspect += u32::from(candidate.is_suspect);
        self.active += candidate.active;
        self.own_active += endpoint.own_active();
        self.slots += candidate.slots as u32;
        self.oldest_load_age = self.oldest_load_age.max(now - endpoint.sampled_at());
    }
}

impl Display for PoolView {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            ready,
            full,
            paused,
            paused_for,
            suspect,
            ineligible,
            active,
            own_active,
            slots,
            oldest_load_age,
        } = self;
        write!(
            f,
            "{ready} ready, {full} full, {paused} paused for {paused_for} ms or longer, \
             {suspect} suspect, {ineligible} unfit, {active} active \
             ({own_active} own) on {slots} slots, loads up to {oldest_load_age} ms old"
        )
    }
}
