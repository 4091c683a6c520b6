//! Starts the parts of a control instance and holds them together.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use ntex::web::{App, HttpServer};
use parking_lot::Mutex;
use sill_base::{Clock, event};
use sill_net::{PeerServer, PeerServerBuilder, http};
use sill_wire::control::Revision;
use tokio::runtime::Runtime;
use tokio::sync::watch;

use crate::api;
use crate::cfg::ControlCfg;
use crate::feed;
use crate::state::State;

/// What the parts of a control instance share.
#[derive(Debug)]
pub struct Shared {
    /// Its settings.
    pub cfg: ControlCfg,
    /// Its clock.
    pub clock: Clock,
    /// Its state.
    pub state: Mutex<State>,
    /// The newest revision, for those who wait for one.
    pub newest: watch::Sender<Revision>,
}

/// A running control instance.
#[derive(Debug)]
pub struct Control {
    /// Where operators reach it.
    pub address: SocketAddr,
    /// Where our own processes reach it.
    pub peer_address: SocketAddr,
    server: ntex::server::Server,
    peers: PeerServer,
    runtime: Runtime,
}

impl Control {
    /// Reads the data folder and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails when the folder or an address can't be used.
    pub fn start(cfg: ControlCfg) -> Result<Self> {
        let listener = http::bind(cfg.listen)?;
        let peer_listener = http::bind(cfg.listen_peer)?;
        let address = listener.local_addr()?;
        let state = State::open(&cfg.data)?;
        let (newest, _) = watch::channel(state.revision());
        let shared =
            Arc::new(Shared { clock: Clock::start(), state: Mutex::new(state), newest, cfg });

        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let mut peers = PeerServerBuilder::new(shared.cfg.cluster_key.clone());
        let feeding = shared.clone();
        peers.answer(move |poll| feed::poll(feeding.clone(), poll));
        let peers = {
            let _guard = runtime.enter();
            peers.start(peer_listener)?
        };

        let name = shared.cfg.name.clone();
        let (tx, rx) = std::sync::mpsc::channel();
        http::spawn_system("control", move || async move {
            let server = HttpServer::new(async move || {
                App::new().state(shared.clone()).configure(api::routes)
            })
            .workers(1)
            .disable_signals()
            .listen(listener)?
            .run();
            let _ = tx.send(server.clone());
            server.await
        })?;
        let server = rx.recv()?;
        let peer_address = peers.address();
        event!(
            Info,
            "control_started",
            name = name,
            address = address,
            peer_address = peer_address
        );
        Ok(Self { address, peer_address, server, peers, runtime })
    }

    /// Stops it; what was acknowledged lies synced on disk.
    pub async fn stop(self) {
        self.peers.stop();
        self.server.stop(true).await;
        // Dropping it would block, which a caller inside another runtime may not do.
        self.runtime.shutdown_background();
    }
}
