//! A pool of client connections that are kept open between requests.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sill_base::{Clock, Map, Millis, Set, event};
use tokio::net::TcpStream;

use crate::framing::{DeclaredEnd, declared_end};
use crate::h1::endpoint_stream::{EndpointStream, StreamState};
use crate::h1::server::{connect, set_socket_options};
use crate::h1::tunnel::{self, TunnelFailure, TunnelRequest};

/// Longest body of a response that is read as a whole, in bytes. These are short messages of a few
/// hundred bytes, not answers for callers.
pub const MAX_FETCHED_BYTES: usize = 64 << 10;

/// Upper bound on the bytes that are read ahead on a connection, and so on the head of a response.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Settings of a [`ConnectionPool`].
#[derive(Debug, Clone, Copy)]
pub struct ConnectionPoolCfg {
    /// Address from which connections are opened; the system's choice if there is none.
    pub source: Option<IpAddr>,
    /// Time-out for opening a connection.
    pub connect_timeout: Millis,
    /// Time for which sent data may remain unacknowledged by the peer before the connection fails.
    pub unacknowledged_timeout: Millis,
    /// Time for which an idle connection is kept if the endpoint states no keep-alive time-out.
    pub idle_timeout: Millis,
    /// Subtracted from the keep-alive time-out that an endpoint states, so that a request is not in
    /// flight while the endpoint closes the connection.
    pub keep_alive_margin: Millis,
}

/// Why a request has no response.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been run.
    Unknown(String),
}

/// A pool of connections by address. Clones share the connections.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    cfg: ConnectionPoolCfg,
    clock: Clock,
    idle: Arc<Mutex<Map<Target, Vec<IdleConnection>>>>,
}

/// Where a connection leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Target {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The address of the process that carries the connection as a tunnel, if it is one.
    pub via: Option<SocketAddr>,
}

/// An open connection that carries no request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    target: Target,
    opened_at: Millis,
    stream: Arc<StreamState>,
}

/// A connection through another process.
#[derive(Debug)]
pub struct Tunnel {
    /// The connection.
    pub connection: Connection,
    /// Time since any endpoint was heard by that process; none if it doesn't say so.
    pub answered_age: Option<Millis>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Millis,
    idle_since: Millis,
}

/// What a new connection shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// It stays open.
    Open,
    /// It was accepted and closed, as by a proxy in front of a process that has ended.
    Closed,
    /// It was refused, as after the end of the process that listened there.
    Refused,
    /// It was not accepted in time, or failed otherwise.
    Failed,
}

/// The outcome of a request that is only sent on a kept connection.
#[derive(Debug)]
// One exists per request, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
pub enum KeptOutcome {
    /// The head of the response has arrived.
    Answered(Answer),
    /// The request may have been run.
    Unknown(String),
    /// There is no usable connection; no byte of the request was sent.
    NoConnection(Request<Full<Bytes>>),
}

/// A response whose body has not been read yet, with its connection.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers and the unread body.
    pub response: Response<Incoming>,
    /// Whether the connection was opened for this request.
    pub is_new: bool,
    /// When the connection was opened.
    pub opened_at: Millis,
    framing: Framing,
    connection: Option<BorrowedConnection>,
}

/// How the end of a response's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// The body has a length.
    Length,
    /// The body is sent in chunks, of which the last is marked.
    Chunked,
    /// The body ends with its connection. An endpoint that fails may close the connection in the
    /// same way, so the end is no proof that the body is complete.
    Close,
}

#[derive(Debug)]
struct BorrowedConnection {
    connection: Connection,
    keep_alive: Millis,
    pool: ConnectionPool,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(cfg: ConnectionPoolCfg, clock: Clock) -> Self {
        Self { cfg, clock, idle: Arc::default() }
    }

