//! Entry instances inside the test process, with a claims' log and endpoints that fail by script.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use log::LevelFilter;
use parking_lot::Mutex;
use serde_json::json;
use sill_base::{Millis, Secret};
use sill_entry::{Entry, EntryCfg};
use sill_flight::ClaimTable;
use sill_net::{PeerServer, PeerServerBuilder};
use sill_standin::loopback::free_addresses;
use sill_tree::KeyHash;
use sill_wire::claim::{ClaimAsk, ClaimBatch, ClaimReply, ClaimVerdict};
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedPoll, FeedReply};

pub const CLUSTER_KEY: &str = "test-cluster-key";
const JOIN_TOKEN: &str = "test-join-token";
const CALLER_KEY: &str = "test-caller-key";
const TIMEOUT: Duration = Duration::from_secs(60);

/// A control instance that serves one settings document and the claims' log.
pub struct FakeControl {
    pub address: SocketAddr,
    /// Whether a quorum is reached.
    pub has_quorum: Arc<AtomicBool>,
    /// Whether verdicts are lost on their way back.
    pub loses_verdicts: Arc<AtomicBool>,
    /// How many more batches that contain only releases are lost.
    pub lost_releases: Arc<AtomicU32>,
    /// How many more verdicts omit the outcome, as if the log did not have it yet.
    pub late_outcomes: Arc<AtomicU32>,
    _server: PeerServer,
    _runtime: tokio::runtime::Runtime,
}

/// What a scripted endpoint does with each request.
#[derive(Debug, Clone, Copy)]
pub enum Script {
    /// Reads the complete request and closes the connection.
    CloseWithoutReply,
    /// Announces a longer body than it sends.
    TruncatedBody,
    /// Sends a part of a body without a length and resets the connection.
    UnframedReset,
    /// Sends a body without a length and closes the connection.
    UnframedBody,
    /// Sends a complete answer whose status is none of HTTP's.
    UnknownStatus,
    /// Answers each request with the next of these statuses and fields and an error in chunks, and closes
    /// the connection.
    ErrorInChunks(&'static [String]),
    /// Sends one token and ends the chunked encoding correctly, but without the end marker.
    NoEndMarker,
    /// Streams tokens of many bytes as long as they are read.
    EndlessStream,
}

/// An endpoint on a bare socket.
pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    /// Number of complete requests received.
    pub requests: Arc<AtomicU32>,
    /// Number of tokens sent in endless streams.
    pub tokens: Arc<AtomicU32>,
}

