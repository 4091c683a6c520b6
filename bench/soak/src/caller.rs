//! Callers, which reuse connections and record the answers to their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::{Rng, seeded};
use sill_tree::RouteKind;
use sill_wire::header;
use tokio::sync::watch;

use crate::exchange::{self, Connection};
use crate::journal::Journal;
use crate::stream::{PACE_HEADER, Pace};

/// A client account.
#[derive(Debug, PartialEq, Eq)]
pub struct Client {
    /// Name of the account.
    pub account: &'static str,
    /// Key that its callers send.
    pub key: &'static str,
    /// Rate limit in requests per second over all entry instances, if any.
    pub limit: Option<u32>,
}

/// The account of most callers, without a rate limit.
pub static CLERKS: Client = Client { account: "clerks", key: "soak-clerks-key", limit: None };

/// An account whose callers send far more than its rate limit.
pub static GUESTS: Client = Client { account: "guests", key: "soak-guests-key", limit: Some(20) };

/// The body of the request that crashes each endpoint that runs it.
pub const CRASHING_BODY: &str = "crash";

/// Part of the answer to a blocked request.
const BLOCKED_CODE: &[u8] = b"request_blocked";

/// The request header with the account that the endpoint must see.
pub const ACCOUNT_HEADER: &str = "x-soak-account";

/// Host name of all routes.
pub const HOST: &str = "soak.example";

/// The request header with the checksum of the body.
pub const CHECKSUM_HEADER: &str = "x-soak-sum";

/// Deadline that callers set for an answer.
const DEADLINE: Millis = Millis(1500);

/// Deadline that callers set for a stream. It is shorter than a graceful stop takes, so a stop is
/// never the reason why a stream that began before it is incomplete.
const STREAM_DEADLINE: Millis = Millis(2900);

/// Timeout after which a caller abandons a connection attempt or a request.
const CALLER_TIMEOUT: Duration = Duration::from_millis(4000);

/// Time that an endpoint needs for an answer, besides the pauses of a stream.
const RUN_TIME: Millis = Millis(5);

/// Upper bound of the milliseconds from the end of an answer to a near deadline.
const MAX_SPARE_MS: u64 = 600;

/// Upper bound of the length of request bodies.
const MAX_BODY_BYTES: usize = 6000;

/// Kind of a request: single answer or stream, and whether it may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A single answer; may be run more than once.
    Idempotent,
    /// A single answer; must not be run more than once.
    NonIdempotent,
    /// A stream of events; must not be run more than once.
    Stream,
    /// A stream of events that another endpoint may resume.
    ResumableStream,
}

impl Kind {
    /// All kinds of requests.
    pub const ALL: [Self; 4] =
        [Self::Idempotent, Self::NonIdempotent, Self::Stream, Self::ResumableStream];

    /// Returns whether a request must be run at most once.
    pub const fn runs_once(self) -> bool {
        matches!(self, Self::NonIdempotent | Self::Stream)
    }

    /// Returns the path prefix of the route for this kind.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/looked-up/",
            Self::NonIdempotent => "/posted/",
            Self::Stream => "/streamed/",
            Self::ResumableStream => "/resumed/",
        }
    }

    /// Returns the route kind in the settings.
    pub const fn route(self) -> RouteKind {
        match self {
            Self::Idempotent => RouteKind::Idempotent,
            Self::NonIdempotent => RouteKind::NonIdempotent,
            Self::Stream => RouteKind::Stream,
            Self::ResumableStream => RouteKind::ResumableStream,
        }
    }

    /// Returns the deadline that callers set.
    pub const fn deadline(self) -> Millis {
        match self {
            Self::Idempotent | Self::NonIdempotent => DEADLINE,
            Self::Stream | Self::ResumableStream => STREAM_DEADLINE,
        }
    }
}

/// A request and its outcome from its caller's point of view.
#[derive(Debug, Clone)]
pub struct Record {
    /// Request id.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Account that sends the request.
    pub client: &'static Client,
    /// Pace of the stream; `None` for a single answer.
    pub pace: Option<Pace>,
    /// Request body.
    pub body: Bytes,
    /// Deadline that the caller sets.
    pub deadline: Millis,
    /// Index of the entry instance that the request was sent to.
    pub entry: usize,
    /// Whether the request was the first on its connection.
    pub is_first: bool,
    /// Time at which the request was sent.
    pub sent: Millis,
    /// Time at which the answer was complete, the connection ended, or the caller gave up.
    pub ended: Millis,
    /// The answer; `None` if the connection ended before its head or the caller gave up.
    pub answer: Option<CallerAnswer>,
}

impl Record {
    /// Creates the record of a request that has not been sent yet.
    pub fn new(id: String, kind: Kind) -> Self {
        let (sent, ended) = (Millis::ZERO, Millis::ZERO);
        Self {
            id,
            kind,
            client: &CLERKS,
            pace: None,
            body: Bytes::new(),
            deadline: kind.deadline(),
            entry: 0,
            is_first: true,
            sent,
            ended,
            answer: None,
        }
    }

    /// Sets a deadline shortly after the time at which an endpoint completes the answer.
    fn set_near_deadline(&mut self, rng: &mut Rng) {
        let needed = RUN_TIME + self.pace.map_or(Millis::ZERO, Pace::duration);
        self.deadline = needed + Millis(rng.random_range(20..MAX_SPARE_MS));
    }

    /// Returns whether the deadline is near the time at which an endpoint completes the answer.
    pub fn is_near(&self) -> bool {
        self.deadline < self.kind.deadline()
    }

