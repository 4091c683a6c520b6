//! Callers, who keep their connections and note what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use rand::Rng as _;
use sill_base::random::{Rng, seeded};
use sill_wire::header;
use tokio::sync::watch;

use crate::exchange::Connection;

/// The account of all callers.
pub const ACCOUNT: &str = "clerks";

/// Its key.
pub const KEY: &str = "soak-caller-key";

/// The host of all routes.
pub const HOST: &str = "soak.example";

/// The header with the sum of a body.
pub const SUM: &str = "x-soak-sum";

/// The time that callers give.
const DEADLINE: Duration = Duration::from_millis(1500);

/// The time after which a caller gives up in any case.
const PATIENCE: Duration = Duration::from_millis(3000);

/// The largest body.
const BODY: usize = 6000;

/// Whether a request may run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may.
    Idempotent,
    /// It must not.
    NonIdempotent,
}

/// A request and what became of it, as its caller saw it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Its body.
    pub body: Bytes,
    /// The answer; none if the connection ended or the caller gave up.
    pub answer: Option<Answered>,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answered {
    /// The status code.
    pub status: u16,
    /// Whether it certifies that the request has not run.
    pub is_not_run: bool,
    /// The body, if it is whole.
    pub body: Option<Bytes>,
}

/// Returns a sum by which bodies are told apart.
pub fn sum(body: &[u8]) -> String {
    let sum = body.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{sum:016x}")
}

/// Sends one request after the other until it is told to stop.
pub async fn run(
    name: String,
    seed: u64,
    entries: Vec<SocketAddr>,
    records: Arc<Mutex<Vec<Record>>>,
    stop: watch::Receiver<bool>,
) {
    let mut rng = seeded(seed);
    let mut connection = None;
    let mut turn = rng.random_range(0..entries.len());
    for number in 0.. {
        if *stop.borrow() {
            return;
        }
        if connection.is_none() {
            turn += 1;
            let open = Connection::open(entries[turn % entries.len()]);
            connection = tokio::time::timeout(PATIENCE, open).await.ok().and_then(Result::ok);
        }
        let Some(open) = &mut connection else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let mut record = draw(&mut rng, format!("{name}-{number}"));
        let exchange = open.send(request(&record));
        match tokio::time::timeout(PATIENCE, exchange).await {
            Ok(Ok(got)) => {
                let is_not_run = got.header(header::NOT_RUN) == Some("true");
                let closes = got.header("connection") == Some("close");
                if closes || got.body.is_none() {
                    connection = None;
                }
                record.answer = Some(Answered { status: got.status, is_not_run, body: got.body });
            }
            _ => connection = None,
        }
        records.lock().push(record);
        let pause = rng.random_range(1..30);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn draw(rng: &mut Rng, id: String) -> Record {
    let kind = if rng.random() { Kind::Idempotent } else { Kind::NonIdempotent };
    let length = rng.random_range(0..BODY);
    let body: Vec<u8> = (0..length).map(|_| rng.random()).collect();
    Record { id, kind, body: body.into(), answer: None }
}

/// Makes the request of a record.
pub fn request(record: &Record) -> Request<Full<Bytes>> {
    let path = match record.kind {
        Kind::Idempotent => "/looked-up/",
        Kind::NonIdempotent => "/posted/",
    };
    let req = Request::post(format!("{path}{}", record.id))
        .header("host", HOST)
        .header("authorization", format!("Bearer {KEY}"))
        .header(header::REQUEST_ID, &record.id)
        .header(header::DEADLINE_MS, DEADLINE.as_millis().to_string())
        .header(SUM, sum(&record.body))
        .body(Full::new(record.body.clone()));
    req.expect("a request of fixed parts")
}
