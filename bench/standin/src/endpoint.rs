//! A stand-in endpoint: a model engine or a plain service with a prefix cache, slots, delayed load
//! reports and reclaim notices.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use eyre::Result;
use ntex::http::Method;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use parking_lot::Mutex;
use serde_json::json;
use sill_base::{Clock, Millis, Name, Secret, Set, event};
use sill_net::client;
use sill_net::http::{self, Failure};
use sill_wire::announce::AnnounceReply;
use sill_wire::endpoint::{LedgerEntry, ReclaimNotice, RunEnd};
use sill_wire::{Announcement, ErrorCode, Incarnation, Load, Servable, header, prefix};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::cache::PrefixCache;
use crate::events::{self, Outbox};
use crate::kv::{self, Exports};
use crate::ledger::Ledger;
use crate::load_report::LoadReport;
use crate::orders::{self, Orders};
use crate::run;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Millis = Millis(1000);

/// Maximum number of concurrent KV cache imports.
const MAX_IMPORTS: usize = 64;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Settings of a stand-in endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCfg {
    /// Name of the endpoint.
    pub name: Name,
    /// Failure domain of the endpoint.
    pub domain: Name,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Entry instances that receive its announcements and cache events.
    pub entries: Vec<SocketAddr>,
    /// Token that authorises announcements and cache events.
    pub join_token: Secret,
    /// Models or services that it serves at the start.
    pub serves: Vec<Servable>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Microseconds to compute one prompt token.
    pub prefill_us_per_token: u64,
    /// Microseconds to transfer the KV cache of one token to another endpoint.
    pub kv_us_per_token: u64,
    /// Time between two tokens of an answer.
    pub decode: Millis,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Age of load reports and cache events when they are sent.
    pub lag: Millis,
    /// Percentage of cache event batches that are dropped.
    pub lose_events: u8,
    /// Machine class of the instance.
    pub class: Name,
    /// Whether the platform may reclaim the instance.
    pub reclaimable: bool,
    /// Price in thousandths of a currency unit per hour.
    pub price: u64,
    /// Whether the process exits when the endpoint is reclaimed.
    pub exit_on_death: bool,
}

/// A running stand-in endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    shared: Arc<Shared>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
}

/// State shared by the request handlers and background tasks of an endpoint.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: EndpointCfg,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    sequence: AtomicU64,
    slots: Arc<Semaphore>,
    pub(crate) running: AtomicU32,
    queued: AtomicU32,
    queued_tokens: AtomicU64,
    cache: Mutex<PrefixCache>,
    load_report: Mutex<LoadReport>,
    pub(crate) ledger: Ledger,
    pub(crate) exports: Mutex<Exports>,
    pub(crate) outbox: Outbox,
    pub(crate) orders: Orders,
    cancelled_requests: Mutex<Set<Name>>,
    terminates_at: Mutex<Option<Millis>>,
    is_dead: AtomicBool,
}

impl Default for EndpointCfg {
    fn default() -> Self {
        Self {
            name: "endpoint".into(),
            domain: "local".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries: Vec::new(),
            join_token: Secret::new(""),
            serves: Vec::new(),
            slots: 8,
            prefill_us_per_token: 50,
            kv_us_per_token: 2,
            decode: Millis(10),
            cache_tokens: 65_536,
            checks_fencing: true,
            lag: Millis(200),
            lose_events: 0,
            class: "standard".into(),
            reclaimable: true,
            price: 1000,
            exit_on_death: false,
        }
    }
}

