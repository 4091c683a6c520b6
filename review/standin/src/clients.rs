//! Stand-ins of clients, and what they and the servers have seen of each request.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{request, Conn, Message};
use crate::world::Record;

/// What was seen of one client attempt.
#[derive(Debug, Clone, Default)]
pub struct Fate {
    pub kind: &'static str,
    pub machine: String,
    /// Servers that began to run it.
    pub runs: Vec<String>,
    /// The status of the answer; 0 if the connection ended without a complete one.
    pub status: u16,
    pub is_done: bool,
    /// Whether the connection had carried an answer before.
    pub on_kept: bool,
    pub gave_up: bool,
    pub why: String,
}

/// All attempts by id.
pub struct Ledger {
    pub fates: Mutex<BTreeMap<String, Fate>>,
    pub record: Arc<Record>,
    next: AtomicU64,
    /// Attempts that a case has to tell from the others.
    pub marked: Mutex<BTreeSet<String>>,
}

impl Ledger {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            fates: Mutex::default(),
            record,
            next: AtomicU64::new(1),
            marked: Mutex::default(),
        })
    }

    pub fn mark(&self, id: &str) {
        self.marked.lock().unwrap().insert(id.to_owned());
    }

    pub fn new_id(&self) -> String {
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", 0x9c41_0000_0000_0000u64 + n * 0x1_0001)
    }

    pub fn sent(&self, id: &str, kind: &'static str, machine: &str, on_kept: bool) {
        self.record.say(&format!("client: {id} {kind} sent to {machine}"));
        let mut fates = self.fates.lock().unwrap();
        let fate = fates.entry(id.to_owned()).or_default();
        (fate.kind, fate.machine, fate.on_kept) = (kind, machine.to_owned(), on_kept);
    }

    pub fn ran(&self, id: &str, server: &str) {
        self.record.say(&format!("server: {id} runs at {server}"));
        self.fates.lock().unwrap().entry(id.to_owned()).or_default().runs.push(server.to_owned());
    }

    pub fn ended(&self, id: &str, status: u16, why: &str) {
        self.record.say(&format!("client: {id} ended {status} {why}"));
        let mut fates = self.fates.lock().unwrap();
        let fate = fates.entry(id.to_owned()).or_default();
        (fate.status, fate.is_done, fate.why) = (status, true, why.to_owned());
    }

    pub fn gave_up(&self, id: &str) {
        self.fates.lock().unwrap().entry(id.to_owned()).or_default().gave_up = true;
    }
}

/// Sends a request on a kept or a new connection; returns the complete answer.
pub fn exchange(
    conn: &mut Option<Conn>,
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    if conn.is_none() {
        *conn = Some(Conn::connect(address, Duration::from_secs(1))?);
    }
    let open = conn.as_mut().unwrap();
    open.stream.set_read_timeout(Some(limit))?;
    let answer = (|| {
        open.write(&request(method, path, headers, body))?;
        let mut answer = open.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        open.read_body(&mut answer, true)?;
        Ok(answer)
    })();
    let is_kept = answer.as_ref().is_ok_and(|answer: &Message| {
        !answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    });
    if !is_kept {
        *conn = None;
    }
    answer
}

/// How a stream ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEnd {
    /// All chunks with their mark have arrived.
    Whole(Vec<u8>),
    /// An answer that is no success.
    Status(u16),
    /// The connection broke off.
    Broken(String),
    /// Nothing arrived for as long as the client waits.
    GaveUp,
}

/// Sends a request for a stream on a new connection, and reads it. `gap` is how long the client waits
/// for the next part.
pub fn stream(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    gap: Duration,
    limit: Duration,
) -> StreamEnd {
    let started = Instant::now();
    let broken = |err: io::Error| match err.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => StreamEnd::GaveUp,
        _ => StreamEnd::Broken(err.to_string()),
    };
    let mut conn = match Conn::connect(address, Duration::from_secs(1)) {
        Ok(conn) => conn,
        Err(err) => return StreamEnd::Broken(format!("connect: {err}")),
    };
    let _ = conn.stream.set_read_timeout(Some(gap));
    if let Err(err) = conn.write(&request("POST", path, headers, body)) {
        return broken(err);
    }
    let mut head = match conn.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return StreamEnd::Broken("closed before an answer".into()),
        Err(err) => return broken(err),
    };
    if head.status() != 200 {
        let _ = conn.read_body(&mut head, true);
        return StreamEnd::Status(head.status());
    }
    let is_chunked = head.header("transfer-encoding").is_some();
    let mut raw = Vec::new();
    loop {
        if started.elapsed() > limit {
            return StreamEnd::GaveUp;
        }
        match conn.read_some(1 << 16) {
            Ok(part) => raw.extend(part),
            Err(err) if err.kind() == io::ErrorKind::UnexpectedEof && !is_chunked => {
                return StreamEnd::Whole(raw)
            }
            Err(err) => return broken(err),
        }
        if is_chunked && raw.ends_with(b"0\r\n\r\n") {
            return StreamEnd::Whole(raw);
        }
    }
}
