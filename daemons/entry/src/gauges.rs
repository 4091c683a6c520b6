//! Gauges of the failure domain and the settings, as an entry instance sees them.

use prometheus::{IntGauge, Registry};

use crate::daemon::Shared;

/// Gauges, updated at each tick of the membership core.
#[derive(Debug)]
pub struct Gauges {
    peers: IntGauge,
    ready: IntGauge,
    leaving: IntGauge,
    revision: IntGauge,
    time_since_contact: IntGauge,
}

impl Gauges {
    /// Creates and registers the gauges.
    ///
    /// # Panics
    ///
    /// Panics when the registry already has a metric of the same name.
    pub fn new(registry: &Registry) -> Self {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("metric name is valid");
            registry.register(Box::new(gauge.clone())).expect("metric name is unique");
            gauge
        };
        Self {
            peers: gauge("sill_member_peers", "Live entry instances of the domain beside this one"),
            ready: gauge("sill_member_endpoints_ready", "Endpoints that may get requests"),
            leaving: gauge("sill_member_endpoints_leaving", "Endpoints that are leaving"),
            revision: gauge("sill_settings_revision", "Revision of the settings in force"),
            time_since_contact: gauge(
                "sill_settings_fed_ago_ms",
                "Time since someone in touch with control answered, -1 for never",
            ),
        }
    }

    /// Sets all gauges from the current state.
    pub fn set(&self, shared: &Shared) {
        let counts = shared.members.counts();
        self.peers.set(counts.peers as i64);
        self.ready.set(counts.ready as i64);
        self.leaving.set(counts.leaving as i64);
        self.revision.set(shared.settings.revision().0 as i64);
        let time_since_contact = shared.feed.time_since_contact(shared.clock.now());
        self.time_since_contact.set(time_since_contact.map_or(-1, |span| span.0 as i64));
    }
}
