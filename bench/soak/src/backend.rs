//! Endpoints that note what they run, and misbehave when told to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use futures_util::{StreamExt, stream};
use http::{Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sill_base::{Map, Millis, Name, Set};
use sill_wire::{Announcement, Incarnation, Load, Role, Servable, header};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::caller::{SENT_FOR, SUM, sum};
use crate::cluster::key;
use crate::exchange;
use crate::plan::Habit;
use crate::stream::{PACE, Pace, event};

/// The service that all endpoints serve.
pub const SERVICE: &str = "cases";

/// How often an endpoint announces itself.
const ANNOUNCE_EVERY: Millis = Millis(500);

/// How long an announcement may take.
const ANNOUNCE_PATIENCE: Millis = Millis(700);

/// How long an endpoint serves after it has said that it leaves.
pub const NOTICE: Millis = Millis(3000);

/// By how much the pauses of a slow endpoint's stream are longer; it still ends in its caller's time.
const SLOWER: f64 = 1.4;

/// What all endpoints saw.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<Map<String, Vec<String>>>,
    broken: Mutex<Set<String>>,
    oddities: Mutex<Vec<String>>,
}

/// An endpoint that can be replaced by another start of it, at the same address.
#[derive(Debug)]
pub struct Endpoint {
    name: String,
    address: SocketAddr,
    announced: SocketAddr,
    controls: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    habit: Arc<Mutex<Option<Habit>>>,
    is_leaving: Arc<Mutex<bool>>,
    incarnation: u64,
    tasks: JoinSet<()>,
}

/// What one start of an endpoint needs to answer.
#[derive(Debug)]
struct Life {
    id: String,
    ledger: Arc<Ledger>,
    habit: Arc<Mutex<Option<Habit>>>,
}

/// A part of an answer, or its end before it is whole.
type Part = Result<Bytes, &'static str>;

/// An answer that may break off.
type Answer = UnsyncBoxBody<Bytes, &'static str>;

impl Ledger {
    /// Returns where a request was run, in order.
    pub fn runs(&self, id: &str) -> Vec<String> {
        self.runs.lock().get(id).cloned().unwrap_or_default()
    }

    /// Returns whether an endpoint was told to keep back the answer to a request, or a part of it.
    pub fn is_broken(&self, id: &str) -> bool {
        self.broken.lock().contains(id)
    }

    /// Notes that a request is run at an endpoint.
    pub fn note_run(&self, id: &str, endpoint: &str) {
        self.runs.lock().entry(id.to_owned()).or_default().push(endpoint.to_owned());
    }

    /// Notes that the answer to a request, or a part of it, is kept back.
    pub fn note_broken(&self, id: &str) {
        self.broken.lock().insert(id.to_owned());
    }

    /// Returns what should never have come.
    pub fn oddities(&self) -> Vec<String> {
        self.oddities.lock().clone()
    }

    fn odd(&self, what: String) {
        self.oddities.lock().push(what);
    }
}

impl Endpoint {
    /// Starts an endpoint that listens at `address` and says that it is at `announced`.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start(
        name: String,
        address: SocketAddr,
        announced: SocketAddr,
        controls: Vec<SocketAddr>,
        ledger: Arc<Ledger>,
    ) -> Result<Self> {
        let mut endpoint = Self {
            name,
            address,
            announced,
            controls,
            ledger,
            habit: Arc::default(),
            is_leaving: Arc::default(),
            incarnation: 0,
            tasks: JoinSet::new(),
        };
        endpoint.begin().await?;
        Ok(endpoint)
    }

    /// Gives it a habit, or takes it away.
    pub fn set_habit(&self, habit: Option<Habit>) {
        *self.habit.lock() = habit;
    }

    /// Has it say that it leaves.
    pub fn leave(&self) {
        *self.is_leaving.lock() = true;
    }

    /// Ends it, whatever it does, and starts it anew at the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn replace(&mut self) -> Result<()> {
        self.tasks.shutdown().await;
        self.is_leaving = Arc::default();
        self.begin().await
    }

    async fn begin(&mut self) -> Result<()> {
        self.incarnation += 1;
        let id = format!("{}.{}", self.name, self.incarnation);
        let life = Life { id, ledger: self.ledger.clone(), habit: self.habit.clone() };
        let listener = TcpListener::bind(self.address).await?;
        self.tasks.spawn(serve(listener, Arc::new(life)));
        let announcement = self.announcement();
        let (controls, is_leaving) = (self.controls.clone(), self.is_leaving.clone());
        self.tasks.spawn(announce(announcement, controls, is_leaving));
        Ok(())
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            name: self.name.as_str().into(),
            incarnation: Incarnation(self.incarnation),
            sequence: 0,
            address: self.announced.to_string().into(),
            domain: "a".into(),
            class: Name::default(),
            reclaimable: false,
            price: 0,
            serves: vec![Servable::Service { service: SERVICE.into() }],
            role: Role::Mixed,
            slots: 16,
            prefill_tokens_per_s: 0,
            decode_ms: 0,
            cache_tokens: 0,
            load: Load::default(),
            leaving: None,
            checks_fencing: false,
        }
    }
}