    /// Sends a request and returns once the response's head has arrived. Only connections that have
    /// been idle for at most `max_idle` are reused.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened or the response's head does not arrive.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        max_idle: Millis,
    ) -> Result<Answer, SendFailure> {
        let target = Target { address, via: None };
        let req = match self.send_kept(target, req, max_idle).await {
            KeptOutcome::Answered(answer) => return Ok(answer),
            KeptOutcome::Unknown(reason) => return Err(SendFailure::Unknown(reason)),
            KeptOutcome::NoConnection(req) => req,
        };
        let connection = self.connect(address).await;
        let connection = connection.map_err(|err| SendFailure::NotSent(err.reason))?;
        self.send_on(connection, req).await
    }

    /// Sends a request on a connection that has been idle for at most `max_idle`, if there is one,
    /// and returns once the response's head has arrived.
    pub async fn send_kept(
        &self,
        target: Target,
        mut req: Request<Full<Bytes>>,
        max_idle: Millis,
    ) -> KeptOutcome {
        while let Some(connection) = self.take_idle(target, max_idle) {
            match self.exchange(connection, req, false).await {
                Ok(answer) => return KeptOutcome::Answered(answer),
                Err(ExchangeFailure { unsent: Some(unsent), .. }) => req = *unsent,
                Err(failure) => return KeptOutcome::Unknown(failure.reason),
            }
        }
        KeptOutcome::NoConnection(req)
    }

    /// Sends a request on a new connection and returns once the response's head has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the response's head does not arrive.
    pub async fn send_on(
        &self,
        connection: Connection,
        req: Request<Full<Bytes>>,
    ) -> Result<Answer, SendFailure> {
        self.exchange(connection, req, true).await.map_err(|failure| match failure.unsent {
            Some(_) => SendFailure::NotSent(failure.reason),
            None => SendFailure::Unknown(failure.reason),
        })
    }

    /// Opens a connection and waits whether it is closed within `wait`. One that stays open is kept
    /// for the next request.
    pub async fn probe(&self, address: SocketAddr, wait: Millis) -> Probe {
        match self.connect(address).await {
            Ok(connection) => {
                // A proxy in front of a process that has ended accepts connections and closes them.
                tokio::time::sleep(wait.into()).await;
                if connection.is_closed() {
                    return Probe::Closed;
                }
                self.keep_unused(connection);
                Probe::Open
            }
            Err(err) if err.is_refused => Probe::Refused,
            Err(err) if err.is_reset => Probe::Closed,
            Err(_) => Probe::Failed,
        }
    }

    /// Keeps a connection on which no request was sent for a later one, unless there is another:
    /// connections that were opened to find out something must not add up at an endpoint.
    pub fn keep_unused(&self, connection: Connection) {
        let has_other =
            self.idle.lock().get(&connection.target).is_some_and(|idle| !idle.is_empty());
        if !has_other {
            self.keep(connection, self.cfg.idle_timeout - self.cfg.keep_alive_margin);
        }
    }

    fn keep(&self, connection: Connection, keep_alive: Millis) {
        let (target, idle_since) = (connection.target, self.clock.now());
        let idle = IdleConnection { connection, idle_since, expires_at: idle_since + keep_alive };
        self.idle.lock().entry(target).or_default().push(idle);
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the response does not arrive completely or is longer than [`MAX_FETCHED_BYTES`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        max_idle: Millis,
    ) -> Result<(StatusCode, Bytes), String> {
        let answer = self.send(address, req, max_idle).await;
        let (response, connection) = answer.map_err(|err| format!("{err:?}"))?.into_parts();
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_FETCHED_BYTES).collect().await;
        let body = body.map_err(|err| err.to_string())?;
        if let Some(connection) = connection {
            connection.release();
        }
        Ok((status, body.to_bytes()))
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
        is_new: bool,
    ) -> Result<Answer, ExchangeFailure> {
        connection.stream.begin_request();
        let mut response = match connection.sender.try_send_request(req).await {
            Ok(response) => response,
            Err(mut err) => {
                let unsent = err.take_message().map(Box::new);
                return Err(ExchangeFailure { unsent, reason: error_text(err.error()) });
            }
        };
        let framing = read_framing(&mut response);
        let framing = framing.map_err(|reason| ExchangeFailure { unsent: None, reason })?;
        let opened_at = connection.opened_at;
        let connection = keep_alive(&response, self.cfg).map(|keep_alive| BorrowedConnection {
            connection,
            keep_alive,
            pool: self.clone(),
        });
        Ok(Answer { response, framing, is_new, opened_at, connection })
    }

    /// Opens a connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the address refuses it or does not accept it in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectFailure> {
        let stream = self.open(address).await?;
        self.start(stream, Target { address, via: None }).await
    }

    /// Opens a tunnel to an endpoint through the process at `relay`, which has `timeout` to reach
    /// the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be reached, declines or does not reach the endpoint.
    pub async fn connect_through(
        &self,
        relay: SocketAddr,
        req: &TunnelRequest,
        timeout: Millis,
    ) -> Result<Tunnel, TunnelFailure> {
        let stream = self.open(relay).await.map_err(|err| TunnelFailure::Relay(err.reason))?;
        let tunnel = tokio::time::timeout(timeout.into(), tunnel::open(stream, req));
        let (stream, answered_age) = tunnel.await.unwrap_or_else(|_| {
            Err(TunnelFailure::Relay(format!("no answer within {timeout} ms")))
        })?;
        let target = Target { address: req.address, via: Some(relay) };
        let connection = self.start(stream, target).await;
        let connection = connection.map_err(|err| TunnelFailure::Relay(err.reason))?;
        Ok(Tunnel { connection, answered_age })
    }

    async fn open(&self, address: SocketAddr) -> Result<TcpStream, ConnectFailure> {
        let connecting = tokio::time::timeout(
            self.cfg.connect_timeout.into(),
            connect(self.cfg.source, address),
        );
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(err.into()),
            Err(_) => {
                let reason = format!("no connection within {} ms", self.cfg.connect_timeout);
                return Err(ConnectFailure { is_refused: false, is_reset: false, reason });
            }
        };
        set_socket_options(&stream, self.cfg.unacknowledged_timeout)?;
        Ok(stream)
    }

    /// Prepares an open connection for requests.
    async fn start(&self, stream: TcpStream, target: Target) -> Result<Connection, ConnectFailure> {
        let stream = EndpointStream::new(stream, self.cfg.unacknowledged_timeout);
        let state = stream.state().clone();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|err| ConnectFailure {
            is_refused: false,
            is_reset: false,
            reason: err.to_string(),
        })?;
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                event!(Debug, "endpoint_connection_ended", address = target.address, error = err);
            }
        });
        Ok(Connection { sender, target, opened_at: self.clock.now(), stream: state })
    }

    /// Takes the most recently used connection, so that surplus connections stay idle and expire.
    fn take_idle(&self, target: Target, max_idle: Millis) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&target)?;
        connections.retain(|idle| now < idle.expires_at && !idle.connection.is_closed());
        let index = connections.iter().rposition(|idle| {
            now - idle.idle_since <= max_idle && idle.connection.sender.is_ready()
        })?;
        Some(connections.remove(index).connection)
    }

    /// Returns the addresses to which a connection has been idle for at most `max_idle`, without those
    /// in tunnels.
    pub fn idle_addresses(&self, max_idle: Millis) -> Set<SocketAddr> {
        let now = self.clock.now();
        let idle = self.idle.lock();
        let is_usable = |idle: &IdleConnection| {
            now < idle.expires_at
                && now - idle.idle_since <= max_idle
                && !idle.connection.is_closed()
        };
        let usable = idle.iter().filter(|(target, connections)| {
            target.via.is_none() && connections.iter().any(is_usable)
        });
        usable.map(|(target, _)| target.address).collect()
    }

    /// Drops idle connections that have expired or were closed; returns how many remain.
    pub fn expire(&self) -> usize {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at && !idle.connection.is_closed());
            !connections.is_empty()
        });
        idle.values().map(Vec::len).sum()
    }

    /// Drops the idle connections to an address, and tunnels to it.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().retain(|target, _| target.address != address);
    }

    /// Drops the idle connections to an address, but not tunnels to it.
    pub fn close_direct(&self, address: SocketAddr) {
        self.idle.lock().remove(&Target { address, via: None });
    }

    /// Drops the idle tunnels through a process.
    pub fn close_tunnels(&self, relay: SocketAddr) {
        self.idle.lock().retain(|target, _| target.via != Some(relay));
    }
}

