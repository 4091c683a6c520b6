//! The latest announced version of each endpoint, used to discard stale announcements.

use sill_base::{Map, Millis, Name};
use sill_wire::{Announcement, Incarnation};

/// The version of the latest announcement of an endpoint.
///
/// It is kept apart from the endpoint's state, so that the promise is checked against what was
/// received and not against the state that the router derived from it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Version {
    pub(crate) incarnation: Incarnation,
    sequence: u64,
    pub(crate) leaving: bool,
    pub(crate) received_at: Millis,
}

/// The latest versions of all endpoints. Those of removed endpoints stay as tombstones for a while.
#[derive(Debug, Default)]
pub(crate) struct Versions(Map<Name, Version>);

impl Version {
    /// Returns whether an announcement is newer.
    ///
    /// Membership learns of a reclaim from a separate notice and marks an announcement that it has
    /// already passed on as leaving. The change of an incarnation to leaving is therefore newer
    /// under any sequence number.
    pub(crate) fn is_older_than(&self, announcement: &Announcement) -> bool {
        let same_incarnation = self.incarnation == announcement.incarnation;
        let starts_leaving = same_incarnation && announcement.leaving.is_some() && !self.leaving;
        let newer =
            (self.incarnation, self.sequence) < (announcement.incarnation, announcement.sequence);
        starts_leaving || newer
    }

    /// Returns whether this incarnation was announced as leaving. It stays leaving, also when a
    /// stale copy of an announcement says otherwise.
    pub(crate) fn is_leaving(&self, incarnation: Incarnation) -> bool {
        self.leaving && self.incarnation == incarnation
    }
}

impl Versions {
    /// Returns the latest version of an endpoint.
    pub(crate) fn get(&self, name: &Name) -> Option<Version> {
        self.0.get(name).copied()
    }

    /// Records the version of an announcement that is newer than the recorded one.
    pub(crate) fn record(&mut self, now: Millis, announcement: &Announcement) {
        let incarnation = announcement.incarnation;
        let previous = self.get(&announcement.name).filter(|v| v.incarnation == incarnation);
        let sequence = previous.map_or(0, |v| v.sequence).max(announcement.sequence);
        let leaving = announcement.leaving.is_some();
        let version = Version { incarnation, sequence, leaving, received_at: now };
        self.0.insert(announcement.name.clone(), version);
    }

    /// Removes the versions of endpoints that the router no longer knows and that announced nothing
    /// within `ttl`.
    pub(crate) fn expire<F>(&mut self, now: Millis, ttl: Millis, is_known: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.0.retain(|name, version| is_known(name) || now.since(version.received_at) <= ttl);
    }
}
