//! Endpoint loads that a control instance distributes among the entry instances connected to it.

use sill_base::{Map, Millis, Name};
use sill_wire::Incarnation;
use sill_wire::link::EndpointLoad;

/// Upper bound on the loads in one reply; the newest are sent. With more, an entry instance that
/// has a tenth of a core would spend it on them.
const MAX_REPLY_LOADS: usize = 64;

/// Age up to which a load is distributed. What an endpoint ran a second ago says little about its
/// load now.
const LOAD_TTL: Millis = Millis(1000);

/// The newest load of each endpoint.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    by_endpoint: Map<Name, LoadEntry>,
    /// Sequence number of the load recorded last.
    last_sequence: u64,
}

#[derive(Debug)]
struct LoadEntry {
    incarnation: Incarnation,
    running: u32,
    queued: u32,
    is_full: bool,
    rejection_bound: Option<u32>,
    request_limit: Option<f64>,
    pace: Option<u32>,
    relative_time: Option<u32>,
    measured_at: Millis,
    sequence: u64,
}

impl EndpointLoads {
    /// Records the loads that an entry instance reported. Loads that are older than the known one
    /// are ignored.
    pub fn record(&mut self, now: Millis, loads: Vec<EndpointLoad>) {
        self.by_endpoint.retain(|_, entry| now - entry.measured_at < LOAD_TTL);
        for load in loads {
            let measured_at = now - load.age;
            // A late load of an earlier incarnation must not take the place of one of the present.
            let is_newer = self.by_endpoint.get(&load.endpoint).is_none_or(|entry| {
                let (known, reported) =
                    ((entry.incarnation, entry.measured_at), (load.incarnation, measured_at));
                // The first part of an answer may arrive after its load was reported.
                let adds_time = load.relative_time.is_some() && entry.relative_time.is_none();
                reported > known || adds_time && reported == known
            });
            if !is_newer || load.age >= LOAD_TTL {
                continue;
            }
            self.last_sequence += 1;
            let EndpointLoad {
                endpoint,
                incarnation,
                running,
                queued,
                is_full,
                rejection_bound,
                request_limit,
                pace,
                relative_time,
                ..
            } = load;
            let entry = LoadEntry {
                incarnation,
                running,
                queued,
                is_full,
                rejection_bound,
                request_limit,
                pace,
                relative_time,
                measured_at,
                sequence: self.last_sequence,
            };
            self.by_endpoint.insert(endpoint, entry);
        }
    }

    /// Returns the newest loads after the sequence number `seen`, and the sequence number to pass
    /// the next time.
    pub fn newer_than(&self, now: Millis, seen: u64) -> (u64, Vec<EndpointLoad>) {
        let entries = self.by_endpoint.iter().filter(|(_, entry)| entry.sequence > seen);
        let mut entries: Vec<(&Name, &LoadEntry)> = entries.collect();
        entries.sort_unstable_by_key(|(_, entry)| std::cmp::Reverse(entry.sequence));
        entries.truncate(MAX_REPLY_LOADS);
        let loads = entries.into_iter().map(|(endpoint, entry)| EndpointLoad {
            endpoint: endpoint.clone(),
            incarnation: entry.incarnation,
            running: entry.running,
            queued: entry.queued,
            is_full: entry.is_full,
            rejection_bound: entry.rejection_bound,
            request_limit: entry.request_limit,
            pace: entry.pace,
            relative_time: entry.relative_time,
            age: now - entry.measured_at,
        });
        (self.last_sequence, loads.collect())
    }
}