/// A complete HTTP answer; the head is in lower case.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl FakeControl {
    pub fn start() -> Self {
        let mut runtime = tokio::runtime::Builder::new_multi_thread();
        let runtime = runtime.worker_threads(1).enable_all().build().expect("build a runtime");
        let has_quorum = Arc::new(AtomicBool::new(true));
        let loses_verdicts = Arc::new(AtomicBool::new(false));
        let late_outcomes = Arc::new(AtomicU32::new(0));
        let lost_releases = Arc::new(AtomicU32::new(0));
        let table = Arc::new(Mutex::new(ClaimTable::default()));
        let mut server = PeerServerBuilder::new(Secret::new(CLUSTER_KEY));
        server.answer(|poll: FeedPoll| async move {
            if poll.have >= Revision(1) {
                tokio::time::sleep(poll.wait.into()).await;
                return Ok(FeedReply::Current);
            }
            Ok(FeedReply::Changes { changes: vec![settings()] })
        });
        let (quorum, loses) = (has_quorum.clone(), loses_verdicts.clone());
        let (outcomes_left, releases_left) = (late_outcomes.clone(), lost_releases.clone());
        server.answer(move |batch: ClaimBatch| {
            let is_release = |ask: &ClaimAsk| matches!(ask, ClaimAsk::Release { .. });
            // As in the log, a batch is applied completely or not at all.
            let is_lost = batch.asks.iter().all(is_release) && count_down(&releases_left);
            let mut verdicts: Vec<ClaimVerdict> = batch
                .asks
                .iter()
                .map(|ask| match quorum.load(Ordering::Relaxed) && !is_lost {
                    true => table.lock().apply(Millis::wall(), ask),
                    false => ClaimVerdict::Unavailable,
                })
                .collect();
            for verdict in &mut verdicts {
                let ClaimVerdict::Taken { outcome, .. } = verdict else { continue };
                if count_down(&outcomes_left) {
                    *outcome = None;
                }
            }
            if loses.load(Ordering::Relaxed) {
                verdicts.fill(ClaimVerdict::Unavailable);
            }
            async move { Ok(ClaimReply { verdicts }) }
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let server = {
            let _guard = runtime.enter();
            server.start(listener).expect("start the control server")
        };
        let address = server.address();
        Self {
            address,
            has_quorum,
            loses_verdicts,
            lost_releases,
            late_outcomes,
            _server: server,
            _runtime: runtime,
        }
    }
}

/// Decrements the counter unless it is zero; returns whether it was decremented.
fn count_down(left: &AtomicU32) -> bool {
    let decrement = |left: u32| left.checked_sub(1);
    left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
}

fn settings() -> Change {
    let document = json!({
        "services": {
            "desk-7b": { "kind": "model" },
            "notices": {
                "kind": "plain",
                "non_idempotent": [{ "method": "POST", "path": "/send" }],
            },
        },
        "accounts": { "clerks": { "keys": [KeyHash::of(CALLER_KEY)] } },
    });
    let (path, author) = ("ga".into(), "test".into());
    Change { revision: Revision(1), path, author, document: Some(document) }
}

/// Starts entry instances of one failure domain as peers of each other.
pub fn start_entries(control: &FakeControl, count: usize) -> Vec<Entry> {
    if std::env::var_os("SILL_TEST_LOG").is_some() {
        // Another test of the process may have started it.
        let _ = sill_setup::logs::start(LevelFilter::Info);
    }
    let peers = free_addresses(count).expect("reserve free ports");
    let started = (0..count).map(|i| {
        Entry::start(EntryCfg {
            name: format!("e{i}").into(),
            domain: "a".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            listen_peer: peers[i],
            control: vec![control.address],
            peers: peers.iter().copied().filter(|p| *p != peers[i]).collect(),
            record: None,
            data: None,
            cluster_key: Secret::new(CLUSTER_KEY),
            join_token: Secret::new(JOIN_TOKEN),
            workers: 2,
            max_body: 1 << 20,
            max_in_flight: 1000,
            drain_notice: Millis(100),
            drain_limit: Millis(10_000),
        })
        .expect("entry instance should start")
    });
    let started: Vec<Entry> = started.collect();
    wait_until("all entry instances are ready", || started.iter().all(Entry::is_ready));
    started
}

impl ScriptedEndpoint {
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("address of the bound listener");
        let (requests, tokens) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let counts = (requests.clone(), tokens.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (requests, tokens) = counts.clone();
                thread::spawn(move || serve(stream, script, &requests, &tokens));
            }
        });
        Self { address, requests, tokens }
    }

    /// Announces this endpoint to an entry instance for a model and a plain service.
    pub fn announce(&self, entry: SocketAddr, name: &str) {
        announce(entry, name, &self.address.to_string());
    }
}

