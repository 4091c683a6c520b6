//! The home of a key: the one entry instance of a failure domain that knows where it runs.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use sill_base::{Map, Millis};
use sill_wire::claim::{BodyHash, ClaimKey};
use sill_wire::handoff::{LocateReply, RunLocation};

/// Returns the member that is home to a key, by rendezvous hashing: when a member goes, only its
/// own keys move.
pub fn home<'a, T>(key: &ClaimKey, members: &'a [T]) -> Option<&'a T>
where
    T: Hash,
{
    members.iter().max_by_key(|member| {
        let mut hasher = rustc_hash::FxHasher::default();
        (key, member).hash(&mut hasher);
        mix(hasher.finish())
    })
}

/// The fast hasher's low bits of similar names are alike; without this a member would be home to
/// far more keys than others.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Where keyed requests run, as their home knows it. Bounded; the oldest are forgotten first.
#[derive(Debug)]
pub struct Directory {
    capacity: usize,
    retention: Millis,
    runs: Map<ClaimKey, Located>,
    by_age: VecDeque<Aged>,
}

#[derive(Debug, Clone)]
struct Located {
    run: RunLocation,
    body: BodyHash,
    at: Millis,
}

#[derive(Debug)]
struct Aged {
    at: Millis,
    key: ClaimKey,
}

impl Directory {
    /// Makes an empty directory.
    pub fn new(capacity: usize, retention: Millis) -> Self {
        Self { capacity, retention, runs: Map::default(), by_age: VecDeque::new() }
    }

    /// Looks a key up, and notes the asker where it is new.
    pub fn locate(
        &mut self,
        now: Millis,
        key: &ClaimKey,
        body: &BodyHash,
        asker: RunLocation,
    ) -> LocateReply {
        self.forget_old(now);
        match self.runs.get(key) {
            Some(located) if located.body != *body => LocateReply::BodyMismatch,
            Some(located) if located.run == asker => LocateReply::New,
            Some(located) => LocateReply::At(located.run.clone()),
            None => {
                self.moved(now, key, body, asker);
                LocateReply::New
            }
        }
    }

    /// Notes that a request runs elsewhere now.
    pub fn moved(&mut self, now: Millis, key: &ClaimKey, body: &BodyHash, run: RunLocation) {
        let located = Located { run, body: body.clone(), at: now };
        self.runs.insert(key.clone(), located);
        self.by_age.push_back(Aged { at: now, key: key.clone() });
        while self.by_age.len() > self.capacity {
            self.forget_oldest();
        }
    }

    /// Forgets a key whose request was refused, so that it can be sent again.
    pub fn forget(&mut self, key: &ClaimKey, run: &RunLocation) {
        if self.runs.get(key).is_some_and(|located| located.run == *run) {
            self.runs.remove(key);
        }
    }

    fn forget_old(&mut self, now: Millis) {
        while self.by_age.front().is_some_and(|aged| aged.at + self.retention <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(aged) = self.by_age.pop_front() else {
            return;
        };
        if self.runs.get(&aged.key).is_some_and(|located| located.at == aged.at) {
            self.runs.remove(&aged.key);
        }
    }
}
