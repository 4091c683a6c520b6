//! What an endpoint ran: the evidence that answers are checked against.

use parking_lot::Mutex;
use sill_base::Name;
use sill_wire::endpoint::{LedgerEntry, RunEnd};

/// All runs of an endpoint, in the order they came.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Vec<LedgerEntry>>);

/// Names a run in its ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunId(usize);

impl Ledger {
    /// Notes a new run.
    pub fn open(&self, entry: LedgerEntry) -> RunId {
        let mut runs = self.0.lock();
        runs.push(entry);
        RunId(runs.len() - 1)
    }

    /// Notes what the cache held and what had to be computed.
    pub fn record_computed(&self, run: RunId, cached: u64, computed: u64) {
        let entry = &mut self.0.lock()[run.0];
        entry.cached_tokens = cached;
        entry.computed_tokens = computed;
    }

    /// Notes where a run's KV cache was imported from.
    pub fn record_import(&self, run: RunId, from: &Name) {
        self.0.lock()[run.0].imported_from = Some(from.clone());
    }

    /// Notes the tokens sent so far.
    pub fn record_sent(&self, run: RunId, tokens: u32) {
        self.0.lock()[run.0].sent_tokens = tokens;
    }

    /// Notes how a run ended; the first end stands.
    pub fn close(&self, run: RunId, end: RunEnd) {
        let entry = &mut self.0.lock()[run.0];
        if entry.end == RunEnd::Running {
            entry.end = end;
        }
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<LedgerEntry> {
        self.0.lock().clone()
    }
}
