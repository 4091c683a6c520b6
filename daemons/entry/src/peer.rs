//! What an entry instance answers to its peers.

use std::sync::Arc;

use sill_net::PeerServerBuilder;

use crate::daemon::Shared;
use crate::{feed, limits, members, serve};

/// Makes the server with all calls that peers may make.
pub fn server(shared: &Arc<Shared>) -> PeerServerBuilder {
    let mut server = PeerServerBuilder::new(shared.cfg.cluster_key.clone());
    let feeding = shared.clone();
    server.answer(move |poll| feed::answer(feeding.clone(), poll));
    let asked = shared.clone();
    server.answer(move |sync| members::answer(asked.clone(), sync));
    let told = shared.clone();
    server.answer(move |exchange| limits::answer(told.clone(), exchange));
    serve::calls::register(&mut server, shared);
    server
}
