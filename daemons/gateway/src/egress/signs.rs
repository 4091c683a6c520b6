//! When the process of each endpoint was last heard.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_dispatch::EndpointSigns;
use sill_wire::Incarnation;

use super::Destination;

/// How long a sign is kept after the last request in flight.
const KEPT: Millis = Millis(5000);

/// The time at which an endpoint was last heard, on any connection and in any tunnel.
///
/// Each request in flight has a clone.
#[derive(Debug, Default, Clone)]
pub struct LifeSign(Arc<AtomicU64>);

/// The signs of all endpoints that were sent requests.
#[derive(Debug, Default)]
pub struct LifeSigns {
    by_endpoint: Mutex<Map<(Name, Incarnation), LifeSign>>,
}

impl LifeSign {
    /// Records that bytes of the endpoint arrived.
    pub fn record(&self, now: Millis) {
        // 0 is for none.
        self.0.fetch_max(now.0 + 1, Ordering::Relaxed);
    }

    fn heard_at(&self) -> Option<Millis> {
        self.0.load(Ordering::Relaxed).checked_sub(1).map(Millis)
    }

    fn is_awaited(&self) -> bool {
        Arc::strong_count(&self.0) > 1
    }
}

impl LifeSigns {
    /// Returns the sign of an endpoint, for a request that is sent to it.
    pub fn begin(&self, to: &Destination) -> LifeSign {
        let key = (to.endpoint.clone(), to.incarnation);
        self.by_endpoint.lock().entry(key).or_default().clone()
    }

    /// Returns what is known of an endpoint.
    pub fn of(&self, to: &Destination) -> EndpointSigns {
        let signs = self.by_endpoint.lock();
        let sign = signs.get(&(to.endpoint.clone(), to.incarnation));
        sign.map_or_else(EndpointSigns::default, |sign| EndpointSigns {
            heard_at: sign.heard_at(),
            is_awaited: sign.is_awaited(),
        })
    }

    /// Forgets endpoints without requests in flight that were last heard long ago.
    pub fn expire(&self, now: Millis) {
        let is_new = |sign: &LifeSign| sign.heard_at().is_some_and(|at| now - at < KEPT);
        self.by_endpoint.lock().retain(|_, sign| sign.is_awaited() || is_new(sign));
    }
}