impl Connection {
    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.stream.is_closed()
    }
}

impl Answer {
    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Splits the answer into the response and its connection, which must be released once the body
    /// has been read completely. There is none if the connection can't be reused.
    pub fn into_parts(self) -> (Response<Incoming>, Option<ReusableConnection>) {
        (self.response, self.connection.map(ReusableConnection))
    }
}

/// A connection that can be reused once the response on it has been read completely.
///
/// If it is dropped instead of released, it is closed: the unread rest of the response must not be
/// taken for the response to another request.
#[derive(Debug)]
pub struct ReusableConnection(BorrowedConnection);

impl ReusableConnection {
    /// Waits whether the other side closes the connection within `wait`, and returns whether it does.
    pub async fn is_closed_within(&self, wait: Millis) -> bool {
        tokio::time::sleep(wait.into()).await;
        self.0.connection.is_closed()
    }

    /// Takes the connection out of its pool, for another request of the same caller.
    pub fn into_connection(self) -> Connection {
        self.0.connection
    }

    /// Returns the connection to its pool.
    pub fn release(self) {
        let BorrowedConnection { connection, keep_alive, pool } = self.0;
        pool.keep(connection, keep_alive);
    }
}

/// Why there is no connection.
#[derive(Debug)]
pub struct ConnectFailure {
    /// Whether the host has refused the connection.
    pub is_refused: bool,
    /// Whether the host has accepted the connection and reset it before it could be used.
    pub is_reset: bool,
    /// The error, for people.
    pub reason: String,
}

