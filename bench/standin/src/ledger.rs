//! Record of the runs of an endpoint, which tests compare with the answers of callers.

use parking_lot::Mutex;
use sill_base::Name;
use sill_wire::endpoint::{LedgerEntry, RunEnd};

/// All runs of an endpoint in order of arrival.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Vec<LedgerEntry>>);

/// Identifies a run in its ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunId(usize);

impl Ledger {
    /// Adds a new run.
    pub fn open(&self, entry: LedgerEntry) -> RunId {
        let mut runs = self.0.lock();
        runs.push(entry);
        RunId(runs.len() - 1)
    }

    /// Records how many prompt tokens were cached and how many were computed.
    pub fn record_computed(&self, run: RunId, cached: u64, computed: u64) {
        let entry = &mut self.0.lock()[run.0];
        entry.cached_tokens = cached;
        entry.computed_tokens = computed;
    }

    /// Records the address from which the KV cache of a run was imported.
    pub fn record_import(&self, run: RunId, from: &Name) {
        self.0.lock()[run.0].imported_from = Some(from.clone());
    }

    /// Records the number of tokens sent so far.
    pub fn record_sent(&self, run: RunId, tokens: u32) {
        self.0.lock()[run.0].sent_tokens = tokens;
    }

    /// Records how a run ended. Later calls for the same run have no effect.
    pub fn close(&self, run: RunId, end: RunEnd) {
        let entry = &mut self.0.lock()[run.0];
        if entry.end == RunEnd::Running {
            entry.end = end;
        }
    }

    /// Returns a copy of all runs.
    pub fn runs(&self) -> Vec<LedgerEntry> {
        self.0.lock().clone()
    }
}
