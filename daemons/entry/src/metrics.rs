//! Counters of an entry instance, in the Prometheus text format.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use sill_flight::RecomputeCause;

use crate::gauges::Gauges;

/// Counters and gauges.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that were accepted.
    pub accepted: IntCounter,
    /// Requests that were answered whole.
    pub answered: IntCounter,
    /// Requests that were refused.
    pub refused: IntCounter,
    /// Requests that were given up after they were sent.
    pub failed: IntCounter,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Membership and settings.
    pub gauges: Gauges,
    recomputed_tokens: IntCounterVec,
    dropped_chunks: IntCounterVec,
}

impl Metrics {
    /// Makes and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics share a name.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("a valid metric name");
            registry.register(Box::new(counter.clone())).expect("metric names differ");
            counter
        };
        let accepted = counter("sill_requests_accepted_total", "Requests accepted");
        let answered = counter("sill_requests_answered_total", "Requests answered whole");
        let refused = counter("sill_requests_refused_total", "Requests refused");
        let failed = counter("sill_requests_failed_total", "Requests given up after dispatch");
        let labeled_counter = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid");
            registry.register(Box::new(counters.clone())).expect("metric names differ");
            counters
        };
        let recomputed_tokens =
            labeled_counter("sill_recomputed_tokens_total", "Tokens computed again", "cause");
        let dropped_chunks =
            labeled_counter("sill_dropped_chunks_total", "Chunks not passed on", "why");
        let in_flight =
            IntGauge::new("sill_requests_in_flight", "Requests in flight").expect("a valid name");
        registry.register(Box::new(in_flight.clone())).expect("metric names differ");
        let gauges = Gauges::new(&registry);
        Self {
            registry,
            accepted,
            answered,
            refused,
            failed,
            in_flight,
            gauges,
            recomputed_tokens,
            dropped_chunks,
        }
    }

    /// Counts tokens that are computed again.
    pub fn count_recomputed(&self, cause: RecomputeCause, tokens: u64) {
        self.recomputed_tokens.with_label_values(&[cause.name()]).inc_by(tokens);
    }

    /// Counts a chunk that was not passed on.
    pub fn count_dropped(&self, why: &str) {
        self.dropped_chunks.with_label_values(&[why]).inc();
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
