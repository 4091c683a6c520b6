//! Starts the parts of a control instance and holds them together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ::http::StatusCode;
use eyre::Result;
use ntex::web::types::PayloadConfig;
use ntex::web::{App, HttpServer, ServiceConfig};
use sill_base::{Clock, Millis, event};
use sill_net::h1::{Page, serve_pages};
use sill_net::{PeerServer, PeerServerBuilder, http};
use sill_quorum::Event;
use sill_wire::link::ControlInfo;
use tokio::runtime::{Handle, Runtime};

use crate::cfg::{ControlCfg, Voter};
use crate::directory::Directory;
use crate::duty::{self, DutyCfg, Platform};
use crate::entry_status::{self, EntryStatusTable};
use crate::link::{self, Link};
use crate::log::disk::{OpenDisk, real_disk};
use crate::log::driver::Driver;
use crate::log::hello;
use crate::log::peers::Peers;
use crate::metrics::Metrics;
use crate::rpc::{
    Ack, Hello, QuorumSend, ReadIndex, ReadIndexReply, RunningAsk, RunningSync, Submit,
};
use crate::served::{self, Served};
use crate::shared::Shared;
use crate::{api, feed, submit};

/// The largest settings document, in bytes; the library's own limit is 256 kB, which the accounts of
/// a large team pass.
const MAX_BODY: usize = 8 << 20;

/// How long a stop waits for calls that need the log; a watch is not waited for, its caller goes on
/// elsewhere.
const STOP: Millis = Millis(5000);

/// How long the library waits for what is left then.
const FLUSH: ntex::time::Seconds = ntex::time::Seconds(1);

/// How often a stop looks whether any is left.
const LOOK: Millis = Millis(20);

/// What a program adds to a control instance.
#[derive(Clone)]
pub struct Extension {
    /// Further routes of its HTTP server.
    pub routes: fn(&mut ServiceConfig),
    /// The platform that the leader reports to and orders from.
    pub platform: Option<Arc<dyn Platform>>,
    /// What it reports and orders, and how often.
    pub duty: DutyCfg,
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
    shared: Arc<Shared>,
    runtime: Runtime,
}

impl Default for Extension {
    fn default() -> Self {
        Self { routes: |_| {}, platform: None, duty: DutyCfg::default() }
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
        Self::start_with(cfg, open_disk, Extension::default())
    }

    /// Starts with what a program adds.
    ///
    /// # Errors
    ///
    /// Fails when the disk or an address can't be used.
    pub fn start_with(cfg: ControlCfg, open_disk: OpenDisk, extension: Extension) -> Result<Self> {
        let listener = http::bind(cfg.listen)?;
        let peer_listener = http::bind(cfg.listen_peer)?;
        let address = listener.local_addr()?;
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let shared = Arc::new(share(cfg, open_disk, runtime.handle().clone(), address)?);
        let peers = {
            let _guard = runtime.enter();
            answers(&shared).start(peer_listener)?
        };
        runtime.spawn(hello::run(shared.clone()));
        runtime.spawn(entry_status::calls::push_to_peers(shared.clone()));
        runtime.spawn(link::calls::run(shared.clone()));
        runtime.spawn(served::run(shared.clone()));
        if let Some(platform) = extension.platform {
            runtime.spawn(duty::run(shared.clone(), platform, extension.duty));
        }
        let name = shared.cfg.name.clone();
        if let Some(address) = shared.cfg.listen_metrics {
            runtime.spawn(serve_metrics(shared.metrics.clone(), http::bind(address)?));
        }
        let server = serve(shared.clone(), listener, extension.routes)?;
        let peer_address = peers.address();
        event!(
            Info,
            "control_started",
            name = name,
            address = address,
            peer_address = peer_address,
            commit = shared.log.status().commit,
            ms = shared.clock.now()
        );
        Ok(Self { address, peer_address, server, peers, shared, runtime })
    }