impl From<io::Error> for ConnectFailure {
    fn from(err: io::Error) -> Self {
        let is_refused = err.kind() == io::ErrorKind::ConnectionRefused;
        let is_reset = err.kind() == io::ErrorKind::ConnectionReset;
        Self { is_refused, is_reset, reason: err.to_string() }
    }
}

/// Why a request on one connection has no response.
struct ExchangeFailure {
    /// The request, if no byte of it was sent.
    unsent: Option<Box<Request<Full<Bytes>>>>,
    reason: String,
}

impl Framing {
    /// Returns the name for log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// Returns whether a status is one of a final answer. A switch of protocols is never asked for.
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Returns how the body of a response is framed, or why the response is no answer. A length that is
/// repeated is left in its head once, as the head is passed on.
fn read_framing(response: &mut Response<Incoming>) -> Result<Framing, String> {
    let status = response.status().as_u16();
    if !is_final(status) {
        return Err(format!("status {status} ends no request"));
    }
    let fields = response.headers().iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let end = declared_end(status, fields).map_err(|err| err.to_string())?;
    if let DeclaredEnd::Length(length) = end {
        response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    }
    Ok(match end {
        _ if response.body().is_end_stream() => Framing::Empty,
        DeclaredEnd::Chunks => Framing::Chunked,
        DeclaredEnd::Length(_) => Framing::Length,
        DeclaredEnd::Connection => Framing::Close,
    })
}

/// Returns how long a connection may be kept idle after a response, or `None` if it can't be
/// reused.
fn keep_alive(response: &Response<Incoming>, cfg: ConnectionPoolCfg) -> Option<Millis> {
    let text = |name: http::HeaderName| response.headers().get(name).and_then(|v| v.to_str().ok());
    if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let header = response.headers().get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = header.and_then(|value| {
        let mut fields = value.split(',').map(str::trim);
        let timeout = fields.find_map(|field| field.strip_prefix("timeout="))?;
        timeout.parse().ok().map(Millis::from_secs)
    });
    let keep_alive = timeout.map_or(cfg.idle_timeout, |timeout| timeout - cfg.keep_alive_margin);
    (keep_alive > Millis::ZERO).then_some(keep_alive)
}

/// Returns the text of an error with its cause, which the error itself leaves out.
pub fn error_text(err: &hyper::Error) -> String {
    use std::error::Error;
    match err.source() {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}
