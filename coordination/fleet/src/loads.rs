//! Weight loads, queued against the rate of the store.

use sill_base::{Millis, Name, Set};

/// Longest time between two calls in which the store's rate goes on to count.
const CALLED_EVERY: Millis = Millis(1000);

/// One load of weights onto an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The endpoint.
    pub endpoint: Name,
    /// The model.
    pub model: Name,
    /// The version of the weights.
    pub version: Name,
    /// Size in megabytes.
    pub megabytes: u64,
}

/// Loads that wait for the store.
#[derive(Debug)]
pub struct LoadQueue {
    megabytes_per_s: u64,
    waiting: Vec<Load>,
    known: Set<LoadKey>,
    store_free_at: Millis,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LoadKey {
    endpoint: Name,
    model: Name,
    version: Name,
}

impl LoadQueue {
    /// Makes an empty queue for a store of that rate.
    pub fn new(megabytes_per_s: u64) -> Self {
        Self {
            megabytes_per_s: megabytes_per_s.max(1),
            waiting: Vec::new(),
            known: Set::default(),
            store_free_at: Millis::ZERO,
        }
    }

    /// Adds a load; one that waits or runs already is not added again, since a second copy of the
    /// same weights would take the store's rate from an endpoint that has none.
    pub fn add(&mut self, load: Load) {
        if self.known.insert(key(&load)) {
            self.waiting.push(load);
        }
    }

    /// Takes the most needed load when the store is free. The largest `need` goes first, and the
    /// earliest added among equals.
    pub fn next<F>(&mut self, now: Millis, need: F) -> Option<Load>
    where
        F: Fn(&Load) -> u64,
    {
        if now < self.store_free_at || self.waiting.is_empty() {
            return None;
        }
        let mut best = 0;
        for i in 1..self.waiting.len() {
            if need(&self.waiting[i]) > need(&self.waiting[best]) {
                best = i;
            }
        }
        let load = self.waiting.remove(best);
        // Time that the store was idle since the last call may be used up, but no more.
        let from = self.store_free_at.max(now - CALLED_EVERY);
        self.store_free_at = from + Millis(load.megabytes * 1000 / self.megabytes_per_s);
        Some(load)
    }

    /// Forgets the loads of an endpoint that has them or is gone.
    pub fn remove_endpoint(&mut self, endpoint: &Name) {
        self.waiting.retain(|load| load.endpoint != *endpoint);
        self.known.retain(|key| key.endpoint != *endpoint);
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

fn key(load: &Load) -> LoadKey {
    LoadKey {
        endpoint: load.endpoint.clone(),
        model: load.model.clone(),
        version: load.version.clone(),
    }
}