    /// Takes in other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        event!(Info, "seeds_changed", seeds = seeds.len());
        self.shared.directory.set_seeds(seeds);
    }

    /// Stops it; what was acknowledged lies synced on disk.
    pub async fn stop(self) {
        self.server.pause().await;
        // The library's own graceful stop waits for nobody on a server that was ever without connections.
        // A change in flight would be made, and its call break off before the operator is told.
        let end = self.shared.clock.now() + STOP;
        while self.shared.waiting.load(Ordering::Relaxed) > 0 && self.shared.clock.now() < end {
            tokio::time::sleep(LOOK.into()).await;
        }
        // Not before: a leader hears through it that others have a change.
        self.peers.stop();
        self.server.stop(true).await;
        self.shared.log.stop();
        // Dropping it would block, which a caller inside another runtime may not do.
        self.runtime.shutdown_background();
    }
}

fn share(
    cfg: ControlCfg,
    open_disk: OpenDisk,
    runtime: Handle,
    address: SocketAddr,
) -> Result<Shared> {
    let metrics = Arc::new(Metrics::new()?);
    let clock = Clock::start();
    let peers = Peers::default();
    let own = ControlInfo {
        name: cfg.name.clone(),
        domain: cfg.domain.clone(),
        peer: cfg.listen_peer,
        address,
    };
    let directory = Directory::new(own, cfg.cluster_key.clone(), runtime.clone(), peers.clone());
    let directory = if cfg.seeds.is_none() { directory.fixed() } else { directory };
    directory.set_seeds(cfg.seeds.iter().flat_map(|seeds| seeds.peers.clone()).collect());
    for Voter { name, domain, address } in cfg.voters.clone() {
        directory.add(ControlInfo { name, domain, peer: address, address });
    }
    let mut driver = Driver::new(&cfg, open_disk, clock, peers, metrics.clone());
    driver.open()?;
    let log = driver.start()?;
    let running = EntryStatusTable::default();
    let change_turn = tokio::sync::Mutex::new(());
    let reading = Arc::default();
    let link = Link::new(&cfg);
    let waiting = AtomicUsize::new(0);
    let served = Served::new(log.clone(), metrics.clone());
    Ok(Shared {
        cfg,
        clock,
        log,
        running,
        directory,
        link,
        served,
        metrics,
        change_turn,
        reading,
        runtime,
        waiting,
    })
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
        async move { Ok(submit::submit_as_leader(&own, &ask).await) }
    });
    let own = shared.clone();
    peers.answer(move |_: ReadIndex| {
        let index = submit::read_index(&own);
        async move { Ok(ReadIndexReply { index }) }
    });
    let own = shared.clone();
    peers.answer(move |poll| link::calls::poll(own.clone(), poll));
    let served = shared.served.clone();
    peers.answer(move |ask| {
        let served = served.clone();
        async move { Ok(served.answer(ask).await) }
    });
    let own = shared.clone();
    peers.answer(move |sync| {
        let reply = own.link.synced(own.clock.now(), sync);
        async move { Ok(reply) }
    });
    let own = shared.clone();
    peers.answer(move |_: RunningAsk| {
        let known = own.running.own_entries(own.clock.now());
        async move { Ok(known) }
    });
    let own = shared.clone();
    peers.answer(move |sync: RunningSync| {
        own.running.merge(own.clock.now(), &sync);
        async { Ok(Ack {}) }
    });
    peers
}

/// Serves metrics alone, where they are read by others than operators.
async fn serve_metrics(metrics: Arc<Metrics>, listener: std::net::TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return event!(Error, "metrics_not_served", error = err),
    };
    let page = move |path: &str| match (path, metrics.text()) {
        ("/metrics", Ok(text)) => Page::new(StatusCode::OK, text),
        ("/metrics", Err(err)) => Page::new(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        _ => Page::new(StatusCode::NOT_FOUND, ""),
    };
    serve_pages(listener, page).await;
}

fn serve(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
    further: fn(&mut ServiceConfig),
) -> Result<ntex::server::Server> {
    let (tx, rx) = std::sync::mpsc::channel();
    http::spawn_system("control", move || async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(shared.clone())
                .state(PayloadConfig::new(MAX_BODY))
                .configure(api::routes)
                .configure(further)
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(FLUSH)
        .listen(listener)?
        .run();
        let _ = tx.send(server.clone());
        server.await
    })?;
    Ok(rx.recv()?)
}
