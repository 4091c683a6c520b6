//! Endpoints that note which requests they run, and misbehave on demand.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use futures_util::{FutureExt, StreamExt, future, stream};
use http::{HeaderValue, Request, Response, StatusCode, Version};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sill_base::{Map, Millis, Name, Set};
use sill_wire::{Announcement, Incarnation, Load, Role, Servable, header};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::caller::{ACCOUNT_HEADER, CHECKSUM_HEADER, CRASHING_BODY, checksum};
use crate::cluster::key;
use crate::exchange;
use crate::journal::Journal;
use crate::pauses::{PAUSE, Pauses};
use crate::plan::{Misbehavior, Remains};
use crate::rollouts::Versions;
use crate::stream::{PACE_HEADER, Pace, event};

/// Name of the service that all endpoints serve.
pub const SERVICE: &str = "cases";

/// Time for which an address may be in use that was closed.
const CLOSE_TIMEOUT: Millis = Millis(2000);

/// Interval between two tries to listen there.
const LISTEN_INTERVAL: Millis = Millis(1);

/// Interval between the announcements of an endpoint.
const ANNOUNCE_INTERVAL: Millis = Millis(500);

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Millis = Millis(700);

/// Time for which an endpoint still serves after it has announced that it is leaving.
pub const LEAVE_NOTICE: Millis = Millis(3000);

/// Factor by which a slow endpoint extends the pauses of a stream. The stream still ends before its
/// caller's deadline.
const SLOW_FACTOR: f64 = 1.4;

/// Time for which an endpoint still runs after it has begun to end streams for a crash.
const LAST_CHUNKS_TIME: Duration = Duration::from_millis(2);

/// Runs and anomalies that all endpoints have noted.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<Map<String, Vec<String>>>,
    withheld: Mutex<Set<String>>,
    completed: Mutex<Map<String, Millis>>,
    journal: Arc<Journal>,
    anomalies: Mutex<Vec<String>>,
    crashing_runs: AtomicUsize,
    /// Requests that reached endpoints of the versions of roll-outs.
    pub versions: Versions,
    /// Requests that reached endpoints, and the pauses that these asked for.
    pub pauses: Pauses,
}

/// An endpoint that can be replaced by a new incarnation at the same address.
#[derive(Debug)]
pub struct Endpoint {
    name: String,
    address: SocketAddr,
    announced: SocketAddr,
    controls: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
    misbehavior: Arc<Mutex<Option<Misbehavior>>>,
    is_leaving: watch::Sender<bool>,
    first_phase: Phase,
    phase: watch::Sender<Phase>,
    /// Keeps the address open after a crash.
    remnant: Option<TcpListener>,
    incarnation: u64,
    /// Notified when the endpoint runs a request that crashes it.
    crash: Arc<Notify>,
    is_down: bool,
    /// Whether the endpoint is not started yet, or has ended for good.
    is_ended: bool,
    tasks: JoinSet<()>,
}

/// State that one incarnation of an endpoint needs to answer requests.
#[derive(Debug)]
struct EndpointState {
    id: String,
    ledger: Arc<Ledger>,
    misbehavior: Arc<Mutex<Option<Misbehavior>>>,
    phase: watch::Receiver<Phase>,
    crash: Arc<Notify>,
}

/// How an incarnation ends its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// With the last chunk, once they are complete.
    Regular,
    /// By [`Framing::of`], complete: plain answers and streams without a marked end, with
    /// `Connection: close`, and on a connection that stays open.
    Mixed,
    /// A part of them, by [`Framing::of`], by closing the connection.
    Varied,
    /// A part of them early, as the process ends.
    Crashing,
}

/// How a stream of a crashing endpoint ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// It has no chunks and ends with its connection.
    Unframed,
    /// Its last chunk comes early.
    EarlyLastChunk,
    /// Its connection closes without the last chunk.
    Chunked,
}

