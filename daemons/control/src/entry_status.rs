//! Which revision each entry instance runs.

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_wire::control::{EndpointStatus, EntryStatus, Revision};
use sill_wire::feed::{DomainEndpoints, FeedPoll};

use crate::rpc::{RunningEntry, RunningSync};

pub mod calls;

/// An entry instance not heard of for this long is not waited for.
pub const LIVE_TIMEOUT: Millis = Millis(15_000);

/// An entry instance not heard of for this long is forgotten.
const RETENTION: Millis = Millis(600_000);

/// A report of a failure domain's endpoints older than this is not shown.
const MAX_REPORT_AGE: Millis = Millis(30_000);

/// What is known of the entry instances, here and by the other control instances.
#[derive(Debug, Default)]
pub struct EntryStatusTable {
    records: Mutex<Map<Name, EntryRecord>>,
    domains: Mutex<Map<Name, DomainRecord>>,
}

/// The endpoints of one failure domain.
#[derive(Debug)]
struct DomainRecord {
    domain: DomainEndpoints,
    at: Millis,
    /// Whether the other control instances have yet to be told.
    is_new: bool,
}

#[derive(Debug, Clone)]
struct EntryRecord {
    domain: Name,
    revision: Revision,
    at: Millis,
    /// Whether it was heard of here, and not by another control instance.
    is_own: bool,
    is_new: bool,
}

impl EntryStatusTable {
    /// Takes in a poll.
    pub fn record_poll(&self, now: Millis, poll: &FeedPoll) {
        if let Some(domain) = &poll.endpoints {
            self.record_endpoints(now, domain, true);
        }
        let mut records = self.records.lock();
        let mut update = |entry: &Name, domain: &Name, revision, at| {
            let record = records.get(entry);
            // It may have said something newer by another parent since.
            if record.is_some_and(|record| record.at > at) {
                return;
            }
            let has_changed = record.is_none_or(|record| record.revision != revision);
            let is_new = has_changed || record.is_some_and(|record| record.is_new);
            let domain = domain.clone();
            let polled = EntryRecord { domain, revision, at, is_own: true, is_new };
            records.insert(entry.clone(), polled);
        };
        update(&poll.entry, &poll.domain, poll.have, now);
        for below in &poll.below {
            update(&below.entry, &below.domain, below.revision, now - below.age);
        }
    }

    fn record_endpoints(&self, now: Millis, domain: &DomainEndpoints, is_new: bool) {
        let at = now - domain.age;
        let mut domains = self.domains.lock();
        if domains.get(&domain.domain).is_none_or(|record| record.at < at) {
            let domain = domain.clone();
            domains.insert(domain.domain.clone(), DomainRecord { domain, at, is_new });
        }
    }

    /// Returns the endpoints that were reported lately, by name.
    pub fn endpoints(&self, now: Millis) -> Vec<EndpointStatus> {
        let domains = self.domains.lock();
        let fresh = domains.values().filter(|r| now - r.at < MAX_REPORT_AGE);
        let mut endpoints: Vec<EndpointStatus> =
            fresh.flat_map(|r| r.domain.endpoints.iter().cloned()).collect();
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        endpoints
    }

    fn take_new_reports(&self, now: Millis) -> Vec<DomainEndpoints> {
        let mut domains = self.domains.lock();
        let new = domains.values_mut().filter(|r| r.is_new);
        let reports = new.map(|r| {
            r.is_new = false;
            DomainEndpoints { age: now - r.at, ..r.domain.clone() }
        });
        reports.collect()
    }

    /// Takes in what another control instance heard.
    pub fn merge(&self, now: Millis, sync: &RunningSync) {
        for domain in &sync.endpoints {
            self.record_endpoints(now, domain, false);
        }
        let mut records = self.records.lock();
        for entry in &sync.entries {
            let at = now - entry.age;
            if records.get(&entry.entry).is_some_and(|record| record.at > at) {
                continue;
            }
            let (domain, revision) = (entry.domain.clone(), entry.revision);
            let record = EntryRecord { domain, revision, at, is_own: false, is_new: false };
            records.insert(entry.entry.clone(), record);
        }
        records.retain(|_, record| now - record.at < RETENTION);
    }

    /// Returns whether all live entry instances run a revision.
    pub fn all_run(&self, now: Millis, revision: Revision) -> bool {
        let records = self.records.lock();
        let mut live = records.values().filter(|record| now - record.at < LIVE_TIMEOUT);
        live.all(|record| record.revision >= revision)
    }

    /// Returns all that is record, by name.
    pub fn entries(&self, now: Millis) -> Vec<EntryStatus> {
        let records = self.records.lock();
        let entries = records.iter().map(|(name, record)| EntryStatus {
            name: name.clone(),
            domain: record.domain.clone(),
            revision: record.revision,
            heard_ago: now - record.at,
        });
        let mut entries: Vec<EntryStatus> = entries.collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries
    }

    /// Returns all that was heard of here, whether or not the others were told.
    pub fn own_entries(&self, now: Millis) -> RunningSync {
        let records = self.records.lock();
        let own =
            records.iter().filter(|(_, record)| record.is_own && now - record.at < LIVE_TIMEOUT);
        let entries = own.map(|(name, record)| running_entry(now, name, record)).collect();
        RunningSync { entries, endpoints: Vec::new() }
    }

    fn take_updates(&self, now: Millis, is_refresh: bool) -> Vec<RunningEntry> {
        let mut records = self.records.lock();
        let updates = records.iter_mut().filter(|(_, record)| {
            record.is_own && (record.is_new || is_refresh && now - record.at < LIVE_TIMEOUT)
        });
        let entries = updates.map(|(name, record)| {
            record.is_new = false;
            running_entry(now, name, record)
        });
        entries.collect()
    }
}

fn running_entry(now: Millis, name: &Name, record: &EntryRecord) -> RunningEntry {
    RunningEntry {
        entry: name.clone(),
        domain: record.domain.clone(),
        revision: record.revision,
        age: now - record.at,
    }
}
