//! Counters of an entry instance, in the Prometheus text format.

use prometheus::{Encoder, IntCounter, IntGauge, Registry, TextEncoder};

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
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Membership and settings.
    pub gauges: Gauges,
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
        let in_flight =
            IntGauge::new("sill_requests_in_flight", "Requests in flight").expect("a valid name");
        registry.register(Box::new(in_flight.clone())).expect("metric names differ");
        let gauges = Gauges::new(&registry);
        Self { registry, accepted, answered, refused, in_flight, gauges }
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