impl Framing {
    fn of(id: &str) -> Self {
        match id.bytes().map(u32::from).sum::<u32>() % 3 {
            0 => Self::Unframed,
            1 => Self::EarlyLastChunk,
            _ => Self::Chunked,
        }
    }
}

/// A part of an answer, or the error with which it breaks off.
type Chunk = Result<Bytes, &'static str>;

/// The body of an answer, which may break off.
type AnswerBody = UnsyncBoxBody<Bytes, &'static str>;

impl Ledger {
    /// Creates a ledger that times requests by the clock of a journal.
    pub fn new(journal: Arc<Journal>) -> Self {
        let pauses = Pauses::new(journal.clone());
        let versions = Versions::new(journal.clone());
        Self { versions, pauses, journal, ..Self::default() }
    }

    /// Returns the endpoint incarnations that ran a request, in order.
    pub fn runs(&self, id: &str) -> Vec<String> {
        self.runs.lock().get(id).cloned().unwrap_or_default()
    }

    /// Returns whether an endpoint deliberately withheld all or part of the answer to a request.
    pub fn is_withheld(&self, id: &str) -> bool {
        self.withheld.lock().contains(id)
    }

    /// Returns how often endpoints ran a request that crashes them.
    pub fn crashing_runs(&self) -> usize {
        self.crashing_runs.load(Ordering::Relaxed)
    }

    /// Notes that an endpoint incarnation runs a request.
    pub fn note_run(&self, id: &str, endpoint: &str) {
        self.runs.lock().entry(id.to_owned()).or_default().push(endpoint.to_owned());
    }

    /// Notes that all or part of the answer to a request is withheld.
    pub fn note_withheld(&self, id: &str) {
        self.withheld.lock().insert(id.to_owned());
    }

    /// Returns when an endpoint first completed the answer to a request.
    pub fn completed_at(&self, id: &str) -> Option<Millis> {
        self.completed.lock().get(id).copied()
    }

    /// Notes that an endpoint has written all of an answer.
    pub fn note_completed(&self, id: &str) {
        let now = self.journal.now();
        self.completed.lock().entry(id.to_owned()).or_insert(now);
    }

    /// Returns the requests that arrived with a wrong body, account or credential.
    pub fn anomalies(&self) -> Vec<String> {
        self.anomalies.lock().clone()
    }

    fn note_anomaly(&self, what: String) {
        self.anomalies.lock().push(what);
    }
}

impl Endpoint {
    /// Creates an endpoint that will listen on `address` and announce the address `announced`.
    pub fn new(
        name: String,
        address: SocketAddr,
        announced: SocketAddr,
        controls: Vec<SocketAddr>,
        ledger: Arc<Ledger>,
    ) -> Self {
        Self {
            name,
            address,
            announced,
            controls,
            ledger,
            misbehavior: Arc::default(),
            is_leaving: watch::Sender::default(),
            first_phase: Phase::Regular,
            phase: watch::Sender::new(Phase::Regular),
            remnant: None,
            incarnation: 0,
            crash: Arc::default(),
            is_down: false,
            is_ended: true,
            tasks: JoinSet::new(),
        }
    }

