//! Versions that begin no streams until the replicated log has them.
//!
//! After a kill of all entry instances, the log alone tells which versions can have begun a stream that
//! is taken up. So a version that it doesn't have yet must not begin one.

use sill_base::{Map, Millis, Set};
use sill_wire::link::EndpointFact;
use sill_wire::streams::ServedVersion;

/// Longest time for which a version is held. Without a leader nothing is recorded, and a failure domain
/// that is cut off has to use the endpoints that it has.
pub const HOLD_TIME: Millis = Millis(3000);

/// Time after the last heartbeat of a version for which its hold is remembered.
const MEMORY: Millis = Millis(60_000);

/// Upper bound on the versions that are not recorded, of which only faults and forgeries make many.
const MAX_UNRECORDED: usize = 512;

/// Upper bound on the released versions that an entry instance remembers.
const MAX_RELEASED: usize = 1024;

/// The versions that a control instance holds.
#[derive(Debug, Default)]
pub struct HeldVersions {
    recorded: Set<ServedVersion>,
    unrecorded: Map<ServedVersion, Unrecorded>,
}

#[derive(Debug, Clone, Copy)]
struct Unrecorded {
    since: Millis,
    heard_at: Millis,
    is_held: bool,
}

impl HeldVersions {
    /// Records that an endpoint of a version was heard of. Returns whether the version is held from now
    /// on.
    pub fn observe(&mut self, now: Millis, version: &ServedVersion) -> bool {
        if self.recorded.contains(version) {
            return false;
        }
        if let Some(known) = self.unrecorded.get_mut(version) {
            known.heard_at = now;
            return false;
        }
        let is_held = self.unrecorded.len() < MAX_UNRECORDED;
        if is_held {
            let unrecorded = Unrecorded { since: now, heard_at: now, is_held };
            self.unrecorded.insert(version.clone(), unrecorded);
        }
        is_held
    }

    /// Replaces the versions that the log has. Returns those that are no longer held.
    pub fn set_recorded(&mut self, recorded: Set<ServedVersion>) -> Vec<ServedVersion> {
        let mut released = Vec::new();
        self.unrecorded.retain(|version, unrecorded| {
            let is_recorded = recorded.contains(version);
            if is_recorded && unrecorded.is_held {
                released.push(version.clone());
            }
            !is_recorded
        });
        self.recorded = recorded;
        released
    }

    /// Releases versions that were held for too long, and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<ServedVersion> {
        let mut released = Vec::new();
        for (version, unrecorded) in &mut self.unrecorded {
            if unrecorded.is_held && now - unrecorded.since >= HOLD_TIME {
                unrecorded.is_held = false;
                released.push(version.clone());
            }
        }
        self.unrecorded.retain(|_, unrecorded| now - unrecorded.heard_at < MEMORY);
        released
    }

    /// Returns the versions that are held.
    pub fn held(&self) -> Vec<ServedVersion> {
        let held = self.unrecorded.iter().filter(|(_, unrecorded)| unrecorded.is_held);
        let mut held: Vec<ServedVersion> = held.map(|(version, _)| version.clone()).collect();
        held.sort_unstable();
        held
    }
}

/// The versions that may begin streams at an entry instance: each that a control instance has told of
/// without holding it.
#[derive(Debug, Default)]
pub struct ReleasedVersions(Set<ServedVersion>);

impl ReleasedVersions {
    /// Records the endpoints that a control instance told of, and the versions that it holds.
    pub fn record(&mut self, facts: &[EndpointFact], held: &[ServedVersion]) {
        for fact in facts {
            let version = fact.served_version();
            if !held.contains(&version) && self.0.len() < MAX_RELEASED {
                self.0.insert(version);
            }
        }
    }

    /// Returns whether a version may begin streams. Beyond the bound each one may, and so may one that
    /// isn't known: its streams are continued nowhere.
    pub fn admits(&self, version: &ServedVersion) -> bool {
        version.software.is_ambiguous() || self.0.len() >= MAX_RELEASED || self.0.contains(version)
    }
}
