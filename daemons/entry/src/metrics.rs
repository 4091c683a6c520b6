//! Metrics of an entry instance, in the Prometheus text format.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use sill_flight::RecomputeCause;

use crate::gauges::Gauges;

/// Counters and gauges, in a registry of their own.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Accepted requests, counted when they are first dispatched to an endpoint.
    pub accepted: IntCounter,
    /// Requests that were answered in full.
    pub answered: IntCounter,
    /// Requests that were refused and not run.
    pub refused: IntCounter,
    /// Requests that failed after they were sent to an endpoint.
    pub failed: IntCounter,
    /// Requests that have not finished.
    pub in_flight: IntGauge,
    /// Gauges of membership and settings.
    pub gauges: Gauges,
    recomputed_tokens: IntCounterVec,
    dropped_chunks: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics when two metrics have the same name.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("metric name is valid");
            registry.register(Box::new(counter.clone())).expect("metric name is unique");
            counter
        };
        let accepted = counter("sill_requests_accepted_total", "Requests accepted");
        let answered = counter("sill_requests_answered_total", "Requests answered whole");
        let refused = counter("sill_requests_refused_total", "Requests refused");
        let failed = counter("sill_requests_failed_total", "Requests given up after dispatch");
        let labeled_counter = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])
                .expect("metric name and label are valid");
            registry.register(Box::new(counters.clone())).expect("metric name is unique");
            counters
        };
        let recomputed_tokens =
            labeled_counter("sill_recomputed_tokens_total", "Tokens computed again", "cause");
        let dropped_chunks =
            labeled_counter("sill_dropped_chunks_total", "Chunks not passed on", "why");
        let in_flight = IntGauge::new("sill_requests_in_flight", "Requests in flight")
            .expect("metric name is valid");
        registry.register(Box::new(in_flight.clone())).expect("metric name is unique");
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

    /// Counts tokens that are computed again, by cause.
    pub fn count_recomputed(&self, cause: RecomputeCause, tokens: u64) {
        self.recomputed_tokens.with_label_values(&[cause.name()]).inc_by(tokens);
    }

    /// Counts a chunk that was not forwarded to the caller, by reason.
    pub fn count_dropped(&self, why: &str) {
        self.dropped_chunks.with_label_values(&[why]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
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
