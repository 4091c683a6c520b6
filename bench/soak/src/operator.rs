//! The operator, which keeps changing settings and reading them back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, bail};
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use rand::Rng as _;
use serde_json::Value;
use sill_base::random::{Rng, seeded};
use sill_base::{Millis, Name};
use sill_tree::{Account, Document, KeyHash, Limit, Pool, Route, Service, Share};
use sill_wire::header;
use tokio::sync::watch;

use crate::backend::SERVICE;
use crate::caller::{CLERKS, GUESTS, HOST, Kind};
use crate::cluster::key;
use crate::exchange::{self, HttpResponse};

/// Timeout of a single change or read.
const REQUEST_TIMEOUT: Millis = Millis(4000);

/// Maximum number of times that one change is sent.
const MAX_TRIES: usize = 5;

/// The response header that marks settings as possibly stale.
const STALE_HEADER: &str = "sill-stale";

/// An acknowledged change of the settings.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledged {
    /// Revision assigned to the change.
    pub revision: u64,
    /// Number of the change, which its document contains.
    pub number: u64,
}

/// Acknowledged changes, reads and findings of the operator.
#[derive(Debug, Default)]
pub struct Observations {
    /// The acknowledged change with the highest revision.
    pub newest: Acknowledged,
    /// Number of acknowledged changes.
    pub changes: u64,
    /// Number of reads that were not marked as stale.
    pub reads: u64,
    /// Responses that violate a guarantee.
    pub findings: Vec<String>,
}

/// Sends changes and reads to random control instances.
#[derive(Debug)]
pub struct Operator {
    controls: Vec<SocketAddr>,
    observations: Arc<Mutex<Observations>>,
    rng: Rng,
    number: u64,
}

impl Operator {
    /// Creates an operator that uses control instances at these addresses.
    pub fn new(
        seed: u64,
        controls: Vec<SocketAddr>,
        observations: Arc<Mutex<Observations>>,
    ) -> Self {
        Self { controls, observations, rng: seeded(seed), number: 0 }
    }

    /// Changes and reads settings until `stop` is set.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Self {
        while !*stop.borrow() {
            self.change().await;
            self.read().await;
            tokio::time::sleep(Duration::from_millis(self.rng.random_range(50..600))).await;
        }
        self
    }

    /// Makes one change and returns whether its outcome is final. Without a response the change may
    /// still be applied later.
    pub async fn change(&mut self) -> bool {
        self.number += 1;
        let number = self.number;
        let body = serde_json::to_vec(&document(number)).expect("a document can be serialised");
        for _ in 0..MAX_TRIES {
            let req = Request::put("/tree/serving")
                .header("host", "control")
                .header("authorization", format!("Bearer {}", key("root-token")))
                .header(header::CHANGE_ID, format!("change-{number}"))
                .body(Full::new(Bytes::from(body.clone())))
                .expect("a request with valid headers");
            if let Ok(got) = exchange::send_once(self.pick_control(), req, REQUEST_TIMEOUT).await
                && self.note_response(number, &got)
            {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        false
    }

    fn note_response(&self, number: u64, got: &HttpResponse) -> bool {
        let revision = json(got).and_then(|body| body.get("revision").and_then(Value::as_u64));
        let mut observations = self.observations.lock();
        match (got.status, revision) {
            (200, Some(revision)) => {
                observations.changes += 1;
                // A retry may return an older revision than the newest acknowledged change.
                if revision > observations.newest.revision {
                    observations.newest = Acknowledged { revision, number };
                }
                true
            }
            (status, _) if (400..500).contains(&status) && status != 429 => {
                observations
                    .findings
                    .push(format!("accepted_change_stays: change {number} got {status}"));
                true
            }
            _ => false,
        }
    }

    /// Reads the settings from a random control instance, and checks that they are no older than
    /// the newest acknowledged change.
    ///
    /// Returns whether there was a response that is not marked as stale.
    pub async fn read(&mut self) -> bool {
        let before = self.observations.lock().newest;
        let Ok((revision, number)) = self.read_fresh().await else { return false };
        let mut observations = self.observations.lock();
        observations.reads += 1;
        let is_other = revision == before.revision && number != before.number;
        if revision < before.revision || is_other {
            let what = format!(
                "accepted_change_stays: read revision {revision}, number {number}, after {before:?}"
            );
            observations.findings.push(what);
        }
        true
    }

    async fn read_fresh(&mut self) -> Result<(u64, u64)> {
        let req = Request::get("/tree/serving")
            .header("host", "control")
            .header("authorization", format!("Bearer {}", key("root-token")))
            .body(Full::default())?;
        let got = exchange::send_once(self.pick_control(), req, REQUEST_TIMEOUT).await?;
        let Some(body) = json(&got).filter(|_| got.status == 200) else { bail!("{}", got.status) };
        if got.header(STALE_HEADER).is_some() {
            bail!("the settings are marked as possibly stale");
        }
        let revision = body.get("revision").and_then(Value::as_u64);
        let number = body.pointer("/document/services/cases/max_connections");
        match (revision, number.and_then(Value::as_u64)) {
            (Some(revision), Some(number)) => Ok((revision, number - 1000)),
            _ => bail!("the response has no revision or no change number"),
        }
    }

    fn pick_control(&mut self) -> SocketAddr {
        self.controls[self.rng.random_range(0..self.controls.len())]
    }
}

fn json(got: &HttpResponse) -> Option<Value> {
    serde_json::from_slice(got.body.as_ref()?).ok()
}

/// Returns the settings of a run. The number is stored in `max_connections` and identifies the
/// change.
fn document(number: u64) -> Document {
    let mut document = Document::default();
    let pool = Pool { max_connections: Some(1000 + number as u32), ..Pool::default() };
    document.services.insert(SERVICE.into(), Service::Pool(pool));
    for client in [&CLERKS, &GUESTS] {
        let requests_per_s = client.limit.map(f64::from);
        let limit = requests_per_s.map(|_| Limit { requests_per_s, ..Limit::default() });
        let account = Account { keys: vec![KeyHash::of(client.key)], limit, ..Account::default() };
        document.accounts.insert(client.account.into(), account);
    }
    for kind in Kind::ALL {
        let route = Route {
            host: HOST.into(),
            path: kind.path().into(),
            kind: kind.route(),
            timeout_ms: kind.deadline(),
            split: vec![Share { service: SERVICE.into(), weight: 1 }],
            max_attempts: 2,
            ..Route::default()
        };
        document.routes.insert(Name::from(kind.path().trim_matches('/')), route);
    }
    document
}