    /// Starts the first incarnation.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub async fn start(&mut self) -> Result<()> {
        self.is_ended = false;
        self.start_incarnation().await
    }

    /// Ends the endpoint for good, without draining.
    pub async fn end(&mut self) {
        self.is_ended = true;
        self.remnant = None;
        self.tasks.shutdown().await;
    }

    /// Sets or clears the misbehavior, also of later incarnations.
    pub fn set_misbehavior(&self, misbehavior: Option<Misbehavior>) {
        *self.misbehavior.lock() = misbehavior;
    }

    /// Announces that the endpoint is leaving.
    pub fn start_leaving(&self) {
        self.is_leaving.send_replace(true);
    }

    /// Ends the further answers, also those of later incarnations, in different ways.
    pub fn mix_framings(&mut self) {
        self.first_phase = Phase::Mixed;
        self.phase.send_replace(Phase::Mixed);
    }

    /// Begins a part of the further streams without chunks.
    pub fn vary_framing(&self) {
        self.phase.send_replace(Phase::Varied);
    }

    /// Returns what is notified when the endpoint runs a request that crashes it.
    pub fn crash_signal(&self) -> Arc<Notify> {
        self.crash.clone()
    }

    /// Aborts all tasks of the endpoint.
    pub async fn crash(&mut self) {
        self.is_down = true;
        self.tasks.shutdown().await;
    }

    /// Crashes in the middle of streams, a part of which get their last chunk early.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be kept open.
    pub async fn crash_in_streams(&mut self, remains: Remains) -> Result<()> {
        if self.is_down || self.is_ended {
            return Ok(());
        }
        self.phase.send_replace(Phase::Crashing);
        tokio::time::sleep(LAST_CHUNKS_TIME).await;
        self.crash().await;
        if remains == Remains::Listener {
            self.remnant = Some(listen_again(self.address).await?);
        }
        Ok(())
    }

    /// Starts a new incarnation after a crash, unless the endpoint was replaced meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub async fn restart(&mut self) -> Result<()> {
        if !self.is_down || self.is_ended {
            return Ok(());
        }
        self.start_incarnation().await
    }

    /// Aborts all tasks of the endpoint and starts a new incarnation at the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub async fn replace(&mut self) -> Result<()> {
        if self.is_ended {
            return Ok(());
        }
        self.tasks.shutdown().await;
        self.start_incarnation().await
    }

    async fn start_incarnation(&mut self) -> Result<()> {
        self.incarnation += 1;
        self.is_down = false;
        self.remnant = None;
        self.is_leaving = watch::Sender::default();
        self.phase = watch::Sender::new(self.first_phase);
        let id = format!("{}.{}", self.name, self.incarnation);
        let state = EndpointState {
            id,
            ledger: self.ledger.clone(),
            misbehavior: self.misbehavior.clone(),
            phase: self.phase.subscribe(),
            crash: self.crash.clone(),
        };
        let listener = listen_again(self.address).await?;
        self.tasks.spawn(serve(listener, Arc::new(state)));
        let announcement = self.announcement();
        let (controls, is_leaving) = (self.controls.clone(), self.is_leaving.subscribe());
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
            software: software_of(&format!("{}.{}", self.name, self.incarnation)).into(),
        }
    }
}

