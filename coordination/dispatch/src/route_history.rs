//! Which services a route may have drawn over the life of a stream.
//!
//! A stream belongs to the service that began it, and routes may have changed their services since. An
//! instance that has just started, or has not seen each revision of the settings, doesn't know all of
//! them.

use std::collections::VecDeque;
use std::sync::Arc;

use sill_base::{Millis, Name};

use crate::streams::STREAM_LIFETIME;
use crate::table::{RouteEntry, RouteTable};

/// Upper bound on the changes that are remembered, some 400 kB.
const MAX_CHANGES: usize = 4096;

/// A change of the services that calls at a path are drawn from.
#[derive(Debug)]
struct RouteChange {
    at: Millis,
    host: Name,
    /// Paths that begin with it are concerned.
    path: Name,
    /// The services before.
    services: Vec<Name>,
}

/// The services that may have begun a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginServices {
    /// The services, each once.
    pub services: Vec<Name>,
    /// Whether no other service can have.
    pub is_complete: bool,
}

impl OriginServices {
    /// Returns whether a single service can have begun the stream.
    pub fn is_single(&self) -> bool {
        self.is_complete && self.services.len() == 1
    }
}

/// The changes of routes that an entry instance has seen.
#[derive(Debug, Default)]
pub struct RouteHistory {
    changes: VecDeque<RouteChange>,
    /// Changes before this time may have been missed; none if none was.
    unknown_until: Option<Millis>,
}

impl RouteHistory {
    /// Records that newer settings are put in force in place of `before`.
    pub fn record_settings(
        &mut self,
        now: Millis,
        before: Option<&RouteTable>,
        after: &RouteTable,
    ) {
        self.changes.retain(|change| now - change.at < STREAM_LIFETIME);
        let Some(before) = before.filter(|before| before.revision + 1 == after.revision) else {
            // Other instances may have served by the revisions in between.
            self.unknown_until = Some(now);
            return;
        };
        let is_new = |entry: &&Arc<RouteEntry>| {
            let same = before.find(&entry.route.host, &entry.route.path);
            same.is_none_or(|same| same.route.path != entry.route.path)
        };
        for entry in before.routes().chain(after.routes().filter(is_new)) {
            let (host, path) = (&entry.route.host, &entry.route.path);
            let (former, current) = (before.find(host, path), after.find(host, path));
            // Revisions share the routes that they have in common.
            if former.zip(current).is_some_and(|(a, b)| Arc::ptr_eq(a, b)) {
                continue;
            }
            let services = |of: Option<&Arc<RouteEntry>>| of.map(|entry| entry.services());
            let (former, current) = (services(former), services(current));
            if former != current {
                let (host, path) = (host.clone(), path.clone());
                let services = former.unwrap_or_default();
                self.changes.push_back(RouteChange { at: now, host, path, services });
            }
        }
        while self.changes.len() > MAX_CHANGES {
            let forgotten = self.changes.pop_front();
            self.unknown_until = self.unknown_until.max(forgotten.map(|change| change.at));
        }
    }

    /// Records that a control instance knows that no route has changed its services for a while, up
    /// to the settings in force here.
    pub fn record_unchanged(&mut self, now: Millis, unchanged: Millis) {
        if unchanged >= STREAM_LIFETIME {
            self.unknown_until = None;
        } else if let Some(until) = &mut self.unknown_until {
            *until = (*until).min(now - unchanged);
        }
    }

    /// Returns whether no change over the life of a stream can have been missed.
    pub fn is_complete(&self, now: Millis) -> bool {
        self.unknown_until.is_none_or(|until| now - until >= STREAM_LIFETIME)
    }

    /// Returns whether any route has, or may have, changed its services over the life of a stream.
    pub fn may_have_changed(&self, now: Millis) -> bool {
        let is_recent = |change: &RouteChange| now - change.at < STREAM_LIFETIME;
        !self.is_complete(now) || self.changes.back().is_some_and(is_recent)
    }

    /// Returns the services that may have begun a stream at a path that `route` serves now.
    pub fn origins(&self, now: Millis, route: &RouteEntry, path: &str) -> OriginServices {
        let concerns = |change: &&RouteChange| {
            now - change.at < STREAM_LIFETIME
                && change.host == route.route.host
                && path.starts_with(change.path.as_str())
        };
        let former = self.changes.iter().filter(concerns).flat_map(|change| &change.services);
        let mut services = route.services();
        services.extend(former.cloned());
        services.sort();
        services.dedup();
        OriginServices { services, is_complete: self.is_complete(now) }
    }
}
