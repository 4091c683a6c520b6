//! Carries tunnels to endpoints for entry instances that don't reach them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGauge};
use sill_base::Millis;
use sill_dispatch::RelayLoad;
use sill_net::h1::{TunnelDenial, TunnelGrant, TunnelRequest, TunnelServer, serve_tunnels};
use sill_net::{PeerMethods, PeerServerBuilder};
use tokio::net::TcpListener;

use crate::state::State;
use crate::{endpoint_check, pause_notice, streams};

/// Time-out for connecting to an endpoint on behalf of another entry instance, which tries others
/// meanwhile.
const CONNECT_TIMEOUT: Millis = Millis(200);

/// Time without acknowledgements after which a connection of a tunnel is dropped.
const UNACKNOWLEDGED_TIMEOUT: Millis = Millis(3000);

/// The tunnels that an entry instance carries for others.
#[derive(Debug)]
pub struct Tunnels {
    open: Arc<AtomicUsize>,
    load: Mutex<RelayLoad>,
    address: Mutex<Option<SocketAddr>>,
    carried: IntGauge,
    requests: IntCounterVec,
}

impl Tunnels {
    /// Creates the record of an instance that carries none and offers none yet.
    pub fn new(metrics: &crate::metrics::Metrics) -> Self {
        Self {
            open: Arc::default(),
            load: Mutex::default(),
            address: Mutex::default(),
            carried: metrics.carried_tunnels.clone(),
            requests: metrics.tunnel_requests.clone(),
        }
    }

    /// Returns the number of open tunnels.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Records by how much a timer was late.
    pub fn record_delay(&self, delay: Millis) {
        self.load.lock().record_delay(delay);
        self.carried.set(self.open_count() as i64);
    }

    /// Returns the address at which other entry instances call this one.
    pub fn address(&self) -> Option<SocketAddr> {
        *self.address.lock()
    }

    /// Returns the address at which tunnels are offered to other entry instances; none while this
    /// one stops, is busy or reaches no endpoint itself.
    pub fn offer(&self, state: &State) -> Option<SocketAddr> {
        let address = self.address();
        let is_able = !state.planned_stop.has_begun() && !state.egress.is_cut_off();
        address.filter(|_| is_able && self.has_room())
    }

    fn has_room(&self) -> bool {
        self.load.lock().may_accept(self.open_count())
    }

    /// Decides on a request for a tunnel.
    fn grant(&self, state: &State, req: &TunnelRequest) -> Result<TunnelGrant, TunnelDenial> {
        let granted = self.decide(state, req);
        let answer = match granted {
            Ok(_) => "granted",
            Err(TunnelDenial::UnknownEndpoint) => "unknown_endpoint",
            Err(TunnelDenial::CutOff) => "cut_off",
            Err(TunnelDenial::Unreachable) => "unreachable",
            Err(TunnelDenial::Busy) => "busy",
        };
        self.requests.with_label_values(&[answer]).inc();
        granted
    }

    fn decide(&self, state: &State, req: &TunnelRequest) -> Result<TunnelGrant, TunnelDenial> {
        if state.planned_stop.has_begun() || !self.has_room() {
            return Err(TunnelDenial::Busy);
        }
        if state.egress.is_cut_off() {
            return Err(TunnelDenial::CutOff);
        }
        let address = state.address_of(&req.endpoint, req.incarnation);
        let address = address.ok_or(TunnelDenial::UnknownEndpoint)?;
        let is_paused = state.is_paused(&req.endpoint, req.incarnation);
        match state.egress.is_connectable(address) && !is_paused {
            true => Ok(TunnelGrant { address, answered_age: state.egress.answered_age() }),
            false => Err(TunnelDenial::Unreachable),
        }
    }
}

fn methods(state: &Arc<State>) -> PeerMethods {
    let mut builder = PeerServerBuilder::new(state.cfg.cluster_key.clone());
    streams::add_methods(&mut builder, state);
    endpoint_check::add_method(&mut builder, state);
    pause_notice::add_method(&mut builder, state);
    builder.into_methods()
}

/// Serves tunnels to other entry instances, and answers their calls.
pub async fn serve(state: Arc<State>, listener: TcpListener) {
    // Without an address of its own, other instances could not be told where to ask.
    let address = listener.local_addr().ok().filter(|address| !address.ip().is_unspecified());
    *state.tunnels.address.lock() = address;
    let cfg = TunnelServer {
        key: state.cfg.cluster_key.clone(),
        clock: state.clock,
        source: state.cfg.connect_from,
        connect_timeout: CONNECT_TIMEOUT,
        unacknowledged_timeout: UNACKNOWLEDGED_TIMEOUT,
        open: state.tunnels.open.clone(),
        methods: methods(&state),
    };
    serve_tunnels(listener, cfg, move |req| state.tunnels.grant(&state, req)).await;
}
