//! Watches which paths to endpoints work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use sill_base::{Millis, event};
use sill_dispatch::{EndpointSign, PathChange, TICK};
use sill_net::h1::{Probe, TunnelFailure};
use tokio::time::Instant;

use super::{CLOSE_TIME, Checks, Destination, Egress, MAX_RELAYS};

impl Egress {
    /// Records what other entry instances saw when they connected to an endpoint.
    pub fn record_probes(&self, address: SocketAddr, signs: &[EndpointSign]) {
        let (now, mut paths) = (self.clock.now(), self.paths.lock());
        if signs.iter().any(|sign| matches!(sign, EndpointSign::Open | EndpointSign::Heard(_))) {
            paths.record_tunnel(now, address, false);
        }
    }

    /// Watches the paths until the task is dropped; calls `on_tick` with the delay of the timer.
    pub async fn watch<F>(self: Arc<Self>, on_tick: F)
    where
        F: Fn(Millis),
    {
        loop {
            let due = Instant::now() + TICK.into();
            tokio::time::sleep_until(due).await;
            on_tick(Millis(due.elapsed().as_millis() as u64));
            let Checks { direct, tunnel } = self.tick();
            for address in direct {
                tokio::spawn(self.clone().check(address));
            }
            if let Some(address) = tunnel {
                tokio::spawn(self.clone().check_tunnel(address));
            }
        }
    }

    fn tick(&self) -> Checks {
        let now = self.clock.now();
        self.signs.expire(now);
        self.expire_pings(now);
        let (has_relay, silent_relays) = {
            let mut relays = self.relays.lock();
            let silent = relays.tick(now);
            (relays.list.has_usable(now), silent)
        };
        let heard: Vec<(SocketAddr, u64)> = {
            let contacts = self.contacts.lock();
            let heard = contacts
                .iter()
                .map(|(at, contact)| (*at, contact.heard.swap(0, Ordering::Relaxed)));
            heard.filter(|(_, opened)| *opened > 0).collect()
        };
        let (checks, changes, lost, is_cut_off, has_faults) = {
            let mut paths = self.paths.lock();
            for (address, opened) in heard {
                paths.record_heard(now, address, Millis(opened - 1));
            }
            if self.is_tunnel_heard.swap(false, Ordering::Relaxed) {
                paths.record_tunnel_heard(now);
            }
            let direct = paths.tick(now);
            let checks = Checks { direct, tunnel: paths.next_tunnel_check(now, has_relay) };
            let (lost, is_cut_off) = (paths.lost_count(), paths.is_cut_off());
            (checks, paths.take_changes(), lost, is_cut_off, paths.has_faults())
        };
        self.metrics.lost_paths.set(lost as i64);
        self.metrics.cut_off.set(i64::from(is_cut_off));
        for change in changes {
            self.log(change);
        }
        for relay in silent_relays {
            event!(Info, "relay_silent", relay = relay);
        }
        if has_faults || is_cut_off {
            self.lost.send_replace(());
        }
        checks
    }

    fn log(&self, change: PathChange) {
        let endpoint_of = |address: SocketAddr| {
            let contacts = self.contacts.lock();
            let contact = contacts.get(&address);
            contact.map(|contact| contact.destination.endpoint.clone()).unwrap_or_default()
        };
        match change {
            PathChange::Doubted(address, doubt) => event!(
                Info,
                "path_doubted",
                endpoint = endpoint_of(address),
                address = address,
                why = format!("{doubt:?}")
            ),
            PathChange::Lost(address, doubt) => {
                self.pool.close_direct(address);
                event!(
                    Warn,
                    "path_lost",
                    endpoint = endpoint_of(address),
                    address = address,
                    why = format!("{doubt:?}")
                );
            }
            PathChange::Restored(address) => {
                event!(Info, "path_restored", endpoint = endpoint_of(address), address = address);
            }
            PathChange::CutOff => {
                let has_relay = self.relays.lock().list.has_usable(self.clock.now());
                event!(Warn, "cut_off_from_endpoints", has_relay = has_relay);
            }
            PathChange::Reconnected(why) => {
                event!(Info, "reconnected_to_endpoints", why = format!("{why:?}"));
            }
            PathChange::TunnelsSilent => {
                let has_relay = self.relays.lock().list.has_usable(self.clock.now());
                event!(Warn, "tunnels_silent", has_relay = has_relay);
            }
            PathChange::TunnelsUsable => event!(Info, "tunnels_usable"),
        }
    }

    /// Opens a connection to an endpoint and waits whether it is closed within `wait`.
    pub async fn probe(&self, to: &Destination, wait: Millis) -> Probe {
        let probe = self.pool.probe(to.address, wait).await;
        self.record_probe(to, probe);
        probe
    }

    /// Records what a new connection to an endpoint has shown of its path.
    pub(super) fn record_probe(&self, to: &Destination, probe: Probe) {
        let (now, mut paths) = (self.clock.now(), self.paths.lock());
        match probe {
            Probe::Open => paths.record_connected(now, to.address),
            Probe::Closed => paths.record_reset(now, to.address),
            Probe::Refused => paths.record_connect_failed(now, to.address, true),
            Probe::Failed => paths.record_connect_failed(now, to.address, false),
        }
    }

    /// Connects to an endpoint that is silent or was unreachable, and if that fails, asks another
    /// entry instance whether it reaches it.
    async fn check(self: Arc<Self>, address: SocketAddr) {
        let destination = {
            let contacts = self.contacts.lock();
            contacts.get(&address).map(|contact| contact.destination.clone())
        };
        let Some(to) = destination else { return };
        let mut probe = self.probe(&to, CLOSE_TIME).await;
        if probe == Probe::Failed {
            probe = self.probe(&to, CLOSE_TIME).await;
        }
        if probe != Probe::Open {
            self.open_unused_tunnel(&to).await;
        }
    }

    /// Opens a tunnel to an endpoint without a request.
    async fn check_tunnel(self: Arc<Self>, address: SocketAddr) {
        let destination = {
            let contacts = self.contacts.lock();
            contacts.get(&address).map(|contact| contact.destination.clone())
        };
        if let Some(to) = destination {
            self.open_unused_tunnel(&to).await;
        }
    }

    async fn open_unused_tunnel(self: &Arc<Self>, to: &Destination) {
        let now = self.clock.now();
        if !self.paths.lock().may_tunnel(now, to.address) {
            return;
        }
        let relays = self.relays.lock().list.check_candidates(now, &to.endpoint, MAX_RELAYS);
        let mut is_unreached = false;
        for offer in relays {
            match self.clone().connect_tunnel(to.clone(), offer).await {
                Ok((connection, _)) => return self.pool.keep_unused(connection),
                Err(failure) => is_unreached |= failure == TunnelFailure::Endpoint,
            }
        }
        if is_unreached {
            self.paths.lock().record_no_tunnel(self.clock.now(), to.address);
        }
    }
}
