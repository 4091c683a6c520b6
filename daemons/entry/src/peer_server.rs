//! Server for the calls of peers, and the start of the tasks that call peers.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use sill_net::{PeerServer, PeerServerBuilder};

use crate::copy::SettingsCopy;
use crate::daemon::Shared;
use crate::{feed, limits, members, serve};

/// Starts the server for peers and the tasks that fetch settings and membership from them. Must be
/// called inside a tokio runtime.
///
/// # Errors
///
/// Fails when the server cannot use the listener.
pub fn start(
    shared: &Arc<Shared>,
    listener: TcpListener,
    copy: Option<SettingsCopy>,
) -> io::Result<PeerServer> {
    let server = build_server(shared).start(listener)?;
    tokio::spawn(feed::run(shared.clone(), copy));
    tokio::spawn(members::run(shared.clone()));
    Ok(server)
}

/// Registers a handler for each call that peers may make.
fn build_server(shared: &Arc<Shared>) -> PeerServerBuilder {
    let mut server = PeerServerBuilder::new(shared.cfg.cluster_key.clone());
    let feed_shared = shared.clone();
    server.answer(move |poll| feed::answer(feed_shared.clone(), poll));
    let member_shared = shared.clone();
    server.answer(move |sync| members::answer(member_shared.clone(), sync));
    let limit_shared = shared.clone();
    server.answer(move |exchange| limits::answer(limit_shared.clone(), exchange));
    serve::calls::register(&mut server, shared);
    server
}
