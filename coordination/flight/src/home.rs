//! The home of an idempotency key: the entry instance of a failure domain that records where the
//! request with the key runs.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use sill_base::{Map, Millis};
use sill_wire::claim::{BodyHash, ClaimKey};
use sill_wire::handoff::{LocateReply, RunLocation};

/// Returns the home of a key among the members, by rendezvous hashing: when a member is removed,
/// only its own keys get another home.
pub fn home_member<'a, T>(key: &ClaimKey, members: &'a [T]) -> Option<&'a T>
where
    T: Hash,
{
    members.iter().max_by_key(|member| {
        let mut hasher = rustc_hash::FxHasher::default();
        (key, member).hash(&mut hasher);
        mix_bits(hasher.finish())
    })
}

/// Mixes the bits of a hash. The low bits of the fast hasher are similar for similar names;
/// unmixed, one member would be the home of far more keys than the others.
fn mix_bits(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Where keyed requests run, as recorded by the home of their keys. Bounded; the oldest records are
/// evicted first.
#[derive(Debug)]
pub struct RunDirectory {
    capacity: usize,
    retention: Millis,
    runs: Map<ClaimKey, RunRecord>,
    insertion_order: VecDeque<AgeEntry>,
}

#[derive(Debug, Clone)]
struct RunRecord {
    run: RunLocation,
    body: BodyHash,
    at: Millis,
}

#[derive(Debug)]
struct AgeEntry {
    at: Millis,
    key: ClaimKey,
}

impl RunDirectory {
    /// Makes an empty directory that holds `capacity` records, each for at most `retention`.
    pub fn new(capacity: usize, retention: Millis) -> Self {
        Self { capacity, retention, runs: Map::default(), insertion_order: VecDeque::new() }
    }

    /// Looks up where a key runs; if it is new, records the asker as the one that runs it.
    pub fn locate(
        &mut self,
        now: Millis,
        key: &ClaimKey,
        body: &BodyHash,
        asker: RunLocation,
    ) -> LocateReply {
        self.evict_expired(now);
        match self.runs.get(key) {
            Some(record) if record.body != *body => LocateReply::BodyMismatch,
            Some(record) if record.run == asker => LocateReply::New,
            Some(record) => LocateReply::At(record.run.clone()),
            None => {
                self.record_run(now, key, body, asker);
                LocateReply::New
            }
        }
    }

    /// Records where a request runs, in place of an earlier record.
    pub fn record_run(&mut self, now: Millis, key: &ClaimKey, body: &BodyHash, run: RunLocation) {
        let record = RunRecord { run, body: body.clone(), at: now };
        self.runs.insert(key.clone(), record);
        self.insertion_order.push_back(AgeEntry { at: now, key: key.clone() });
        while self.insertion_order.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// Removes the record of a request that was refused, so that the request can be sent again.
    pub fn remove(&mut self, key: &ClaimKey, run: &RunLocation) {
        if self.runs.get(key).is_some_and(|record| record.run == *run) {
            self.runs.remove(key);
        }
    }

    fn evict_expired(&mut self, now: Millis) {
        while self.insertion_order.front().is_some_and(|oldest| oldest.at + self.retention <= now) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.insertion_order.pop_front() else {
            return;
        };
        if self.runs.get(&oldest.key).is_some_and(|record| record.at == oldest.at) {
            self.runs.remove(&oldest.key);
        }
    }
}