async fn serve(listener: TcpListener, state: Arc<EndpointState>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let state = state.clone();
        let service = service_fn(move |req| handle(state.clone(), req));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async {
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn handle(
    state: Arc<EndpointState>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, &'static str> {
    let (parts, body) = req.into_parts();
    let text = |name: &str| parts.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    let id = text(header::REQUEST_ID).to_owned();
    let (addressee, account) = (text(header::ENDPOINT), text(header::ACCOUNT));
    if addressee != state.id {
        return Ok(refusal(StatusCode::MISDIRECTED_REQUEST, &id));
    }
    let misbehavior = state.ledger.versions.note(software_of(&state.id), parts.uri.path());
    let misbehavior = misbehavior.or(*state.misbehavior.lock());
    let is_full = misbehavior == Some(Misbehavior::Full);
    state.ledger.pauses.note(&state.id, &id, is_full);
    if is_full {
        let mut rejection = refusal(StatusCode::SERVICE_UNAVAILABLE, &id);
        let seconds = HeaderValue::from(PAUSE.0 / 1000);
        rejection.headers_mut().insert(header::RETRY_AFTER, seconds);
        return Ok(rejection);
    }
    let Ok(body) = body.collect().await else { return Err("the request body ended early") };
    let body = body.to_bytes();
    if text(CHECKSUM_HEADER) != checksum(&body) {
        state
            .ledger
            .note_anomaly(format!("whole_request: {id} arrived with a body of another checksum"));
    }
    if account != text(ACCOUNT_HEADER) || parts.headers.contains_key("authorization") {
        state.ledger.note_anomaly(format!(
            "accounts: {id} arrived for {account:?}, or with the caller's key"
        ));
    }
    state.ledger.note_run(&id, &state.id);
    if body == CRASHING_BODY {
        state.ledger.crashing_runs.fetch_add(1, Ordering::Relaxed);
        state.crash.notify_one();
        return std::future::pending().await;
    }
    if matches!(
        misbehavior,
        Some(Misbehavior::LoseAnswer | Misbehavior::CutAnswer | Misbehavior::Hang)
    ) {
        state.ledger.note_withheld(&id);
    }
    match misbehavior {
        Some(Misbehavior::Slow) => tokio::time::sleep(Duration::from_millis(400)).await,
        Some(Misbehavior::Hang) => std::future::pending().await,
        Some(Misbehavior::LoseAnswer) => return Err("the endpoint drops the answer"),
        _ => tokio::time::sleep(Duration::from_millis(5)).await,
    }
    let (pace, framing) = (Pace::from_name(text(PACE_HEADER)), Framing::of(&id));
    let phase = *state.phase.borrow();
    let is_varied = phase == Phase::Mixed || pace.is_some() && phase != Phase::Regular;
    let is_unframed = matches!(misbehavior, Some(Misbehavior::Unframed | Misbehavior::UnframedCut))
        || is_varied && framing == Framing::Unframed;
    // With this version the end of a body without a length is marked by closing the connection.
    let version = if is_unframed { Version::HTTP_10 } else { Version::HTTP_11 };
    let mut response = Response::builder().version(version).header(header::REQUEST_ID, &id);
    if phase == Phase::Mixed && framing == Framing::EarlyLastChunk {
        response = response.header("connection", "close");
    }
    let response = match pace {
        Some(pace) => {
            let after = text(header::LAST_EVENT_ID).parse().unwrap_or(0);
            let events = (after + 1..=pace.events()).map(|n| event(n, &id, &body, &state.id));
            let gap = pace.gap().mul_f64(if misbehavior == Some(Misbehavior::Slow) {
                SLOW_FACTOR
            } else {
                1.0
            });
            if misbehavior == Some(Misbehavior::UnframedCut) {
                state.ledger.note_withheld(&id);
            }
            let answer = answer_body(events.collect(), gap, misbehavior);
            let answer = note_end(answer, id, state.ledger.clone());
            let answer = match framing {
                Framing::EarlyLastChunk => end_early(answer, state.phase.clone()),
                Framing::Unframed | Framing::Chunked => answer,
            };
            response.header("content-type", header::EVENT_STREAM).body(answer)
        }
        None => {
            let whole = expected(&id, &body, &state.id);
            let halves = vec![whole.slice(..whole.len() / 2), whole.slice(whole.len() / 2..)];
            // The end of a plain answer without a length can't be told from a cut.
            let misbehavior = misbehavior.filter(|kind| *kind != Misbehavior::UnframedCut);
            let answer = answer_body(halves, Duration::ZERO, misbehavior);
            let answer = note_end(answer, id, state.ledger.clone());
            let response = match is_unframed {
                true => response,
                false => response.header("content-length", whole.len()),
            };
            response.body(answer)
        }
    };
    Ok(response.expect("a response with valid headers"))
}

/// Builds an answer that sends each part after a pause. With `CutAnswer` and `UnframedCut` it ends
/// within a part.
fn answer_body(
    mut parts: Vec<Bytes>,
    gap: Duration,
    misbehavior: Option<Misbehavior>,
) -> AnswerBody {
    let breaks_off = misbehavior == Some(Misbehavior::CutAnswer);
    if breaks_off || misbehavior == Some(Misbehavior::UnframedCut) {
        parts.truncate(parts.len() / 2 + 1);
        if let Some(last) = parts.last_mut() {
            last.truncate(last.len() / 2);
        }
    }
    let end = breaks_off.then_some(Err("the answer breaks off"));
    let parts: Vec<Chunk> = parts.into_iter().map(Ok).chain(end).collect();
    let frames = stream::iter(parts).then(move |part| async move {
        if !gap.is_zero() {
            tokio::time::sleep(gap).await;
        }
        part.map(Frame::data)
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Notes when all of an answer was written, unless part of it is withheld.
fn note_end(answer: AnswerBody, id: String, ledger: Arc<Ledger>) -> AnswerBody {
    let end = stream::poll_fn(move |_| {
        if !ledger.is_withheld(&id) {
            ledger.note_completed(&id);
        }
        Poll::Ready(None)
    });
    StreamBody::new(BodyStream::new(answer).chain(end)).boxed_unsync()
}

/// Ends an answer as if it were complete once its endpoint crashes.
fn end_early(answer: AnswerBody, mut phase: watch::Receiver<Phase>) -> AnswerBody {
    let crash = async move {
        if phase.wait_for(|phase| *phase == Phase::Crashing).await.is_err() {
            future::pending().await
        }
    };
    let frames = BodyStream::new(answer).take_until(crash.boxed());
    StreamBody::new(frames).boxed_unsync()
}

/// Returns the software version of an endpoint incarnation. Names such as `e4-v2` of roll-outs contain
/// it. Otherwise it differs between neighbours, and between an incarnation and the next one.
pub fn software_of(incarnation: &str) -> &str {
    if let Some((_, version)) = incarnation.split_once('-') {
        return version.split_once('.').map_or(version, |(version, _)| version);
    }
    let digits = incarnation.bytes().filter(u8::is_ascii_digit);
    let sum: u32 = digits.map(|digit| u32::from(digit - b'0')).sum();
    if sum.is_multiple_of(2) { "even" } else { "odd" }
}

/// Returns the complete answer to a request, which follows from the arguments alone.
pub fn expected(id: &str, body: &[u8], endpoint: &str) -> Bytes {
    let line = format!("{id} with {} ran at {endpoint}\n", checksum(body));
    line.repeat(8).into()
}

fn refusal(status: StatusCode, id: &str) -> Response<AnswerBody> {
    let response = Response::builder()
        .status(status)
        .header(header::REQUEST_ID, id)
        .header(header::NOT_RUN, "true")
        .body(answer_body(Vec::new(), Duration::ZERO, None));
    response.expect("a response with valid headers")
}

/// Announces an endpoint periodically. After a failure it moves on to the next control instance.
async fn announce(
    mut announcement: Announcement,
    controls: Vec<SocketAddr>,
    mut is_leaving: watch::Receiver<bool>,
) {
    let mut control = announcement.incarnation.0 as usize;
    loop {
        announcement.sequence += 1;
        announcement.leaving = is_leaving.borrow_and_update().then_some(LEAVE_NOTICE);
        let body = serde_json::to_vec(&announcement).expect("an announcement can be serialised");
        let req = Request::post("/announce")
            .header("host", "control")
            .header("authorization", format!("Bearer {}", key("join-token")))
            .body(Full::new(Bytes::from(body)))
            .expect("a request with valid headers");
        let sent =
            exchange::send_once(controls[control % controls.len()], req, ANNOUNCE_TIMEOUT).await;
        match sent {
            Ok(got) if got.status == 200 => {
                let changed = is_leaving.changed();
                let _ = tokio::time::timeout(ANNOUNCE_INTERVAL.into(), changed).await;
            }
            _ => {
                control += 1;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Listens at an address. A process that another thread starts inherits the listener that was closed until
/// it executes its own program.
async fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + Duration::from(CLOSE_TIMEOUT);
    loop {
        match TcpListener::bind(address).await {
            Err(err) if err.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                tokio::time::sleep(LISTEN_INTERVAL.into()).await;
            }
            listener => return listener,
        }
    }
}
