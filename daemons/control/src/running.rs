//! Which revision each entry instance runs.

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_wire::control::{EndpointStatus, EntryStatus, Revision};
use sill_wire::feed::{DomainEndpoints, FeedPoll};

use crate::rpc::{EntryRevision, EntryStatusSync};

pub mod calls;

/// An entry instance not heard of for this long is not waited for.
pub const LIVE: Millis = Millis(15_000);

/// An entry instance not heard of for this long is forgotten.
const KNOWN: Millis = Millis(600_000);

/// A report of a failure domain's endpoints older than this is not shown.
const REPORTED: Millis = Millis(30_000);

/// What is known of the entry instances, here and by the other control instances.
#[derive(Debug, Default)]
pub struct Running {
    heard: Mutex<Map<Name, Heard>>,
    reported: Mutex<Map<Name, Reported>>,
}

/// The endpoints of one failure domain.
#[derive(Debug)]
struct Reported {
    domain: DomainEndpoints,
    at: Millis,
    /// Whether the other control instances have yet to be told.
    is_new: bool,
}

#[derive(Debug, Clone)]
struct Heard {
    domain: Name,
    revision: Revision,
    at: Millis,
    /// Whether it was heard of here, and not by another control instance.
    is_own: bool,
    is_new: bool,
}

impl Running {
    /// Takes in a poll.
    pub fn polled(&self, now: Millis, poll: &FeedPoll) {
        if let Some(domain) = &poll.endpoints {
            self.reported(now, domain, true);
        }
        let mut heard = self.heard.lock();
        let mut note = |entry: &Name, domain: &Name, revision, at| {
            let known = heard.get(entry);
            // It may have said something newer by another parent since.
            if known.is_some_and(|known| known.at > at) {
                return;
            }
            let is_news = known.is_none_or(|known| known.revision != revision);
            let is_new = is_news || known.is_some_and(|known| known.is_new);
            let domain = domain.clone();
            let now_heard = Heard { domain, revision, at, is_own: true, is_new };
            heard.insert(entry.clone(), now_heard);
        };
        note(&poll.entry, &poll.domain, poll.have, now);
        for below in &poll.subscribers {
            note(&below.entry, &below.domain, below.revision, now - below.age);
        }
    }

    fn reported(&self, now: Millis, domain: &DomainEndpoints, is_new: bool) {
        let at = now - domain.age;
        let mut reported = self.reported.lock();
        if reported.get(&domain.domain).is_none_or(|known| known.at < at) {
            let domain = domain.clone();
            reported.insert(domain.domain.clone(), Reported { domain, at, is_new });
        }
    }

    /// Returns the endpoints that were reported lately, by name.
    pub fn endpoints(&self, now: Millis) -> Vec<EndpointStatus> {
        let reported = self.reported.lock();
        let fresh = reported.values().filter(|r| now - r.at < REPORTED);
        let mut endpoints: Vec<EndpointStatus> =
            fresh.flat_map(|r| r.domain.endpoints.iter().cloned()).collect();
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        endpoints
    }

    fn new_reports(&self, now: Millis) -> Vec<DomainEndpoints> {
        let mut reported = self.reported.lock();
        let new = reported.values_mut().filter(|r| r.is_new);
        let aged = new.map(|r| {
            r.is_new = false;
            DomainEndpoints { age: now - r.at, ..r.domain.clone() }
        });
        aged.collect()
    }

    /// Takes in what another control instance heard.
    pub fn told(&self, now: Millis, sync: &EntryStatusSync) {
        for domain in &sync.endpoints {
            self.reported(now, domain, false);
        }
        let mut heard = self.heard.lock();
        for entry in &sync.entries {
            let at = now - entry.age;
            if heard.get(&entry.entry).is_some_and(|known| known.at > at) {
                continue;
            }
            let (domain, revision) = (entry.domain.clone(), entry.revision);
            let told = Heard { domain, revision, at, is_own: false, is_new: false };
            heard.insert(entry.entry.clone(), told);
        }
        heard.retain(|_, known| now - known.at < KNOWN);
    }

    /// Returns whether all live entry instances run a revision.
    pub fn all_run(&self, now: Millis, revision: Revision) -> bool {
        let heard = self.heard.lock();
        let mut live = heard.values().filter(|known| now - known.at < LIVE);
        live.all(|known| known.revision >= revision)
    }

    /// Returns all that is known, by name.
    pub fn entries(&self, now: Millis) -> Vec<EntryStatus> {
        let heard = self.heard.lock();
        let entries = heard.iter().map(|(name, known)| EntryStatus {
            name: name.clone(),
            domain: known.domain.clone(),
            revision: known.revision,
            heard_ago: now - known.at,
        });
        let mut entries: Vec<EntryStatus> = entries.collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries
    }

    /// Returns all that was heard of here, whether or not the others were told.
    pub fn known(&self, now: Millis) -> EntryStatusSync {
        let heard = self.heard.lock();
        let own = heard.iter().filter(|(_, known)| known.is_own && now - known.at < LIVE);
        let entries = own.map(|(name, known)| running_entry(now, name, known)).collect();
        EntryStatusSync { entries, endpoints: Vec::new() }
    }

    fn own(&self, now: Millis, everything: bool) -> Vec<EntryRevision> {
        let mut heard = self.heard.lock();
        let told = heard.iter_mut().filter(|(_, known)| {
            known.is_own && (known.is_new || everything && now - known.at < LIVE)
        });
        let entries = told.map(|(name, known)| {
            known.is_new = false;
            running_entry(now, name, known)
        });
        entries.collect()
    }
}

fn running_entry(now: Millis, name: &Name, known: &Heard) -> EntryRevision {
    EntryRevision {
        entry: name.clone(),
        domain: known.domain.clone(),
        revision: known.revision,
        age: now - known.at,
    }
}
