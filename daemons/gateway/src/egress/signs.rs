//! When the process of each endpoint was last heard.

use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_dispatch::EndpointSigns;
use sill_wire::Incarnation;

use super::Destination;

/// How long a sign is kept.
const KEPT: Millis = Millis(5000);

/// Upper bound on the connections of which signs of one endpoint are kept.
const MAX_CONNECTIONS: usize = 16;

/// When an endpoint was last heard, on connections and in tunnels. Each request in flight has a clone.
#[derive(Debug, Default, Clone)]
pub struct LifeSign(Arc<Mutex<Vec<Sign>>>);

/// What arrived on the connections that were opened at one time.
#[derive(Debug, Clone, Copy)]
struct Sign {
    opened_at: Millis,
    /// Its process has run at this time or later.
    heard_at: Millis,
    /// When the newest bytes arrived.
    arrived_at: Millis,
}

/// The signs of all endpoints that were sent requests.
#[derive(Debug, Default)]
pub struct LifeSigns {
    by_endpoint: Mutex<Map<(Name, Incarnation), LifeSign>>,
}

impl LifeSign {
    /// Records that bytes of the endpoint arrived now, on a connection that was opened at `opened_at`.
    pub fn record(&self, opened_at: Millis, now: Millis) {
        self.record_late(opened_at, now, now);
    }

    /// Records that bytes arrived now that the endpoint has sent at `heard_at` or later.
    pub fn record_late(&self, opened_at: Millis, heard_at: Millis, arrived_at: Millis) {
        let mut signs = self.0.lock();
        match signs.iter_mut().find(|sign| sign.opened_at == opened_at) {
            Some(sign) => {
                sign.heard_at = sign.heard_at.max(heard_at);
                sign.arrived_at = sign.arrived_at.max(arrived_at);
            }
            None => {
                if signs.len() == MAX_CONNECTIONS {
                    signs.sort_unstable_by_key(|sign| sign.heard_at);
                    signs.remove(0);
                }
                signs.push(Sign { opened_at, heard_at, arrived_at });
            }
        }
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

    /// Returns what is known of an endpoint from connections that were opened by `opened_by`.
    pub fn of(&self, to: &Destination, opened_by: Millis) -> EndpointSigns {
        let by_endpoint = self.by_endpoint.lock();
        let sign = by_endpoint.get(&(to.endpoint.clone(), to.incarnation));
        sign.map_or_else(EndpointSigns::default, |sign| {
            let signs = sign.0.lock();
            let in_time = signs.iter().filter(|sign| sign.opened_at <= opened_by);
            EndpointSigns {
                heard_at: in_time.clone().map(|sign| sign.heard_at).max(),
                is_awaited: sign.is_awaited(),
                arrived_at: in_time.map(|sign| sign.arrived_at).max(),
            }
        })
    }

    /// Returns when the oldest connection was opened on which an endpoint was heard later than `since`.
    pub fn heard_on(&self, to: &Destination, since: Millis) -> Option<Millis> {
        let by_endpoint = self.by_endpoint.lock();
        let sign = by_endpoint.get(&(to.endpoint.clone(), to.incarnation))?;
        let signs = sign.0.lock();
        let heard = signs.iter().filter(|sign| sign.heard_at > since);
        heard.map(|sign| sign.opened_at).min()
    }

    /// Forgets what was heard long ago, and endpoints without requests in flight.
    pub fn expire(&self, now: Millis) {
        self.by_endpoint.lock().retain(|_, sign| {
            let mut signs = sign.0.lock();
            signs.retain(|sign| now - sign.arrived_at < KEPT);
            let is_empty = signs.is_empty();
            drop(signs);
            sign.is_awaited() || !is_empty
        });
    }
}
