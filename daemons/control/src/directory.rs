//! The other control instances: addresses, clients and presence.

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

/// Timeout of a call to another control instance that is answered at once.
pub const CALL_TIMEOUT: Millis = Millis(1000);

/// Timeout of a call that waits for a commit on the called instance.
const COMMIT_CALL_TIMEOUT: Millis = Millis(3000);

/// Another control instance.
#[derive(Debug)]
pub struct ControlPeer {
    /// Its name, failure domain and addresses.
    pub info: ControlInfo,
    /// Client for calls that are answered at once.
    pub client: PeerClient,
    /// Client for calls that wait for a commit.
    pub commit_client: PeerClient,
    presence: Mutex<Option<Presence>>,
}

/// All control instances except this one.
#[derive(Debug)]
pub struct Directory {
    own_info: ControlInfo,
    key: Secret,
    runtime: Handle,
    log_peers: Peers,
    peers: RwLock<Map<Name, Arc<ControlPeer>>>,
    seeds: RwLock<Vec<SocketAddr>>,
    /// Whether the flags name all control instances. The addresses that they announce are then
    /// ignored, since other instances may reach them by other addresses.
    is_fixed: bool,
}

impl Directory {
    /// Creates an empty directory that accepts discovered instances.
    pub fn new(own_info: ControlInfo, key: Secret, runtime: Handle, log_peers: Peers) -> Self {
        let (peers, seeds) = (RwLock::default(), RwLock::default());
        Self { own_info, key, runtime, log_peers, peers, seeds, is_fixed: false }
    }

    /// Makes the directory ignore discovered instances; those passed to [`Self::add`] still count.
    pub fn into_fixed(self) -> Self {
        Self { is_fixed: true, ..self }
    }

    /// Replaces the peer addresses at which other control instances are looked up.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.write() = seeds;
    }

    /// Returns the peer addresses at which other control instances are looked up.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.read().clone()
    }

    /// Returns the name, failure domain and addresses of this instance.
    pub fn own_info(&self) -> &ControlInfo {
        &self.own_info
    }

    /// Creates a client for an address whose instance has not been identified yet.
    pub fn client(&self, address: SocketAddr) -> PeerClient {
        PeerClient::new(address, &self.key, CALL_TIMEOUT)
    }

    /// Adds a control instance or updates its addresses as announced, unless the directory is
    /// fixed.
    pub fn add_discovered(&self, info: ControlInfo) {
        if !self.is_fixed {
            self.add(info);
        }
    }

    /// Adds a control instance or updates its addresses. The own one is ignored.
    pub fn add(&self, info: ControlInfo) {
        if info.name == self.own_info.name {
            return;
        }
        let existing = self.peers.read().get(&info.name).cloned();
        if existing.as_ref().is_some_and(|peer| peer.info == info) {
            return;
        }
        if existing.as_ref().is_none_or(|peer| peer.info.peer != info.peer) {
            event!(Info, "control_found", name = info.name, peer = info.peer);
            let (name, address) = (info.name.clone(), info.peer);
            self.log_peers.add(&self.runtime, name, address, &self.key);
        }
        let presence = existing.and_then(|peer| peer.presence.lock().clone());
        let peer = ControlPeer {
            client: PeerClient::new(info.peer, &self.key, CALL_TIMEOUT),
            commit_client: PeerClient::new(info.peer, &self.key, COMMIT_CALL_TIMEOUT),
            presence: Mutex::new(presence),
            info,
        };
        self.peers.write().insert(peer.info.name.clone(), Arc::new(peer));
    }

    /// Records that a control instance sent a message at a point in time.
    pub fn record_presence(&self, now: Millis, info: ControlInfo, id: ReplicaId) {
        let name = info.name.clone();
        self.add_discovered(info);
        if let Some(peer) = self.get(&name) {
            *peer.presence.lock() =
                Some(Presence { id, domain: peer.info.domain.clone(), last_seen: now });
        }
    }

    /// Returns a control instance by name.
    pub fn get(&self, name: &Name) -> Option<Arc<ControlPeer>> {
        self.peers.read().get(name).cloned()
    }

    /// Returns all control instances except this one.
    pub fn peers(&self) -> Vec<Arc<ControlPeer>> {
        self.peers.read().values().cloned().collect()
    }

    /// Returns names, failure domains and addresses of all control instances, this one included.
    pub fn infos(&self) -> Vec<ControlInfo> {
        let others = self.peers.read();
        let others = others.values().map(|peer| peer.info.clone());
        others.chain([self.own_info.clone()]).collect()
    }

    /// Returns whether the directory has no other control instance.
    pub fn is_alone(&self) -> bool {
        self.peers.read().is_empty()
    }

    /// Returns the last presence of each other control instance that has sent one.
    pub fn presences(&self) -> Vec<Presence> {
        let peers = self.peers.read();
        peers.values().filter_map(|peer| peer.presence.lock().clone()).collect()
    }
}
