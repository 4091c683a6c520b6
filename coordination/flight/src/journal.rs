//! A bounded journal of what became of requests, and why.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sill_base::{Map, Millis, Name};

/// Steps kept for one request; the first and the last matter most, so the middle is dropped.
const MAX_STEPS: usize = 64;

/// One step of a request's life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStep {
    /// Milliseconds since the request was received.
    pub at: Millis,
    /// What happened, and why.
    pub what: String,
}

/// All that is known of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The client account.
    pub account: Name,
    /// What was asked for.
    pub target: Name,
    /// When it was received, on the entry's clock.
    #[serde(rename = "received")]
    pub received_at: Millis,
    /// Its steps in order.
    pub steps: Vec<RequestStep>,
    /// Steps that were dropped from the middle.
    #[serde(rename = "dropped")]
    pub dropped_steps: u32,
}

/// Records of the newest requests.
#[derive(Debug)]
pub struct Journal {
    capacity: usize,
    records: Map<Name, RequestRecord>,
    by_age: VecDeque<Name>,
}

impl Journal {
    /// Makes an empty journal for that many requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: Map::default(), by_age: VecDeque::new() }
    }

    /// Begins a record; the oldest one goes when the journal is full.
    pub fn open(&mut self, now: Millis, request: &Name, account: &Name, target: &Name) {
        let (account, target) = (account.clone(), target.clone());
        let record =
            RequestRecord { account, target, received_at: now, ..RequestRecord::default() };
        if self.records.insert(request.clone(), record).is_none() {
            self.by_age.push_back(request.clone());
        }
        if self.by_age.len() > self.capacity
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.records.remove(&oldest);
        }
    }

    /// Adds a step to a record.
    pub fn add_step(&mut self, now: Millis, request: &Name, what: String) {
        let Some(record) = self.records.get_mut(request) else {
            return;
        };
        if record.steps.len() == MAX_STEPS {
            record.steps.remove(MAX_STEPS / 2);
            record.dropped_steps += 1;
        }
        record.steps.push(RequestStep { at: now - record.received_at, what });
    }

    /// Returns a record.
    pub fn get(&self, request: &str) -> Option<&RequestRecord> {
        self.records.get(request)
    }
}
