//! Queue of weight loads, paced to the rate of the weights store.

use sill_base::{Millis, Name, Set};

/// Longest idle time of the store between two calls of `next` that counts as available to the next
/// load.
const MAX_IDLE_CREDIT: Millis = Millis(1000);

/// A load of weights onto an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Endpoint that loads the weights.
    pub endpoint: Name,
    /// Model that the weights belong to.
    pub model: Name,
    /// Version of the weights.
    pub version: Name,
    /// Size of the weights in megabytes.
    pub megabytes: u64,
}

/// Loads that wait for the weights store.
#[derive(Debug)]
pub struct LoadQueue {
    megabytes_per_s: u64,
    queue: Vec<Load>,
    /// Keys of the loads that are queued or in progress.
    pending: Set<LoadKey>,
    store_free_at: Millis,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LoadKey {
    endpoint: Name,
    model: Name,
    version: Name,
}

impl LoadQueue {
    /// Creates an empty queue for a store with the given rate.
    pub fn new(megabytes_per_s: u64) -> Self {
        Self {
            megabytes_per_s: megabytes_per_s.max(1),
            queue: Vec::new(),
            pending: Set::default(),
            store_free_at: Millis::ZERO,
        }
    }

    /// Adds a load, unless it is queued or in progress already: a second copy of the same weights
    /// would take the store's rate from an endpoint that has none.
    pub fn add(&mut self, load: Load) {
        if self.pending.insert(key_of(&load)) {
            self.queue.push(load);
        }
    }

    /// Removes and returns the load with the highest `urgency` if the store is free; among equals
    /// the one added first.
    pub fn next<F>(&mut self, now: Millis, urgency: F) -> Option<Load>
    where
        F: Fn(&Load) -> u64,
    {
        if now < self.store_free_at || self.queue.is_empty() {
            return None;
        }
        let mut best = 0;
        for i in 1..self.queue.len() {
            if urgency(&self.queue[i]) > urgency(&self.queue[best]) {
                best = i;
            }
        }
        let load = self.queue.remove(best);
        // The load may use time in which the store was idle since the last call, but no more.
        let from = self.store_free_at.max(now - MAX_IDLE_CREDIT);
        self.store_free_at = from + Millis(load.megabytes * 1000 / self.megabytes_per_s);
        Some(load)
    }

    /// Removes the loads of an endpoint that has loaded its weights or no longer serves.
    pub fn remove_endpoint(&mut self, endpoint: &Name) {
        self.queue.retain(|load| load.endpoint != *endpoint);
        self.pending.retain(|key| key.endpoint != *endpoint);
    }

    /// Returns the number of loads that wait for the store.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no load waits for the store.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

fn key_of(load: &Load) -> LoadKey {
    LoadKey {
        endpoint: load.endpoint.clone(),
        model: load.model.clone(),
        version: load.version.clone(),
    }
}
