//! Callers, who keep their connections and note what they get.

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

use crate::exchange::Connection;
use crate::journal::Journal;
use crate::stream::{PACE_HEADER, Pace};

/// An account.
#[derive(Debug, PartialEq, Eq)]
pub struct Client {
    /// Its name.
    pub account: &'static str,
    /// Its key.
    pub key: &'static str,
    /// Requests a second that it may send, over all entry instances.
    pub limit: Option<u32>,
}

/// The account of most callers.
pub static CLERKS: Client = Client { account: "clerks", key: "soak-clerks-key", limit: None };

/// An account whose callers send far more than they may.
pub static GUESTS: Client = Client { account: "guests", key: "soak-guests-key", limit: Some(20) };

/// The header with the account that a request has to arrive for.
pub const ACCOUNT_HEADER: &str = "x-soak-account";

/// The host of all routes.
pub const HOST: &str = "soak.example";

/// The header with the sum of a body.
pub const CHECKSUM_HEADER: &str = "x-soak-sum";

/// The time that callers give for an answer.
const DEADLINE: Millis = Millis(1500);

/// The time that they give for a stream: less than a planned stop takes, which is thus never the reason
/// why one that began before it is not whole.
const STREAM_DEADLINE: Millis = Millis(2900);

/// The time after which a caller gives up in any case.
const CALLER_TIMEOUT: Duration = Duration::from_millis(4000);

/// The largest body.
const MAX_BODY_BYTES: usize = 6000;

/// What is asked for, and whether it may run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An answer; it may.
    Idempotent,
    /// An answer; it must not.
    NonIdempotent,
    /// Events; it must not.
    Stream,
    /// Events, which may go on at another endpoint.
    ResumableStream,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] =
        [Self::Idempotent, Self::NonIdempotent, Self::Stream, Self::ResumableStream];

    /// Returns whether a request may run once at most.
    pub const fn runs_once(self) -> bool {
        matches!(self, Self::NonIdempotent | Self::Stream)
    }

    /// Returns the path of its route.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/looked-up/",
            Self::NonIdempotent => "/posted/",
            Self::Stream => "/streamed/",
            Self::ResumableStream => "/resumed/",
        }
    }

    /// Returns the kind of its route.
    pub const fn route(self) -> RouteKind {
        match self {
            Self::Idempotent => RouteKind::Idempotent,
            Self::NonIdempotent => RouteKind::NonIdempotent,
            Self::Stream => RouteKind::Stream,
            Self::ResumableStream => RouteKind::ResumableStream,
        }
    }

    /// Returns the time that callers give.
    pub const fn deadline(self) -> Millis {
        match self {
            Self::Idempotent | Self::NonIdempotent => DEADLINE,
            Self::Stream | Self::ResumableStream => STREAM_DEADLINE,
        }
    }
}

/// A request and what became of it, as its caller saw it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Whose it is.
    pub client: &'static Client,
    /// How its stream goes, if it is one.
    pub pace: Option<Pace>,
    /// Its body.
    pub body: Bytes,
    /// The entry instance that it was sent to.
    pub entry: usize,
    /// Whether it was the first one on its connection.
    pub is_first: bool,
    /// When it was sent.
    pub sent: Millis,
    /// When its answer was whole, or its connection ended.
    pub ended: Millis,
    /// The answer; none if the connection ended or the caller gave up.
    pub answer: Option<CallerAnswer>,
}

impl Record {
    /// Makes a request that is still to be sent.
    pub fn new(id: String, kind: Kind) -> Self {
        let (sent, ended) = (Millis::ZERO, Millis::ZERO);
        Self {
            id,
            kind,
            client: &CLERKS,
            pace: None,
            body: Bytes::new(),
            entry: 0,
            is_first: true,
            sent,
            ended,
            answer: None,
        }
    }

    /// Returns whether its connection ended before the answer was whole.
    pub fn is_cut(&self) -> bool {
        self.answer.as_ref().is_none_or(|answer| answer.body.is_none())
    }
}

/// An answer.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// The status code.
    pub status: u16,
    /// Whether it certifies that the request has not run.
    pub is_not_run: bool,
    /// The body, if it is whole.
    pub body: Option<Bytes>,
}

/// Returns a sum by which bodies are told apart.
pub fn checksum(body: &[u8]) -> String {
    let sum = body.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{sum:016x}")
}

/// A caller.
#[derive(Debug, Clone)]
pub struct CallerCfg {
    /// Its name, with which ids begin.
    pub name: String,
    /// The seed of what it sends.
    pub seed: u64,
    /// Its account.
    pub client: &'static Client,
    /// Whether it asks for is_streaming.
    pub is_streaming: bool,
    /// The one entry instance that it comes to, also while that one stops, as where a balancer has too few
    /// others in rotation. Other callers open each connection to the next one.
    pub pinned_entry: Option<usize>,
    /// All entry instances.
    pub entries: Vec<SocketAddr>,
}

/// Sends one request after the other until it is told to stop. A connection is used until it ends or an
/// answer says that it does.
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

/// Makes the request of a record.
pub fn request(record: &Record) -> Request<Full<Bytes>> {
    let Record { id, kind, client, .. } = record;
    let req = Request::post(format!("{}{id}", kind.path()))
        .header("host", HOST)
        .header("authorization", format!("Bearer {}", client.key))
        .header(ACCOUNT_HEADER, client.account)
        .header(header::REQUEST_ID, id)
        .header(header::DEADLINE_MS, kind.deadline().to_string())
        .header(PACE_HEADER, record.pace.map_or("", Pace::name))
        .header(CHECKSUM_HEADER, checksum(&record.body))
        .body(Full::new(record.body.clone()));
    req.expect("a request of fixed parts")
}
