//! Starts the parts of a control instance and holds them together.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, eyre};
use ntex::web::types::PayloadConfig;
use ntex::web::{App, HttpServer};
use sill_base::{Clock, Millis, Name, event};
use sill_net::{PeerClient, PeerServer, PeerServerBuilder, http};
use sill_quorum::{Event, ReplicaId};
use tokio::runtime::{Handle, Runtime};

use crate::cfg::ControlCfg;
use crate::log::disk::{OpenDisk, real_disk};
use crate::log::driver::Driver;
use crate::log::peers::Peers;
use crate::log::{LogHandle, hello};
use crate::metrics::Metrics;
use crate::rpc::{Ack, Hello, QuorumSend, ReadIndex, ReadIndexReply, RunningSync, Submit};
use crate::running::{self, Running};
use crate::{api, feed, submit};

/// How long a call to another control instance may take.
const QUICK: Millis = Millis(1000);

/// How long a call may take that waits for a commit there.
const PATIENT: Millis = Millis(3000);

/// The largest settings document, in bytes; the library's own limit is 256 kB, which the accounts of
/// a large team pass.
const MAX_BODY: usize = 8 << 20;

/// How long a stop waits for calls; a watch waits for longer, and its caller goes on elsewhere.
const STOP: ntex::time::Seconds = ntex::time::Seconds(5);

/// What the parts of a control instance share.
#[derive(Debug)]
pub struct Shared {
    /// Its settings.
    pub cfg: ControlCfg,
    /// Its clock.
    pub clock: Clock,
    /// Its id in the replicated log.
    pub id: ReplicaId,
    /// The replicated log.
    pub log: LogHandle,
    /// What entry instances run.
    pub running: Running,
    /// The other control instances.
    pub controls: Vec<ControlPeer>,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
    /// Held while a change is checked and committed here.
    pub change_turn: tokio::sync::Mutex<()>,
    /// Where its tasks run.
    pub runtime: Handle,
}

/// Another control instance.
#[derive(Debug)]
pub struct ControlPeer {
    /// Its name.
    pub name: Name,
    /// For calls that are answered at once.
    pub quick: PeerClient,
    /// For calls that wait for a commit.
    pub patient: PeerClient,
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
    log: LogHandle,
    runtime: Runtime,
}

impl Shared {
    /// Returns another control instance by name.
    pub fn control(&self, name: &Name) -> Option<&ControlPeer> {
        self.controls.iter().find(|peer| peer.name == *name)
    }
}

impl Control {
    /// Reads the data folder and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails when the folder or an address can't be used.
    pub fn start(cfg: ControlCfg) -> Result<Self> {
        Self::start_on(cfg, real_disk())
    }

    /// Starts on a disk of the caller's.
    ///
    /// # Errors
    ///
    /// Fails when the disk or an address can't be used.
    pub fn start_on(cfg: ControlCfg, open_disk: OpenDisk) -> Result<Self> {
        let listener = http::bind(cfg.listen)?;
        let peer_listener = http::bind(cfg.listen_peer)?;
        let address = listener.local_addr()?;
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let shared = Arc::new(share(cfg, open_disk, runtime.handle().clone())?);
        let peers = {
            let _guard = runtime.enter();
            answers(&shared).start(peer_listener)?
        };
        runtime.spawn(hello::run(shared.clone()));
        runtime.spawn(running::pass_on(shared.clone()));
        let (name, log) = (shared.cfg.name.clone(), shared.log.clone());
        let server = serve(shared, listener)?;
        let peer_address = peers.address();
        event!(
            Info,
            "control_started",
            name = name,
            address = address,
            peer_address = peer_address
        );
        Ok(Self { address, peer_address, server, peers, log, runtime })
    }

    /// Stops it; what was acknowledged lies synced on disk.
    pub async fn stop(self) {
        self.peers.stop();
        self.server.stop(true).await;
        self.log.stop();
        // Dropping it would block, which a caller inside another runtime may not do.
        self.runtime.shutdown_background();
    }
}

fn share(cfg: ControlCfg, open_disk: OpenDisk, runtime: Handle) -> Result<Shared> {
    let metrics = Arc::new(Metrics::new()?);
    let clock = Clock::start();
    let key = &cfg.cluster_key;
    let (mut peers, mut controls) = (Peers::default(), Vec::new());
    for voter in cfg.voters.iter().filter(|voter| voter.name != cfg.name) {
        let (name, address) = (voter.name.clone(), voter.address);
        peers.add(&runtime, name.clone(), address, key);
        let quick = PeerClient::new(address, key, QUICK);
        let patient = PeerClient::new(address, key, PATIENT);
        controls.push(ControlPeer { name, quick, patient });
    }
    let mut driver = Driver::new(&cfg, open_disk, clock, peers, metrics.clone());
    driver.open()?;
    let id = driver.id().cloned().ok_or_else(|| eyre!("the data folder is not open"))?;
    let log = driver.start()?;
    let running = Running::default();
    let change_turn = tokio::sync::Mutex::new(());
    Ok(Shared { cfg, clock, id, log, running, controls, metrics, change_turn, runtime })
}

fn answers(shared: &Arc<Shared>) -> PeerServerBuilder {
    let mut peers = PeerServerBuilder::new(shared.cfg.cluster_key.clone());
    let own = shared.clone();
    peers.answer(move |poll| feed::poll(own.clone(), poll));
    let own = shared.clone();
    peers.answer(move |batch| {
        let own = own.clone();
        async move { Ok(submit::claim(own, batch).await) }
    });
    let own = shared.clone();
    peers.answer(move |QuorumSend { messages }| {
        messages.into_iter().for_each(|msg| own.log.event(Event::Receive(msg)));
        async { Ok(Ack {}) }
    });
    let own = shared.clone();
    peers.answer(move |call: Hello| {
        let reply = hello::answer(&own, call);
        async move { Ok(reply) }
    });
    let own = shared.clone();
    peers.answer(move |Submit { ask }| {
        let own = own.clone();
        async move { Ok(submit::lead(&own, &ask).await) }
    });
    let own = shared.clone();
    peers.answer(move |_: ReadIndex| {
        let index = submit::read_index(&own);
        async move { Ok(ReadIndexReply { index }) }
    });
    let own = shared.clone();
    peers.answer(move |sync: RunningSync| {
        own.running.told(own.clock.now(), &sync);
        async { Ok(Ack {}) }
    });
    peers
}

fn serve(shared: Arc<Shared>, listener: std::net::TcpListener) -> Result<ntex::server::Server> {
    let (tx, rx) = std::sync::mpsc::channel();
    http::spawn_system("control", move || async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(shared.clone())
                .state(PayloadConfig::new(MAX_BODY))
                .configure(api::routes)
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(STOP)
        .listen(listener)?
        .run();
        let _ = tx.send(server.clone());
        server.await
    })?;
    Ok(rx.recv()?)
}