    /// Returns whether there is no complete answer.
    pub fn is_cut(&self) -> bool {
        self.answer.as_ref().is_none_or(|answer| answer.body.is_none())
    }
}

/// An answer as its caller received it.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// The status code.
    pub status: u16,
    /// Whether the answer guarantees that the request was not run.
    pub is_not_run: bool,
    /// The body; `None` if it is truncated.
    pub body: Option<Bytes>,
}

/// Returns the 64-bit FNV-1a hash of a body as 16 hexadecimal digits.
pub fn checksum(body: &[u8]) -> String {
    let sum = body.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{sum:016x}")
}

/// Configuration of a caller.
#[derive(Debug, Clone)]
pub struct CallerCfg {
    /// Name of the caller and prefix of its request ids.
    pub name: String,
    /// Seed of its requests and pauses.
    pub seed: u64,
    /// Account of the caller.
    pub client: &'static Client,
    /// Whether it requests streams.
    pub is_streaming: bool,
    /// Whether a part of its deadlines are near.
    pub has_near_deadlines: bool,
    /// Index of the only entry instance that it uses, even while that instance stops, as behind a
    /// load balancer with too few others in rotation. Without one, each new connection goes to the
    /// next entry instance.
    pub pinned_entry: Option<usize>,
    /// Addresses of all entry instances.
    pub entries: Vec<SocketAddr>,
}

/// Sends requests one at a time until `stop` is set. A connection is reused until it ends or an
/// answer has `connection: close`.
pub async fn run(
    cfg: CallerCfg,
    journal: Arc<Journal>,
    records: Arc<Mutex<Vec<Record>>>,
    stop: watch::Receiver<bool>,
) {
    let CallerCfg { name, entries, .. } = &cfg;
    let mut rng = seeded(cfg.seed);
    let mut connection = None;
    let mut entry = rng.random_range(0..entries.len());
    for number in 0.. {
        if *stop.borrow() {
            return;
        }
        let is_first = connection.is_none();
        if is_first {
            entry = cfg.pinned_entry.unwrap_or((entry + 1) % entries.len());
            let open = Connection::open(entries[entry]);
            connection = tokio::time::timeout(CALLER_TIMEOUT, open).await.ok().and_then(Result::ok);
        }
        let Some(open) = &mut connection else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if !open.is_ready().await {
            connection = None;
            continue;
        }
        let mut record = random_record(&mut rng, format!("{name}-{number}"), cfg.is_streaming);
        if cfg.has_near_deadlines && rng.random() {
            record.set_near_deadline(&mut rng);
        }
        record.client = cfg.client;
        record.entry = entry;
        record.is_first = is_first;
        record.sent = journal.now();
        let exchange = open.send(request(&record));
        match tokio::time::timeout(CALLER_TIMEOUT, exchange).await {
            Ok(Ok(response)) => {
                let is_not_run = response.header(header::NOT_RUN) == Some("true");
                let closes = response.header("connection") == Some("close");
                if closes || response.body.is_none() {
                    connection = None;
                }
                record.answer =
                    Some(CallerAnswer { status: response.status, is_not_run, body: response.body });
            }
            _ => connection = None,
        }
        record.ended = journal.now();
        records.lock().push(record);
        let pause = rng.random_range(1..30);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn random_record(rng: &mut Rng, id: String, is_streaming: bool) -> Record {
    let kind = match (is_streaming, rng.random()) {
        (false, true) => Kind::Idempotent,
        (false, false) => Kind::NonIdempotent,
        (true, true) => Kind::ResumableStream,
        (true, false) => Kind::Stream,
    };
    let pace = if rng.random() { Pace::Long } else { Pace::Slow };
    let length = rng.random_range(0..MAX_BODY_BYTES);
    let body: Vec<u8> = (0..length).map(|_| rng.random()).collect();
    Record { pace: is_streaming.then_some(pace), body: body.into(), ..Record::new(id, kind) }
}

/// Returns whether an entry instance has refused a request because endpoints crash under it.
pub fn is_blocked(answer: &CallerAnswer) -> bool {
    let body = answer.body.as_deref().unwrap_or_default();
    answer.status == 503 && body.windows(BLOCKED_CODE.len()).any(|part| part == BLOCKED_CODE)
}

/// Sends the request that crashes endpoints to an entry instance, with a new id but equal in all
/// else. Returns the answer, if there is one.
pub async fn send_crashing(entry: SocketAddr, number: usize) -> Option<CallerAnswer> {
    let id = format!("crash-{number}");
    let record = Record { body: CRASHING_BODY.into(), ..Record::new(id, Kind::Idempotent) };
    let mut req = request(&record);
    *req.uri_mut() = http::Uri::from_static("/looked-up/crash");
    let response = exchange::send_once(entry, req, DEADLINE).await.ok()?;
    let is_not_run = response.header(header::NOT_RUN) == Some("true");
    Some(CallerAnswer { status: response.status, is_not_run, body: response.body })
}

/// Builds the HTTP request of a record.
pub fn request(record: &Record) -> Request<Full<Bytes>> {
    let Record { id, kind, client, .. } = record;
    let req = Request::post(format!("{}{id}", kind.path()))
        .header("host", HOST)
        .header("authorization", format!("Bearer {}", client.key))
        .header(ACCOUNT_HEADER, client.account)
        .header(header::REQUEST_ID, id)
        .header(header::DEADLINE_MS, record.deadline.to_string())
        .header(PACE_HEADER, record.pace.map_or("", Pace::name))
        .header(CHECKSUM_HEADER, checksum(&record.body))
        .body(Full::new(record.body.clone()));
    req.expect("a request with valid headers")
}
