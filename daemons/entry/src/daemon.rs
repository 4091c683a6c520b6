//! Startup and shared state of an entry instance.

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
use sill_net::h1::ConnectionPool;
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
use crate::peers::PeerClients;
use crate::routing::Routing;
use crate::serve::run::Runs;
use crate::serve::signals::{self, Signals};
use crate::serve::{self, plain};
use crate::settings::Settings;
use crate::{api, feed, limits, peer_server};

/// Most connections to endpoints that each worker thread opens.
const MAX_UPSTREAM_CONNECTIONS: usize = 16_384;

/// Most idempotency keys whose running requests this instance records as their home.
const MAX_DIRECTORY_KEYS: usize = 100_000;

/// How long the home of a key records which instance ran its request.
const KEY_RETENTION: Millis = Millis(600_000);

/// Most requests whose steps are kept in the journal.
const MAX_JOURNAL_RECORDS: usize = 20_000;

/// State shared by all tasks and worker threads of an entry instance.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process, from flags and variables; they do not change while it runs.
    pub cfg: EntryCfg,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Start time of the process, which distinguishes it from earlier ones of the same name.
    pub incarnation: Incarnation,
    /// Settings that are active here.
    pub settings: Settings,
    /// State of the settings propagation between parents and children of the fan-out tree.
    pub feed: Feed,
    /// Live, leaving and replaced entry instances and endpoints.
    pub members: Membership,
    /// Routers, which choose an endpoint for each request.
    pub routing: Routing,
    /// Rate limits of client accounts.
    pub limits: Limits,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Claims of idempotency keys, kept by the control instances.
    pub claims: Box<dyn Claims>,
    /// Requests with an idempotency key that run or ran here.
    pub runs: Runs,
    /// Which instance runs each keyed request whose home this instance is.
    pub directory: Mutex<RunDirectory>,
    /// Recent requests with the steps and the outcome of each.
    pub journal: Mutex<Journal>,
    /// Notifications to all requests in flight.
    pub signals: Signals,
    /// Connections to endpoints of plain services, shared by all threads.
    pub plain_connections: ConnectionPool,
    /// Clients for calls to peers, shared by all threads.
    pub peer_clients: PeerClients,
    /// Channels to the worker threads, over which they accept requests handed off by peers.
    pub handoff_workers: WorkerSenders,
    /// Tokio runtime that runs calls to peers.
    pub runtime: Handle,
    /// Address at which peers reach this instance, `IP:PORT`.
    pub peer_address: Name,
    /// Whether a planned stop or a reclaim has begun.
    pub is_stopping: AtomicBool,
    /// Whether the notice period of a planned stop has ended, so that requests are refused.
    pub is_closing: AtomicBool,
    /// Whether this instance has received a reclaim notice.
    pub is_reclaimed: AtomicBool,
    next_request: AtomicU64,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Address at which callers and endpoints reach it.
    pub address: SocketAddr,
    /// Address at which our own processes reach it.
    pub peer_address: SocketAddr,
    pub(crate) shared: Arc<Shared>,
    pub(crate) server: ntex::server::Server,
    pub(crate) peer_server: PeerServer,
    pub(crate) runtime: Runtime,
}

impl Shared {
    /// Creates the state of an instance that listens at these addresses.
    ///
    /// # Errors
    ///
    /// Fails when a router's record file cannot be created.
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
            directory: Mutex::new(RunDirectory::new(MAX_DIRECTORY_KEYS, KEY_RETENTION)),
            journal: Mutex::new(Journal::new(MAX_JOURNAL_RECORDS)),
            signals: Signals::new(),
            plain_connections: plain::connections(clock),
            peer_clients: PeerClients::default(),
            handoff_workers: WorkerSenders::default(),
            runtime,
            peer_address: peer_address.to_string().into(),
            is_stopping: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            is_reclaimed: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            cfg,
        })
    }

    /// Returns an id for a new request, unique across all instances and their incarnations.
    pub fn request_id(&self) -> Name {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.cfg.name, self.incarnation.0).into()
    }

    /// Returns whether this instance accepts requests: it has settings and a worker thread, and is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        let has_worker = !self.handoff_workers.lock().is_empty();
        !self.is_stopping.load(Ordering::Relaxed) && self.settings.revision().0 > 0 && has_worker
    }
}

impl Entry {
    /// Binds both listeners and starts to serve callers, endpoints and peers.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound, the data folder or a record file cannot be created,
    /// or a thread cannot be started.
    pub fn start(cfg: EntryCfg) -> Result<Self> {
        let peer_listener = http::bind(cfg.listen_peer)?;
        let copy = cfg.data.as_deref().map(SettingsCopy::open).transpose()?;
        // Last, as a start that fails after it would reset the connections of callers.
        let listener = http::bind(cfg.listen)?;
        let address = listener.local_addr()?;
        let peer_address = peer_listener.local_addr()?;
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let settings = Settings::new(feed::read_copy(copy.as_ref()));
        let handle = runtime.handle().clone();
        let shared = Arc::new(Shared::new(cfg, settings, address, peer_address, handle)?);

        let peer_server = {
            let _guard = runtime.enter();
            peer_server::start(&shared, peer_listener, copy)?
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
        Ok(Self { address, peer_address, shared, server, peer_server, runtime })
    }

    /// Returns whether this instance accepts requests: it has settings and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }
}

/// Registers this worker thread to run requests handed off by peers.
fn accept_handoffs(shared: &Arc<Shared>, client: &Client) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    shared.handoff_workers.lock().push(tx);
    let (shared, client) = (shared.clone(), client.clone());
    ntex::rt::spawn(async move {
        while let Some(run) = rx.recv().await {
            ntex::rt::spawn(serve::resume_run(shared.clone(), client.clone(), run));
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
            let upstream = client::streaming(MAX_UPSTREAM_CONNECTIONS).await;
            let upstream = upstream.expect("creating an HTTP client without TLS does not fail");
            accept_handoffs(&shared, &upstream);
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

/// Limits how slowly a connection may send its headers and body, so that connections with slow or
/// endless headers cannot accumulate.
fn http_limits() -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_headers_read_rate(Seconds(5), Seconds(15), 128)
        .set_payload_read_rate(Seconds(5), Seconds(60), 512)
}
