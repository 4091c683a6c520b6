//! The control instances that are known, and the ways to them.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};
use sill_base::{Map, Millis, Name, Secret, event};
use sill_net::PeerClient;
use sill_quorum::ReplicaId;
use sill_quorum::standby::Presence;
use sill_wire::link::ControlInfo;
use tokio::runtime::Handle;

use crate::log::peers::Peers;

/// How long a call to another control instance may take.
pub const CALL_TIMEOUT: Millis = Millis(1000);

/// How long a call may take that waits for a commit there.
const COMMIT_CALL_TIMEOUT: Millis = Millis(3000);

/// Another control instance.
#[derive(Debug)]
pub struct ControlPeer {
    /// Where it is.
    pub place: ControlInfo,
    /// For calls that are answered at once.
    pub client: PeerClient,
    /// For calls that wait for a commit.
    pub commit_client: PeerClient,
    presence: Mutex<Option<Presence>>,
}

/// All control instances but the own one.
#[derive(Debug)]
pub struct Directory {
    own: ControlInfo,
    key: Secret,
    runtime: Handle,
    log_peers: Peers,
    peers: RwLock<Map<Name, Arc<ControlPeer>>>,
    seeds: RwLock<Vec<SocketAddr>>,
    /// Whether all are known by their flags; where they say they are then counts for nothing, since
    /// others may reach them by another way.
    is_fixed: bool,
}

impl Directory {
    /// Makes an empty directory.
    pub fn new(own: ControlInfo, key: Secret, runtime: Handle, log_peers: Peers) -> Self {
        let (peers, seeds) = (RwLock::default(), RwLock::default());
        Self { own, key, runtime, log_peers, peers, seeds, is_fixed: false }
    }

    /// Keeps those that are known, and takes in no others.
    pub fn into_fixed(self) -> Self {
        Self { is_fixed: true, ..self }
    }

    /// Takes in where some control instances may be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.write() = seeds;
    }

    /// Returns where some control instances may be found.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.read().clone()
    }

    /// Returns where this instance is.
    pub fn own(&self) -> &ControlInfo {
        &self.own
    }

    /// Makes a client for an address whose instance is not known yet.
    pub fn client(&self, address: SocketAddr) -> PeerClient {
        PeerClient::new(address, &self.key, CALL_TIMEOUT)
    }

    /// Takes in where a control instance says it is, unless that is known for good.
    pub fn add_discovered(&self, place: ControlInfo) {
        if !self.is_fixed {
            self.add(place);
        }
    }

    /// Takes in where a control instance is.
    pub fn add(&self, place: ControlInfo) {
        if place.name == self.own.name {
            return;
        }
        let existing = self.peers.read().get(&place.name).cloned();
        if existing.as_ref().is_some_and(|peer| peer.place == place) {
            return;
        }
        if existing.as_ref().is_none_or(|peer| peer.place.peer != place.peer) {
            event!(Info, "control_found", name = place.name, peer = place.peer);
            let (name, address) = (place.name.clone(), place.peer);
            self.log_peers.add(&self.runtime, name, address, &self.key);
        }
        let presence = existing.and_then(|peer| peer.presence.lock().clone());
        let peer = ControlPeer {
            client: PeerClient::new(place.peer, &self.key, CALL_TIMEOUT),
            commit_client: PeerClient::new(place.peer, &self.key, COMMIT_CALL_TIMEOUT),
            presence: Mutex::new(presence),
            place,
        };
        self.peers.write().insert(peer.place.name.clone(), Arc::new(peer));
    }

    /// Takes in that a control instance made itself heard.
    pub fn record_presence(&self, now: Millis, place: ControlInfo, id: ReplicaId) {
        let name = place.name.clone();
        self.add_discovered(place);
        if let Some(peer) = self.get(&name) {
            *peer.presence.lock() =
                Some(Presence { id, domain: peer.place.domain.clone(), last_seen: now });
        }
    }

    /// Returns a control instance by name.
    pub fn get(&self, name: &Name) -> Option<Arc<ControlPeer>> {
        self.peers.read().get(name).cloned()
    }

    /// Returns all others.
    pub fn peers(&self) -> Vec<Arc<ControlPeer>> {
        self.peers.read().values().cloned().collect()
    }

    /// Returns where all are, the own one included.
    pub fn places(&self) -> Vec<ControlInfo> {
        let others = self.peers.read();
        let others = others.values().map(|peer| peer.place.clone());
        others.chain([self.own.clone()]).collect()
    }

    /// Returns whether no other is known.
    pub fn is_alone(&self) -> bool {
        self.peers.read().is_empty()
    }

    /// Returns when each other made itself heard last.
    pub fn presences(&self) -> Vec<Presence> {
        let peers = self.peers.read();
        peers.values().filter_map(|peer| peer.presence.lock().clone()).collect()
    }
}