async fn serve(listener: TcpListener, life: Arc<Life>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let life = life.clone();
        let service = service_fn(move |req| answer(life.clone(), req));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async {
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn answer(life: Arc<Life>, req: Request<Incoming>) -> Result<Response<Answer>, &'static str> {
    let (parts, body) = req.into_parts();
    let text = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    let id = text(header::REQUEST_ID).to_owned();
    let (meant, account) = (text(header::ENDPOINT), text(header::ACCOUNT));
    if meant != life.id {
        return Ok(refusal(StatusCode::MISDIRECTED_REQUEST, &id));
    }
    let habit = *life.habit.lock();
    if habit == Some(Habit::Full) {
        return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, &id));
    }
    let Ok(body) = body.collect().await else { return Err("the request broke off") };
    let body = body.to_bytes();
    if text(SUM) != sum(&body) {
        life.ledger.odd(format!("whole_request: {id} came with another body"));
    }
    if account != text(SENT_FOR) || parts.headers.contains_key("authorization") {
        life.ledger.odd(format!("accounts: {id} came for {account:?}, or with the caller's key"));
    }
    life.ledger.note_run(&id, &life.id);
    if matches!(habit, Some(Habit::LoseAnswer | Habit::CutAnswer | Habit::Hang)) {
        life.ledger.note_broken(&id);
    }
    match habit {
        Some(Habit::Slow) => tokio::time::sleep(Duration::from_millis(400)).await,
        Some(Habit::Hang) => std::future::pending().await,
        Some(Habit::LoseAnswer) => return Err("the answer is lost"),
        _ => tokio::time::sleep(Duration::from_millis(5)).await,
    }
    let response = Response::builder().header(header::REQUEST_ID, &id);
    let response = match Pace::from_name(text(PACE)) {
        Some(pace) => {
            let after = text(header::LAST_EVENT_ID).parse().unwrap_or(0);
            let events = (after + 1..=pace.events()).map(|n| event(n, &id, &body, &life.id));
            let gap = pace.gap().mul_f64(if habit == Some(Habit::Slow) { SLOWER } else { 1.0 });
            let answer = answer_of(events.collect(), gap, habit);
            response.header("content-type", header::EVENT_STREAM).body(answer)
        }
        None => {
            let whole = expected(&id, &body, &life.id);
            let halves = vec![whole.slice(..whole.len() / 2), whole.slice(whole.len() / 2..)];
            let answer = answer_of(halves, Duration::ZERO, habit);
            response.header("content-length", whole.len()).body(answer)
        }
    };
    Ok(response.expect("a response of fixed parts"))
}

/// Makes an answer of its parts, each of which comes after a pause. It may break off in the middle of one.
fn answer_of(mut parts: Vec<Bytes>, gap: Duration, habit: Option<Habit>) -> Answer {
    let breaks_off = habit == Some(Habit::CutAnswer);
    if breaks_off {
        parts.truncate(parts.len() / 2 + 1);
        if let Some(last) = parts.last_mut() {
            last.truncate(last.len() / 2);
        }
    }
    let end = breaks_off.then_some(Err("the answer breaks off"));
    let parts: Vec<Part> = parts.into_iter().map(Ok).chain(end).collect();
    let frames = stream::iter(parts).then(move |part| async move {
        if !gap.is_zero() {
            tokio::time::sleep(gap).await;
        }
        part.map(Frame::data)
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Returns the answer to a request, which anybody can work out.
pub fn expected(id: &str, body: &[u8], endpoint: &str) -> Bytes {
    let line = format!("{id} with {} ran at {endpoint}\n", sum(body));
    line.repeat(8).into()
}

fn refusal(status: StatusCode, id: &str) -> Response<Answer> {
    let response = Response::builder()
        .status(status)
        .header(header::REQUEST_ID, id)
        .header(header::NOT_RUN, "true")
        .body(answer_of(Vec::new(), Duration::ZERO, None));
    response.expect("a response of fixed parts")
}

/// Announces an endpoint again and again, to one control instance after the other if one fails.
async fn announce(
    mut announcement: Announcement,
    controls: Vec<SocketAddr>,
    is_leaving: Arc<Mutex<bool>>,
) {
    let mut turn = announcement.incarnation.0 as usize;
    loop {
        announcement.sequence += 1;
        announcement.leaving = is_leaving.lock().then_some(NOTICE);
        let body = serde_json::to_vec(&announcement).expect("it can be written");
        let req = Request::post("/announce")
            .header("host", "control")
            .header("authorization", format!("Bearer {}", key("join-token")))
            .body(Full::new(Bytes::from(body)))
            .expect("a request of fixed parts");
        let sent = exchange::once(controls[turn % controls.len()], req, ANNOUNCE_PATIENCE).await;
        match sent {
            Ok(got) if got.status == 200 => tokio::time::sleep(ANNOUNCE_EVERY.into()).await,
            _ => {
                turn += 1;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}
