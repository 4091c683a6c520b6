//! Other entry instances of the failure domain, as homes of keys and takers of requests.

use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_net::{PeerClient, PeerError};
use sill_wire::Call;
use sill_wire::claim::{ClaimKey, ClaimOwner};

use crate::daemon::Shared;

/// How long a peer has to answer; calls that wait for news wait less than that.
const TIMEOUT: Millis = Millis(7_000);

/// Clients kept; beyond, all are made anew.
const MAX_CLIENTS: usize = 1024;

/// Clients of peers by address.
#[derive(Debug, Default)]
pub struct Peers(Mutex<Map<Name, PeerClient>>);

/// Where something is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Home {
    /// At this instance.
    Here,
    /// At the peer with this address.
    At(Name),
}

/// Returns the home of a key among the live entry instances of the domain.
pub fn home(app: &Shared, key: &ClaimKey) -> Home {
    let mut members = candidates(app);
    members.push(app.peer_address.clone());
    members.sort_unstable();
    match sill_flight::home::home(key, &members) {
        Some(address) if *address != app.peer_address => Home::At(address.clone()),
        _ => Home::Here,
    }
}

/// Returns the peer addresses of the other entry instances of the domain.
pub fn candidates(app: &Shared) -> Vec<Name> {
    app.cfg.peers.iter().map(|address| address.to_string().into()).collect()
}

/// Returns where the owner of a claim is reached, if it lives still.
pub fn find_owner(app: &Shared, owner: &ClaimOwner) -> Option<Home> {
    let here = owner.entry == app.cfg.name && owner.incarnation == app.incarnation;
    here.then_some(Home::Here)
}

/// Calls a peer, from any thread.
///
/// # Errors
///
/// Fails when the peer can't be reached or refuses.
pub async fn call<C>(app: &Arc<Shared>, address: &Name, call: C) -> Result<C::Reply, PeerError>
where
    C: Call + Sync,
{
    let client = client(app, address)?;
    // The connections belong to the runtime of the peers' server, not to the caller's thread.
    let called = app.runtime.spawn(async move { client.call(&call).await });
    called.await.unwrap_or_else(|err| Err(PeerError::Unreachable(err.to_string())))
}

fn client(app: &Shared, address: &Name) -> Result<PeerClient, PeerError> {
    let mut clients = app.peers.0.lock();
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
