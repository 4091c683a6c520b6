//! What can have begun the streams that callers take up: the software versions of services, and whether
//! routes have kept their services.
//!
//! Endpoints begin such streams only at recorded versions, so a conclusion from this record holds after a
//! kill of all processes.

use serde::{Deserialize, Serialize};
use sill_base::{Name, Set};
use sill_wire::Software;
use sill_wire::control::Revision;
use sill_wire::streams::ServedVersion;

/// Versions kept, some 60 kB. Only forged heartbeats make so many.
pub const MAX_VERSIONS: usize = 512;

/// The record at one index of the log.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Sorted by version.
    versions: Vec<RecordedVersion>,
    /// Whether no other version can have begun a stream.
    is_complete: bool,
    routes: RouteRecord,
    /// The index of the newest change.
    step: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedVersion {
    version: ServedVersion,
    /// The index of the entry that has added it last.
    added_by: u64,
}

/// Whether routes have drawn from the same services for longer than any stream lives.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RouteRecord {
    /// Not known: the log was begun by an older program.
    #[default]
    Unknown,
    /// They have.
    Settled,
    /// Some drew from other services before this revision, and streams of that time may live.
    ChangedAt(u64),
}

/// A change of the record.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginUpdate {
    /// Versions that are about to begin streams, or may have begun some.
    pub added: Vec<ServedVersion>,
    /// Versions whose streams have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<ServedVersion>,
    /// The index of the state that `removed` is based on. A version that was added later stays.
    #[serde(default)]
    pub based_on: u64,
    /// Whether no version but the recorded and the added ones can have begun a stream.
    #[serde(default)]
    pub is_complete: bool,
    /// The revision up to which no route has changed its services for longer than any stream lives.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes_settled: Option<Revision>,
}

impl OriginUpdate {
    /// Returns whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self { based_on: self.based_on, ..Self::default() }
    }
}

impl OriginRecord {
    /// Returns the record of a log that begins. The versions of endpoints that were there before are not
    /// known.
    pub fn new() -> Self {
        Self { routes: RouteRecord::Settled, ..Self::default() }
    }

    /// Returns the index of the newest change.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// Returns the versions.
    pub fn versions(&self) -> impl Iterator<Item = &ServedVersion> {
        self.versions.iter().map(|recorded| &recorded.version)
    }

    /// Returns the versions as a set.
    pub fn version_set(&self) -> Set<ServedVersion> {
        self.versions().cloned().collect()
    }

    /// Returns whether a version is recorded.
    pub fn contains(&self, version: &ServedVersion) -> bool {
        self.find(version).is_ok()
    }

    /// Returns whether no version can be added.
    pub fn is_full(&self) -> bool {
        self.versions.len() >= MAX_VERSIONS
    }

    /// Returns whether no other version can have begun a stream.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns all versions that can have begun streams of some services; none if others may have.
    pub fn versions_of(&self, services: &[Name]) -> Option<Vec<Software>> {
        let of_services = self.versions().filter(|version| services.contains(&version.service));
        let mut versions: Vec<Software> =
            of_services.map(|version| version.software.clone()).collect();
        versions.sort_unstable();
        versions.dedup();
        self.is_complete.then_some(versions)
    }

    /// Returns whether all streams that live can have been begun only by the services that the routes have
    /// now.
    pub fn are_routes_settled(&self) -> bool {
        self.routes == RouteRecord::Settled
    }

    /// Records a change of the routes. The first ones have no predecessors.
    pub(super) fn record_routes(&mut self, index: u64, revision: u64, is_first: bool, keeps: bool) {
        if !is_first && !keeps {
            self.routes = RouteRecord::ChangedAt(revision);
            self.step = index;
        }
    }

    /// Returns whether an update would change anything.
    pub fn is_applicable(&self, update: &OriginUpdate) -> bool {
        let mut after = self.clone();
        after.apply(self.step + 1, update);
        after.step = self.step;
        after != *self
    }

    /// Applies an update.
    pub(super) fn apply(&mut self, index: u64, update: &OriginUpdate) {
        self.step = index;
        for version in &update.removed {
            if let Ok(i) = self.find(version)
                && self.versions[i].added_by <= update.based_on
            {
                self.versions.remove(i);
            }
        }
        self.is_complete |= update.is_complete;
        for version in &update.added {
            match self.find(version) {
                Ok(i) => self.versions[i].added_by = index,
                // It may begin streams although it isn't here.
                Err(_) if self.is_full() => self.is_complete = false,
                Err(i) => {
                    let recorded = RecordedVersion { version: version.clone(), added_by: index };
                    self.versions.insert(i, recorded);
                }
            }
        }
        if let Some(Revision(settled)) = update.routes_settled {
            self.routes = match self.routes {
                RouteRecord::ChangedAt(at) if at > settled => self.routes,
                _ => RouteRecord::Settled,
            };
        }
    }

    fn find(&self, version: &ServedVersion) -> Result<usize, usize> {
        self.versions.binary_search_by(|recorded| recorded.version.cmp(version))
    }
}
