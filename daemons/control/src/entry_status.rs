//! The settings revision that each entry instance runs, and the endpoints that they report.

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_wire::control::{EndpointStatus, EntryStatus, Revision};
use sill_wire::feed::{DomainEndpoints, FeedPoll};

use crate::rpc::{EntryRevision, EntryStatusSync};

pub mod calls;

/// An entry instance without a report for this long doesn't delay a change's confirmation.
pub const LIVE_TIMEOUT: Millis = Millis(15_000);

/// An entry instance without a report for this long is removed from the table.
const RETENTION: Millis = Millis(600_000);

/// A report of a failure domain's endpoints older than this is not shown to operators.
const MAX_REPORT_AGE: Millis = Millis(30_000);

/// Reports of entry instances, received here or from other control instances.
#[derive(Debug, Default)]
pub struct EntryStatusTable {
    records: Mutex<Map<Name, EntryRecord>>,
    domains: Mutex<Map<Name, DomainRecord>>,
}

/// The last report of a failure domain's endpoints.
#[derive(Debug)]
struct DomainRecord {
    domain: DomainEndpoints,
    at: Millis,
    /// Whether the report is still to be sent to the other control instances.
    is_unsent: bool,
}

#[derive(Debug, Clone)]
struct EntryRecord {
    domain: Name,
    revision: Revision,
    at: Millis,
    /// Whether it was received here, not from another control instance.
    is_own: bool,
    /// Whether it is still to be sent to the other control instances.
    is_unsent: bool,
}

impl EntryStatusTable {
    /// Records what an entry instance reports in a poll, also on its subscribers.
    pub fn record_poll(&self, now: Millis, poll: &FeedPoll) {
        if let Some(domain) = &poll.endpoints {
            self.record_endpoints(now, domain, true);
        }
        let mut records = self.records.lock();
        let mut update = |entry: &Name, domain: &Name, revision, at| {
            let record = records.get(entry);
            // It may have sent a newer report through another parent since.
            if record.is_some_and(|record| record.at > at) {
                return;
            }
            let has_changed = record.is_none_or(|record| record.revision != revision);
            let is_unsent = has_changed || record.is_some_and(|record| record.is_unsent);
            let domain = domain.clone();
            let polled = EntryRecord { domain, revision, at, is_own: true, is_unsent };
            records.insert(entry.clone(), polled);
        };
        update(&poll.entry, &poll.domain, poll.have, now);
        for subscriber in &poll.subscribers {
            update(
                &subscriber.entry,
                &subscriber.domain,
                subscriber.revision,
                now - subscriber.age,
            );
        }
    }

    fn record_endpoints(&self, now: Millis, domain: &DomainEndpoints, is_unsent: bool) {
        let at = now - domain.age;
        let mut domains = self.domains.lock();
        if domains.get(&domain.domain).is_none_or(|record| record.at < at) {
            let domain = domain.clone();
            domains.insert(domain.domain.clone(), DomainRecord { domain, at, is_unsent });
        }
    }

    /// Returns the recently reported endpoints, sorted by name.
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
        let new = domains.values_mut().filter(|r| r.is_unsent);
        let reports = new.map(|r| {
            r.is_unsent = false;
            DomainEndpoints { age: now - r.at, ..r.domain.clone() }
        });
        reports.collect()
    }

    /// Merges the reports that another control instance received, unless newer ones are here.
    pub fn merge(&self, now: Millis, sync: &EntryStatusSync) {
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
            let record = EntryRecord { domain, revision, at, is_own: false, is_unsent: false };
            records.insert(entry.entry.clone(), record);
        }
        records.retain(|_, record| now - record.at < RETENTION);
    }

    /// Returns whether all live entry instances run a revision or a later one.
    pub fn all_run(&self, now: Millis, revision: Revision) -> bool {
        let records = self.records.lock();
        let mut live = records.values().filter(|record| now - record.at < LIVE_TIMEOUT);
        live.all(|record| record.revision >= revision)
    }

    /// Returns the status of all recorded entry instances, sorted by name.
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

    /// Returns the live entry instances that reported here, whether or not they were already sent.
    pub fn own_entries(&self, now: Millis) -> EntryStatusSync {
        let records = self.records.lock();
        let own =
            records.iter().filter(|(_, record)| record.is_own && now - record.at < LIVE_TIMEOUT);
        let entries = own.map(|(name, record)| running_entry(now, name, record)).collect();
        EntryStatusSync { entries, endpoints: Vec::new() }
    }

    fn take_updates(&self, now: Millis, is_refresh: bool) -> Vec<EntryRevision> {
        let mut records = self.records.lock();
        let updates = records.iter_mut().filter(|(_, record)| {
            record.is_own && (record.is_unsent || is_refresh && now - record.at < LIVE_TIMEOUT)
        });
        let entries = updates.map(|(name, record)| {
            record.is_unsent = false;
            running_entry(now, name, record)
        });
        entries.collect()
    }
}

fn running_entry(now: Millis, name: &Name, record: &EntryRecord) -> EntryRevision {
    EntryRevision {
        entry: name.clone(),
        domain: record.domain.clone(),
        revision: record.revision,
        age: now - record.at,
    }
}