impl Endpoint {
    /// Starts the endpoint on a new thread.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(cfg: EndpointCfg) -> Result<Self> {
        let listener = http::bind(cfg.listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            address,
            clock: Clock::start(),
            incarnation: Incarnation(Millis::wall().0),
            sequence: AtomicU64::new(0),
            slots: Arc::new(Semaphore::new(cfg.slots as usize)),
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            queued_tokens: AtomicU64::new(0),
            cache: Mutex::new(PrefixCache::new(cfg.cache_tokens)),
            load_report: Mutex::new(LoadReport::new(cfg.lag)),
            ledger: Ledger::default(),
            exports: Mutex::new(Exports::default()),
            outbox: Outbox::default(),
            orders: Orders::new(cfg.serves.clone()),
            cancelled_requests: Mutex::default(),
            terminates_at: Mutex::new(None),
            is_dead: AtomicBool::new(false),
            cfg,
        });
        let name = format!("endpoint-{}", shared.cfg.name);
        let main = shared.clone();
        http::spawn_system(&name, move || serve(main, listener))?;
        Ok(Self { shared, address })
    }

    /// Returns all runs so far, in order of arrival.
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.shared.ledger.runs()
    }

    /// Delivers a reclaim notice: the endpoint terminates abruptly once `time_left` has passed.
    pub fn reclaim(&self, time_left: Millis) {
        self.shared.reclaim(time_left);
    }

    /// Returns whether the endpoint was terminated by a reclaim notice.
    pub fn is_dead(&self) -> bool {
        self.shared.is_dead.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn reclaim(&self, time_left: Millis) {
        let at = self.clock.now() + time_left;
        let mut terminates_at = self.terminates_at.lock();
        *terminates_at = Some(terminates_at.map_or(at, |current| current.min(at)));
        event!(Info, "reclaim_notice", name = self.cfg.name, in_ms = time_left);
    }

    fn announcement(&self) -> Announcement {
        let cfg = &self.cfg;
        let terminates_at = *self.terminates_at.lock();
        Announcement {
            name: cfg.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            address: self.address.to_string().into(),
            domain: cfg.domain.clone(),
            class: cfg.class.clone(),
            reclaimable: cfg.reclaimable,
            price: cfg.price,
            serves: self.orders.serves(),
            role: self.orders.role(),
            slots: cfg.slots,
            prefill_tokens_per_s: (1_000_000 / cfg.prefill_us_per_token.max(1)) as u32,
            decode_ms: cfg.decode.0 as u32,
            cache_tokens: cfg.cache_tokens,
            load: self.load_report.lock().report_at(self.clock.now()),
            leaving: terminates_at.map(|at| at - self.clock.now()),
            checks_fencing: cfg.checks_fencing,
            software: Default::default(),
        }
    }

    fn sample_load(&self) {
        let load = Load {
            running: self.running.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
            queued_tokens: self.queued_tokens.load(Ordering::Relaxed),
            cached_tokens: self.cache.lock().tokens(),
            age: Millis::ZERO,
        };
        self.load_report.lock().sample(self.clock.now(), load);
    }

    /// Waits for a slot and looks up the cached prefix of the prompt. Returns `None` once the
    /// endpoint stops.
    pub(crate) async fn admit(&self, blocks: &[u64], prompt_tokens: u64) -> Option<Admission> {
        self.queued.fetch_add(1, Ordering::Relaxed);
        self.queued_tokens.fetch_add(prompt_tokens, Ordering::Relaxed);
        let permit = self.slots.clone().acquire_owned().await.ok();
        self.queued.fetch_sub(1, Ordering::Relaxed);
        self.queued_tokens.fetch_sub(prompt_tokens, Ordering::Relaxed);
        let permit = permit?;
        let cached_blocks = self.cache.lock().longest_prefix(blocks);
        let cached_tokens = ((cached_blocks * prefix::BLOCK_TOKENS) as u64).min(prompt_tokens);
        Some(Admission { permit, cached_tokens })
    }

    pub(crate) async fn prefill(&self, tokens: u64) {
        pause(Millis(tokens * self.cfg.prefill_us_per_token / 1000)).await;
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::Relaxed)
    }

    /// Adds the blocks of a prompt to the prefix cache and queues the cache events.
    pub(crate) fn cache_prompt(&self, blocks: &[u64]) {
        let events = self.cache.lock().insert(blocks);
        self.outbox.add(self.clock.now() + self.cfg.lag, events);
    }

    /// Returns whether `POST /cancel/REQUEST` was received for a request.
    pub(crate) fn is_cancelled(&self, request: &Name) -> bool {
        self.cancelled_requests.lock().contains(request)
    }
}

/// Sleeps with millisecond accuracy. The timer of the HTTP library is too coarse: it would hide the
/// latency that an entry instance adds.
pub(crate) async fn pause(span: Millis) {
    if span > Millis::ZERO {
        tokio::time::sleep(span.into()).await;
    }
}

pub(crate) struct Admission {
    pub(crate) permit: OwnedSemaphorePermit,
    pub(crate) cached_tokens: u64,
}

