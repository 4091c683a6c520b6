//! Starts the parts of an entry instance and holds them together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use eyre::Result;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use ntex::{SharedCfg, http::HttpServiceConfig};
use sill_base::{Clock, Millis, Name, event};
use sill_net::{PeerServer, client, http};
use sill_wire::Incarnation;
use tokio::runtime::Runtime;

use crate::cfg::EntryCfg;
use crate::copy::SettingsCopy;
use crate::errors::OneShape;
use crate::feed::Feed;
use crate::limits::Limits;
use crate::members::Membership;
use crate::metrics::Metrics;
use crate::routing::Routing;
use crate::settings::Settings;
use crate::{api, feed, peer};

/// Connections that a worker holds to endpoints.
const UPSTREAM_CONNECTIONS: usize = 16_384;

/// What the parts of an entry instance share.
#[derive(Debug)]
pub struct Shared {
    /// Its settings of the process.
    pub cfg: EntryCfg,
    /// Its clock.
    pub clock: Clock,
    /// Its life.
    pub incarnation: Incarnation,
    /// The settings in force.
    pub settings: Settings,
    /// How the settings get here, and on to peers.
    pub feed: Feed,
    /// Entry instances and endpoints.
    pub members: Membership,
    /// Endpoints, and the choice among them.
    pub routing: Routing,
    /// Limits of client accounts.
    pub limits: Limits,
    /// Its counters.
    pub metrics: Metrics,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    next_request: AtomicU64,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Where callers and endpoints reach it.
    pub address: SocketAddr,
    /// Where our own processes reach it.
    pub peer_address: SocketAddr,
    shared: Arc<Shared>,
    server: ntex::server::Server,
    peers: PeerServer,
    runtime: Runtime,
}

impl Shared {
    /// Makes the state of an instance that listens at these addresses.
    pub fn new(
        cfg: EntryCfg,
        settings: Settings,
        address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Self {
        let clock = Clock::start();
        let incarnation = Incarnation(Millis::wall().0);
        Self {
            clock,
            incarnation,
            settings,
            feed: Feed::default(),
            members: Membership::new(&cfg, clock, incarnation, address, peer_address),
            routing: Routing::new(&cfg),
            limits: Limits::new(&cfg),
            metrics: Metrics::new(),
            stopping: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            cfg,
        }
    }

    /// Returns a name for a new request, unique over all instances and their lives.
    pub fn request_id(&self) -> Name {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.cfg.name, self.incarnation.0).into()
    }

    /// Returns whether a request would be served.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.settings.revision().0 > 0
    }
}

impl Entry {
    /// Starts to serve.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be used.
    pub fn start(cfg: EntryCfg) -> Result<Self> {
        let listener = http::bind(cfg.listen)?;
        let peer_listener = http::bind(cfg.listen_peer)?;
        let address = listener.local_addr()?;
        let peer_address = peer_listener.local_addr()?;
        let copy = cfg.data.as_deref().map(SettingsCopy::open).transpose()?;
        let settings = Settings::new(feed::read_copy(copy.as_ref()));
        let shared = Arc::new(Shared::new(cfg, settings, address, peer_address));

        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let peers = {
            let _guard = runtime.enter();
            peer::start(&shared, peer_listener, copy)?
        };

        let server = serve_callers(shared.clone(), listener)?;
        event!(
            Info,
            "entry_started",
            name = shared.cfg.name,
            address = address,
            peer_address = peer_address
        );
        Ok(Self { address, peer_address, shared, server, peers, runtime })
    }

    /// Returns whether a request would be served.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Stops as planned: not ready first, then the listener closes, then all in flight finish.
    pub async fn stop(self) {
        const POLL: Millis = Millis(20);
        let shared = &self.shared;
        shared.stopping.store(true, Ordering::Relaxed);
        event!(Info, "stop_begun", name = shared.cfg.name);
        tokio::time::sleep(shared.cfg.drain_notice.into()).await;
        let end = shared.clock.now() + shared.cfg.drain_limit;
        while shared.metrics.in_flight.get() > 0 && shared.clock.now() < end {
            tokio::time::sleep(POLL.into()).await;
        }
        event!(Info, "stop_ended", name = shared.cfg.name, cut = shared.metrics.in_flight.get());
        self.server.stop(true).await;
        self.peers.stop();
        // Dropping it would block, which a caller inside another runtime may not do.
        self.runtime.shutdown_background();
    }
}

fn serve_callers(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
) -> Result<ntex::server::Server> {
    let (tx, rx) = std::sync::mpsc::channel();
    let name = format!("entry-{}", shared.cfg.name);
    http::spawn_system(&name, move || async move {
        let workers = shared.cfg.workers;
        let max_body = shared.cfg.max_body;
        let server = HttpServer::new(async move || {
            let upstream = client::streaming(UPSTREAM_CONNECTIONS).await;
            App::new()
                .middleware(OneShape)
                .state(shared.clone())
                .state(upstream.expect("a client without TLS can be made"))
                .state(web::types::PayloadConfig::new(max_body))
                .configure(api::routes)
        })
        .workers(workers)
        .disable_signals()
        .config(SharedCfg::new("entry").add(http_limits()))
        .listen(listener)?
        .run();
        let _ = tx.send(server.clone());
        server.await
    })?;
    Ok(rx.recv()?)
}

/// Bounds what one connection may hold, so that slow or endless headers can't pile up.
fn http_limits() -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_headers_read_rate(Seconds(5), Seconds(15), 128)
        .set_payload_read_rate(Seconds(5), Seconds(60), 512)
}
