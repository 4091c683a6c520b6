//! Starts and stops a control instance: its log, background tasks and servers.

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
    Ack, EntryStatusRequest, EntryStatusSync, Hello, QuorumSend, ReadIndex, ReadIndexReply, Submit,
};
use crate::settings_pieces::{self, SettingsPieces};
use crate::shared::Shared;
use crate::{api, feed, origins, rollouts, submit};

/// Limit for the body of a request. The library's default of 256 kB is exceeded by the accounts of
/// a large team.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Longest time a stop waits for calls that need the log. Watches are not waited for; their callers
/// continue at another instance.
const STOP_TIMEOUT: Millis = Millis(5000);

/// Time the library waits for remaining connections after that.
const SHUTDOWN_TIMEOUT: ntex::time::Seconds = ntex::time::Seconds(1);

/// Interval between checks whether calls are still in flight during a stop.
const STOP_CHECK_INTERVAL: Millis = Millis(20);

/// Extensions that a program adds to a control instance.
#[derive(Clone)]
pub struct Extension {
    /// Adds routes to the HTTP server.
    pub routes: fn(&mut ServiceConfig),
    /// The platform to which the leader reports usage and from which it orders endpoints, if any.
    pub platform: Option<Arc<dyn Platform>>,
    /// Configures the reports and orders, and their intervals.
    pub duty: DutyCfg,
}

/// A running control instance.
#[derive(Debug)]
pub struct Control {
    /// Address of the HTTP API for operators and endpoints.
    pub address: SocketAddr,
    /// Address for calls of peers and entry instances.
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
    /// Opens the data folder, recovers the log and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if the folder or an address can't be used.
    pub fn start(cfg: ControlCfg) -> Result<Self> {
        Self::start_on(cfg, real_disk())
    }

    /// Starts on a disk that the caller provides.
    ///
    /// # Errors
    ///
    /// Fails if the disk or an address can't be used.
    pub fn start_on(cfg: ControlCfg, open_disk: OpenDisk) -> Result<Self> {
        Self::start_with(cfg, open_disk, Extension::default())
    }

    /// Starts with the extensions of a program.
    ///
    /// # Errors
    ///
    /// Fails if the disk or an address can't be used.
    pub fn start_with(cfg: ControlCfg, open_disk: OpenDisk, extension: Extension) -> Result<Self> {
        let listener = http::bind(cfg.listen)?;
        let peer_listener = http::bind(cfg.listen_peer)?;
        let metrics_listener = cfg.listen_metrics.map(http::bind).transpose()?;
        let address = listener.local_addr()?;
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let shared = match build_shared(cfg, open_disk, runtime.handle().clone(), address) {
            Ok(shared) => Arc::new(shared),
            Err(err) => {
                // Dropping the runtime would block, which panics if the caller is inside another
                // runtime.
                runtime.shutdown_background();
                return Err(err);
            }
        };
        let peers = {
            let _guard = runtime.enter();
            peer_server(&shared).start(peer_listener)?
        };
        runtime.spawn(hello::run(shared.clone()));
        runtime.spawn(entry_status::calls::push_to_peers(shared.clone()));
        runtime.spawn(link::calls::run(shared.clone()));
        runtime.spawn(settings_pieces::run(shared.clone()));
        runtime.spawn(origins::follow_record(shared.clone()));
        runtime.spawn(origins::run(shared.clone()));
        if let Some(bounds) = shared.cfg.rollouts {
            runtime.spawn(rollouts::driver::run(shared.clone(), bounds));
        }
        if let Some(platform) = extension.platform {
            runtime.spawn(duty::run(shared.clone(), platform, extension.duty));
        }
        let name = shared.cfg.name.clone();
        if let Some(listener) = metrics_listener {
            runtime.spawn(serve_metrics(shared.metrics.clone(), listener));
        }
        let server = serve_api(shared.clone(), listener, extension.routes)?;
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

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        event!(Info, "seeds_changed", seeds = seeds.len());
        self.shared.directory.set_seeds(seeds);
    }

    /// Stops the instance. Everything acknowledged is synced on disk.
    pub async fn stop(self) {
        self.server.pause().await;
        // The library's graceful stop waits for no call if the server ever had no connections. A
        // change in flight would then be made, but its connection closed before the operator gets
        // the reply.
        let end = self.shared.clock.now() + STOP_TIMEOUT;
        while self.shared.in_flight.load(Ordering::Relaxed) > 0 && self.shared.clock.now() < end {
            tokio::time::sleep(STOP_CHECK_INTERVAL.into()).await;
        }
        // Not earlier: through this server the leader learns that other replicas have a change.
        self.peers.stop();
        self.server.stop(true).await;
        self.shared.log.stop().await;
        // Not dropped, as in a start that fails.
        self.runtime.shutdown_background();
    }
}

fn build_shared(
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
    let directory = if cfg.seeds.is_none() { directory.into_fixed() } else { directory };
    directory.set_seeds(cfg.seeds.iter().flat_map(|seeds| seeds.peers.clone()).collect());
    for Voter { name, domain, address } in cfg.voters.clone() {
        directory.add(ControlInfo { name, domain, peer: address, address });
    }
    let mut driver = Driver::new(&cfg, open_disk, clock, peers, metrics.clone());
    driver.open()?;
    let log = driver.start()?;
    let entry_status = EntryStatusTable::default();
    let change_lock = tokio::sync::Mutex::new(());
    let document_lock = Arc::default();
    let link = Link::new(&cfg);
    let in_flight = AtomicUsize::new(0);
    let settings_pieces = SettingsPieces::new(log.clone(), metrics.clone());
    Ok(Shared {
        cfg,
        clock,
        log,
        entry_status,
        directory,
        link,
        settings_pieces,
        metrics,
        change_lock,
        document_lock,
        runtime,
        in_flight,
    })
}

fn peer_server(shared: &Arc<Shared>) -> PeerServerBuilder {
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
    let own = shared.clone();
    peers.answer(move |call| link::calls::confirm_versions(own.clone(), call));
    let settings_pieces = shared.settings_pieces.clone();
    peers.answer(move |request| {
        let settings_pieces = settings_pieces.clone();
        async move { Ok(settings_pieces.answer(request).await) }
    });
    let own = shared.clone();
    peers.answer(move |sync| {
        let reply = own.link.merge_sync(own.clock.now(), sync);
        async move { Ok(reply) }
    });
    let own = shared.clone();
    peers.answer(move |_: EntryStatusRequest| {
        let status = own.entry_status.own_entries(own.clock.now());
        async move { Ok(status) }
    });
    let own = shared.clone();
    peers.answer(move |sync: EntryStatusSync| {
        own.entry_status.merge(own.clock.now(), &sync);
        async { Ok(Ack {}) }
    });
    peers
}

/// Serves only the metrics, on an address for readers other than operators.
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

fn serve_api(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
    extra_routes: fn(&mut ServiceConfig),
) -> Result<ntex::server::Server> {
    let (tx, rx) = std::sync::mpsc::channel();
    http::spawn_system("control", move || async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(shared.clone())
                .state(PayloadConfig::new(MAX_BODY_BYTES))
                .configure(api::routes)
                .configure(extra_routes)
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .listen(listener)?
        .run();
        let _ = tx.send(server.clone());
        server.await
    })?;
    Ok(rx.recv()?)
}