async fn serve(shared: Arc<Shared>, listener: std::net::TcpListener) -> io::Result<()> {
    let app = shared.clone();
    let server = HttpServer::new(async move || {
        let http =
            client::streaming(MAX_IMPORTS).await.expect("an HTTP client without TLS can be built");
        App::new()
            .state(app.clone())
            .state(http)
            .state(web::types::PayloadConfig::new(MAX_BODY_BYTES))
            .service((
                web::resource("/v1/chat/completions").route(web::post().to(run::chat)),
                web::resource("/v1/completions").route(web::post().to(run::chat)),
                web::resource("/kv/{prefix}").route(web::get().to(kv::export)),
                web::resource("/cancel/{request}").route(web::post().to(cancel)),
                web::resource("/orders")
                    .route(web::post().to(orders::order))
                    .route(web::get().to(orders::list)),
                web::resource("/ledger").route(web::get().to(ledger)),
                web::resource("/reclaim").route(web::post().to(reclaim)),
            ))
            .default_service(web::route().to(serve_plain))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    let announcer = ntex::rt::spawn(announce(shared.clone()));
    let publisher = ntex::rt::spawn(events::publish(shared.clone()));
    let stopping_server = server.clone();
    ntex::rt::spawn(async move {
        wait_for_termination(&shared).await;
        stopping_server.stop(false).await;
        if shared.cfg.exit_on_death {
            std::process::exit(137);
        }
    });
    let result = server.await;
    announcer.cancel();
    publisher.cancel();
    result
}

/// Returns once the time of a reclaim notice has passed, and marks the endpoint as dead.
async fn wait_for_termination(shared: &Shared) {
    const POLL: ntex::time::Millis = ntex::time::Millis(5);
    loop {
        let due = shared.terminates_at.lock().is_some_and(|at| at <= shared.clock.now());
        if due {
            shared.is_dead.store(true, Ordering::Relaxed);
            event!(Info, "died", name = shared.cfg.name);
            return;
        }
        ntex::time::sleep(POLL).await;
    }
}

/// Announces the endpoint periodically. If an entry instance does not accept the announcement, the
/// next one is tried.
async fn announce(shared: Arc<Shared>) {
    let Ok(http) = client::streaming(4).await else {
        return;
    };
    let mut entry_index = 0;
    let mut has_announced_leaving = false;
    while !shared.is_dead() {
        let announcement = shared.announcement();
        has_announced_leaving = announcement.leaving.is_some();
        for _ in 0..shared.cfg.entries.len() {
            let entry = shared.cfg.entries[entry_index % shared.cfg.entries.len()];
            if send_announcement(&http, &shared, entry, &announcement).await {
                break;
            }
            entry_index += 1;
        }
        // A reclaim notice is announced at once, not only after the full interval.
        for _ in 0..ANNOUNCE_INTERVAL.0 / 20 {
            ntex::time::sleep(ntex::time::Millis(20)).await;
            shared.sample_load();
            if !has_announced_leaving && shared.terminates_at.lock().is_some() {
                break;
            }
        }
    }
    let _ = has_announced_leaving;
}

async fn send_announcement(
    http: &ntex::client::Client,
    shared: &Shared,
    entry: SocketAddr,
    announcement: &Announcement,
) -> bool {
    const TIMEOUT: Millis = Millis(500);
    let url = format!("http://{entry}/announce");
    let token = Some(&shared.cfg.join_token);
    let sent =
        client::send(http, Method::POST, &url, token, &[], Some(announcement), TIMEOUT).await;
    match sent {
        Ok(reply) => reply.json::<AnnounceReply>().is_ok_and(|r| r.accepted),
        Err(_) => false,
    }
}

/// `GET /ledger`.
async fn ledger(app: web::types::State<Arc<Shared>>) -> HttpResponse {
    http::json(200, &app.ledger.runs())
}

/// `POST /reclaim`.
async fn reclaim(
    app: web::types::State<Arc<Shared>>,
    notice: web::types::Json<ReclaimNotice>,
) -> HttpResponse {
    app.reclaim(notice.in_ms);
    http::json(200, &json!({ "accepted": true }))
}

/// `POST /cancel/REQUEST`: makes the stream of a request break off.
async fn cancel(
    app: web::types::State<Arc<Shared>>,
    request: web::types::Path<Name>,
) -> HttpResponse {
    app.cancelled_requests.lock().insert(request.into_inner());
    HttpResponse::NoContent().finish()
}

/// Serves any request to a plain service. Echoes method, path and hash of the body.
async fn serve_plain(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let request = request_header(&req, header::REQUEST_ID);
    let run = app.ledger.open(LedgerEntry {
        request: request.clone(),
        attempt: attempt(&req),
        idempotency_key: idempotency_key(&req),
        path: format!("{} {}", req.method(), req.path()),
        ..LedgerEntry::default()
    });
    let Some(admission) = app.admit(&[], 0).await else {
        return Failure::new(ErrorCode::NoCapacity, "stopping").response(&request);
    };
    app.running.fetch_add(1, Ordering::Relaxed);
    pause(app.cfg.decode).await;
    app.running.fetch_sub(1, Ordering::Relaxed);
    drop(admission);
    app.ledger.close(run, RunEnd::Finished);
    let body_hash = blake3::hash(&body).to_hex();
    http::json(
        200,
        &json!({ "method": req.method().as_str(), "path": req.path(), "body": body_hash.as_str() }),
    )
}

pub(crate) fn request_header(req: &HttpRequest, name: &str) -> Name {
    req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().into()
}

pub(crate) fn attempt(req: &HttpRequest) -> u32 {
    request_header(req, header::ATTEMPT).parse().unwrap_or_default()
}

pub(crate) fn idempotency_key(req: &HttpRequest) -> Option<Name> {
    Some(request_header(req, header::IDEMPOTENCY_KEY)).filter(|k| !k.is_empty())
}
