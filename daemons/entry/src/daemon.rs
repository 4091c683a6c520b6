//! Starts the parts of an entry instance and holds them together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use eyre::Result;
use ntex::client::Client;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use ntex::{SharedCfg, http::HttpServiceConfig};
use parking_lot::Mutex;
use sill_base::{Clock, Millis, Name, event};
use sill_flight::home::RunDirectory;
use sill_flight::journal::Journal;
use sill_net::{PeerServer, client, http};
use sill_wire::Incarnation;
use tokio::runtime::{Handle, Runtime};
use tokio::sync::mpsc;

use crate::cfg::EntryCfg;
use crate::claims::{Claims, ControlClaims};
use crate::close_on_stop::CloseOnStop;
use crate::copy::SettingsCopy;
use crate::errors::ErrorFormat;
use crate::feed::Feed;
use crate::handoff::WorkerSenders;
use crate::limits::Limits;
use crate::members::Membership;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::routing::Routing;
use crate::serve;
use crate::serve::run::Runs;
use crate::serve::signals::{self, Signals};
use crate::settings::Settings;
use crate::{api, feed, limits, peer};

/// Connections that a worker holds to endpoints.
const UPSTREAM_CONNECTIONS: usize = 16_384;

/// Keys that this instance is home to at most.
const KEYS: usize = 100_000;

/// How long the home of a key remembers where its request ran.
const KEY_RETENTION: Millis = Millis(600_000);

/// Requests whose records are kept.
const RECORDS: usize = 20_000;

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
    /// The claims' log.
    pub claims: Box<dyn Claims>,
    /// Keyed requests that run or ran here.
    pub runs: Runs,
    /// Where keyed requests run whose home this instance is.
    pub directory: Mutex<RunDirectory>,
    /// What became of requests, and why.
    pub journal: Mutex<Journal>,
    /// What concerns all requests in flight.
    pub signals: Signals,
    /// Clients of peers.
    pub peers: Peers,
    /// Threads that can take requests over from peers.
    pub takers: WorkerSenders,
    /// Where calls to peers run.
    pub runtime: Handle,
    /// Where peers reach this instance, `IP:PORT`.
    pub peer_address: Name,
    /// Whether a planned stop or a reclaim has begun.
    pub stopping: AtomicBool,
    /// Whether the notice of a planned stop is over, so that requests are refused.
    pub closing: AtomicBool,
    /// Whether this instance was given notice.
    pub reclaimed: AtomicBool,
    next_request: AtomicU64,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Where callers and endpoints reach it.
    pub address: SocketAddr,
    /// Where our own processes reach it.
    pub peer_address: SocketAddr,
    pub(crate) shared: Arc<Shared>,
    pub(crate) server: ntex::server::Server,
    pub(crate) peers: PeerServer,
    pub(crate) runtime: Runtime,
}

impl Shared {
    /// Makes the state of an instance that listens at these addresses.
    ///
    /// # Errors
    ///
    /// Fails when the routers can't be made.
    pub fn new(
        cfg: EntryCfg,
        settings: Settings,
        address: SocketAddr,
        peer_address: SocketAddr,
        runtime: Handle,
    ) -> Result<Self> {
        let claims = {
            let _guard = runtime.enter();
            Box::new(ControlClaims::start(&cfg))
        };
        let clock = Clock::start();
        let incarnation = Incarnation(Millis::wall().0);
        Ok(Self {
            clock,
            incarnation,
            settings,
            feed: Feed::default(),
            members: Membership::new(&cfg, clock, incarnation, address, peer_address),
            routing: Routing::new(&cfg)?,
            limits: Limits::new(&cfg, incarnation),
            metrics: Metrics::new(),
            claims,
            runs: Runs::default(),
            directory: Mutex::new(RunDirectory::new(KEYS, KEY_RETENTION)),
            journal: Mutex::new(Journal::new(RECORDS)),
            signals: Signals::new(),
            peers: Peers::default(),
            takers: WorkerSenders::default(),
            runtime,
            peer_address: peer_address.to_string().into(),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            reclaimed: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            cfg,
        })
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
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let copy = cfg.data.as_deref().map(SettingsCopy::open).transpose()?;
        let settings = Settings::new(feed::read_copy(copy.as_ref()));
        let handle = runtime.handle().clone();
        let shared = Arc::new(Shared::new(cfg, settings, address, peer_address, handle)?);

        let peers = {
            let _guard = runtime.enter();
            peer::start(&shared, peer_listener, copy)?
        };
        runtime.spawn(limits::run(shared.clone()));
        runtime.spawn(signals::watch(shared.clone()));

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
}

/// Lets a worker thread take requests over from peers.
fn take_over_here(shared: &Arc<Shared>, client: &Client) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    shared.takers.lock().push(tx);
    let (shared, client) = (shared.clone(), client.clone());
    ntex::rt::spawn(async move {
        while let Some(taken) = rx.recv().await {
            ntex::rt::spawn(serve::resume_run(shared.clone(), client.clone(), taken));
        }
    });
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
            let upstream = upstream.expect("a client without TLS can be made");
            take_over_here(&shared, &upstream);
            App::new()
                .middleware(ErrorFormat)
                .middleware(CloseOnStop(shared.clone()))
                .state(shared.clone())
                .state(upstream)
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
