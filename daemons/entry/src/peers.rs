//! Calls to other entry instances of the failure domain, as homes of keys and targets of handoffs.

use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_net::{PeerClient, PeerError};
use sill_wire::Call;
use sill_wire::claim::{ClaimKey, ClaimOwner};
use sill_wire::member::EntryInfo;

use crate::daemon::Shared;

/// How long a peer has to answer. Calls that wait for an update wait less than that.
const TIMEOUT: Millis = Millis(7_000);

/// Most peer clients kept; when there are more, all are dropped and created again on use.
const MAX_CLIENTS: usize = 1024;

/// Peer clients by address, which all threads share.
#[derive(Debug, Default)]
pub struct PeerClients(Mutex<Map<Name, PeerClient>>);

/// Instance that holds the state of a key or of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Home {
    /// This instance.
    Local,
    /// The peer with this address.
    Remote(Name),
}

/// Returns the home of a key among the live entry instances of the domain.
pub fn home(app: &Shared, key: &ClaimKey) -> Home {
    let key = format!("{}\n{}", key.account, key.key);
    match app.members.home_for(&key) {
        Some(info) if info.name != app.cfg.name => Home::Remote(info.peer_address),
        _ => Home::Local,
    }
}

/// Returns the peer addresses of the other entry instances of the domain that are not leaving.
pub fn active_peers(app: &Shared) -> Vec<Name> {
    let peers = app.members.peers_of_domain().into_iter();
    peers.filter(|info| info.leaving.is_none()).map(|info| info.peer_address).collect()
}

/// Returns the instance that owns a claim, or none if that incarnation is no longer live.
pub fn find_owner(app: &Shared, owner: &ClaimOwner) -> Option<Home> {
    if owner.entry == app.cfg.name {
        return (owner.incarnation == app.incarnation).then_some(Home::Local);
    }
    let peers = app.members.peers_of_domain();
    let is_owner =
        |info: &EntryInfo| info.name == owner.entry && info.incarnation == owner.incarnation;
    peers.into_iter().find(is_owner).map(|info| Home::Remote(info.peer_address))
}

/// Calls a peer. May be called from any thread.
///
/// # Errors
///
/// Fails when the address is invalid, or the peer is unreachable or refuses the call.
pub async fn call<C>(app: &Arc<Shared>, address: &Name, call: C) -> Result<C::Reply, PeerError>
where
    C: Call + Sync,
{
    let client = client(app, address)?;
    // Connections belong to the peer server's runtime, not to the caller's thread.
    let task = app.runtime.spawn(async move { client.call(&call).await });
    task.await.unwrap_or_else(|err| Err(PeerError::Unreachable(err.to_string())))
}

fn client(app: &Shared, address: &Name) -> Result<PeerClient, PeerError> {
    let mut clients = app.peer_clients.0.lock();
    if let Some(client) = clients.get(address) {
        return Ok(client.clone());
    }
    if clients.len() > MAX_CLIENTS {
        clients.clear();
    }
    let parsed =
        address.parse().map_err(|_| PeerError::Refused(format!("{address}: no address")))?;
    let client = PeerClient::new(parsed, &app.cfg.cluster_key, TIMEOUT);
    clients.insert(address.clone(), client.clone());
    Ok(client)
}
