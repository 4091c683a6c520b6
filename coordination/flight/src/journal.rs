//! A bounded journal of the steps of recent requests, with reasons.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sill_base::{Map, Millis, Name};

/// Maximum number of steps kept per request. The first and last steps explain most, so steps in the
/// middle are dropped.
const MAX_STEPS: usize = 64;

/// One step in the lifecycle of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStep {
    /// Milliseconds since the request was received.
    pub at: Millis,
    /// What happened and why, as text for people.
    pub what: String,
}

/// The journal record of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The client account that sent the request.
    pub account: Name,
    /// The model or service that was requested.
    pub target: Name,
    /// When the request was received, on the clock of the entry instance.
    #[serde(rename = "received")]
    pub received_at: Millis,
    /// The steps in order of time.
    pub steps: Vec<RequestStep>,
    /// Number of steps that were dropped from the middle.
    #[serde(rename = "dropped")]
    pub dropped_steps: u32,
}

/// Records of the most recent requests.
#[derive(Debug)]
pub struct Journal {
    capacity: usize,
    records: Map<Name, RequestRecord>,
    insertion_order: VecDeque<Name>,
}

impl Journal {
    /// Makes an empty journal that holds `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: Map::default(), insertion_order: VecDeque::new() }
    }

    /// Adds the record of a request, and evicts the oldest record if the journal is full.
    pub fn open(&mut self, now: Millis, request: &Name, account: &Name, target: &Name) {
        let (account, target) = (account.clone(), target.clone());
        let record =
            RequestRecord { account, target, received_at: now, ..RequestRecord::default() };
        if self.records.insert(request.clone(), record).is_none() {
            self.insertion_order.push_back(request.clone());
        }
        if self.insertion_order.len() > self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }

    /// Adds a step to the record of a request; does nothing if the record was evicted.
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

    /// Returns the record of a request, unless it was evicted.
    pub fn get(&self, request: &str) -> Option<&RequestRecord> {
        self.records.get(request)
    }
}