/// Announces an endpoint periodically until the entry instance is gone.
pub fn announce(entry: SocketAddr, name: &str, address: &str) {
    let (name, address) = (name.to_owned(), address.to_owned());
    thread::spawn(move || {
        for sequence in 1.. {
            let announcement = json!({
                "name": name, "incarnation": 1, "sequence": sequence, "address": address,
                "domain": "a", "slots": 8,
                "serves": [
                    { "kind": "model", "model": "desk-7b" },
                    { "kind": "service", "service": "notices" },
                ],
            });
            let token = format!("authorization: Bearer {JOIN_TOKEN}");
            let headers = [token.as_str(), "content-type: application/json"];
            if http(entry, "POST", "/announce", &headers, &announcement.to_string()).is_none() {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
}

fn serve(mut stream: TcpStream, script: Script, requests: &AtomicU32, tokens: &AtomicU32) {
    if read_request(&mut stream).is_none() {
        return;
    }
    let number = requests.fetch_add(1, Ordering::Relaxed) as usize;
    let answer = match script {
        Script::CloseWithoutReply => return,
        Script::TruncatedBody => {
            "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf an ans".to_owned()
        }
        Script::UnframedReset => return send_and_reset(&mut stream),
        Script::UnframedBody => "HTTP/1.1 200 OK\r\n\r\nwhole".to_owned(),
        Script::UnknownStatus => "HTTP/1.1 600 x\r\ncontent-length: 2\r\n\r\nok".to_owned(),
        Script::ErrorInChunks(heads) => format!("HTTP/1.1 {}\r\n{ERROR_CHUNKS}", heads[number]),
        Script::NoEndMarker => format!("{STREAM_HEAD}{}0\r\n\r\n", token(0, "a")),
        Script::EndlessStream => return send_endless_stream(&mut stream, tokens),
    };
    let _ = stream.write_all(answer.as_bytes());
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                           transfer-encoding: chunked\r\n\r\n";

/// An error of an endpoint, `{"error":{}}`, as one chunk.
const ERROR_CHUNKS: &str = "c\r\n{\"error\":{}}\r\n0\r\n\r\n";

/// Returns an HTTP chunk with the event of one token.
fn token(index: u32, content: &str) -> String {
    let data = json!({ "id": "x", "choices": [{ "delta": { "content": content } }] });
    let event = format!("id: {index}\ndata: {data}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

fn send_and_reset(stream: &mut TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf an ans");
    // The bytes must arrive before the reset does.
    thread::sleep(Duration::from_millis(200));
    let socket = socket2::SockRef::from(&*stream);
    socket.set_linger(Some(Duration::ZERO)).expect("set the socket option");
}

fn send_endless_stream(stream: &mut TcpStream, tokens: &AtomicU32) {
    let content = "a".repeat(16 << 10);
    let mut is_read = stream.write_all(STREAM_HEAD.as_bytes()).is_ok();
    while is_read {
        let index = tokens.fetch_add(1, Ordering::Relaxed);
        is_read = stream.write_all(token(index, &content).as_bytes()).is_ok();
    }
}

fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        all.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&all).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.and_then(|l| l.trim().parse().ok()).unwrap_or(0) {
            return Some(());
        }
    }
}

/// Waits until a condition holds.
pub fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out after {TIMEOUT:?} waiting until {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Sends a caller's request.
pub fn call(to: SocketAddr, path: &str, headers: &[&str], body: &str) -> Answer {
    let authorization = format!("authorization: Bearer {CALLER_KEY}");
    let mut all = vec![authorization.as_str(), "content-type: application/json"];
    all.extend(headers);
    http(to, "POST", path, &all, body).expect("the entry instance should answer")
}

/// Repeats a caller's request until the entry instance has sent it to an endpoint.
pub fn call_until_routed(to: SocketAddr, path: &str, headers: &[&str], body: &str) -> Answer {
    let mut answer = None;
    wait_until("the request is routed", || {
        let reply = call(to, path, headers, body);
        let id = reply.head.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
        let explain = format!("/explain/{}", id.expect("the answer has a request id"));
        let token = format!("authorization: Bearer {JOIN_TOKEN}");
        let record =
            http(to, "GET", &explain, &[&token], "").expect("the entry instance should answer");
        answer = Some(reply);
        record.body.contains("sent to ")
    });
    answer.expect("the entry instance should answer")
}

/// Reads a metric of an entry instance; 0 if it is missing.
pub fn metric(entry: SocketAddr, name: &str) -> u64 {
    let text =
        http(entry, "GET", "/metrics", &[], "").expect("the entry instance should answer").body;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_default()
}

fn http(to: SocketAddr, method: &str, path: &str, headers: &[&str], body: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let headers: String = headers.iter().map(|h| format!("{h}\r\n")).collect();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    // A stream that is aborted on purpose ends with a read error; the bytes before it are the
    // answer.
    let _ = stream.read_to_string(&mut answer);
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head: head.to_lowercase(), body: body.to_owned() })
}
