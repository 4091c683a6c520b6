//! A pool of client connections that are kept open between requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sill_base::{Clock, Map, Millis, event};
use tokio::net::TcpStream;

use crate::h1::server::set_socket_options;

/// Settings of a [`ConnectionPool`].
#[derive(Debug, Clone, Copy)]
pub struct ConnectionPoolCfg {
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
    idle: Arc<Mutex<Map<SocketAddr, Vec<IdleConnection>>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    expires_at: Millis,
    idle_since: Millis,
}

/// A response whose body has not been read yet, with its connection.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers and the unread body.
    pub response: Response<Incoming>,
    /// Whether the connection was opened for this request.
    pub is_new: bool,
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
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
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
        mut req: Request<Full<Bytes>>,
        max_idle: Millis,
    ) -> Result<Answer, SendFailure> {
        while let Some(sender) = self.take_idle(address, max_idle) {
            match self.exchange(address, sender, req, false).await {
                Ok(answer) => return Ok(answer),
                Err(ExchangeFailure { unsent: Some(unsent), .. }) => req = *unsent,
                Err(failure) => return Err(SendFailure::Unknown(failure.reason)),
            }
        }
        let sender = self.connect(address).await;
        let sender = sender.map_err(|err| SendFailure::NotSent(err.reason))?;
        self.exchange(address, sender, req, true).await.map_err(|failure| match failure.unsent {
            Some(_) => SendFailure::NotSent(failure.reason),
            None => SendFailure::Unknown(failure.reason),
        })
    }

    /// Returns whether connections to an address are refused or closed within `wait`, as after the
    /// end of the process that listened there. A connection that stays open is kept for the next
    /// request.
    pub async fn is_refused(&self, address: SocketAddr, wait: Millis) -> bool {
        match self.connect(address).await {
            Ok(sender) => {
                // A proxy in front of a process that has ended accepts connections and closes them.
                tokio::time::sleep(wait.into()).await;
                if sender.is_closed() {
                    return true;
                }
                self.keep(address, sender, self.cfg.idle_timeout - self.cfg.keep_alive_margin);
                false
            }
            Err(err) => err.is_refused,
        }
    }

    fn keep(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>, keep_alive: Millis) {
        let idle_since = self.clock.now();
        let idle = IdleConnection { sender, idle_since, expires_at: idle_since + keep_alive };
        self.idle.lock().entry(address).or_default().push(idle);
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the response does not arrive completely.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        max_idle: Millis,
    ) -> Result<(StatusCode, Bytes), String> {
        let answer = self.send(address, req, max_idle).await;
        let (response, connection) = answer.map_err(|err| format!("{err:?}"))?.into_parts();
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|err| err.to_string())?;
        if let Some(connection) = connection {
            connection.release();
        }
        Ok((status, body.to_bytes()))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: SendRequest<Full<Bytes>>,
        req: Request<Full<Bytes>>,
        is_new: bool,
    ) -> Result<Answer, ExchangeFailure> {
        let response = match sender.try_send_request(req).await {
            Ok(response) => response,
            Err(mut err) => {
                let unsent = err.take_message().map(Box::new);
                return Err(ExchangeFailure { unsent, reason: error_text(err.error()) });
            }
        };
        let connection = keep_alive(&response, self.cfg).map(|keep_alive| BorrowedConnection {
            sender,
            address,
            keep_alive,
            pool: self.clone(),
        });
        Ok(Answer { response, is_new, connection })
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<SendRequest<Full<Bytes>>, ConnectFailure> {
        let connecting =
            tokio::time::timeout(self.cfg.connect_timeout.into(), TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(err.into()),
            Err(_) => {
                let reason = format!("no connection within {} ms", self.cfg.connect_timeout);
                return Err(ConnectFailure { is_refused: false, reason });
            }
        };
        set_socket_options(&stream, self.cfg.unacknowledged_timeout)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| ConnectFailure { is_refused: false, reason: err.to_string() })?;
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                event!(Debug, "endpoint_connection_ended", address = address, error = err);
            }
        });
        Ok(sender)
    }

    /// Takes the most recently used connection, so that surplus connections stay idle and expire.
    fn take_idle(&self, address: SocketAddr, max_idle: Millis) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| now < idle.expires_at && !idle.sender.is_closed());
        let index = connections
            .iter()
            .rposition(|idle| now - idle.idle_since <= max_idle && idle.sender.is_ready())?;
        Some(connections.remove(index).sender)
    }

    /// Drops idle connections that have expired or were closed; returns how many remain.
    pub fn expire(&self) -> usize {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at && !idle.sender.is_closed());
            !connections.is_empty()
        });
        idle.values().map(Vec::len).sum()
    }

    /// Drops the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }
}

impl Answer {
    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> Framing {
        let body = self.response.body();
        if body.is_end_stream() {
            return Framing::Empty;
        }
        if is_chunked(self.response.headers()) {
            return Framing::Chunked;
        }
        match body.size_hint().exact() {
            Some(_) => Framing::Length,
            None => Framing::Close,
        }
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
    /// Returns the connection to its pool.
    pub fn release(self) {
        let BorrowedConnection { sender, address, keep_alive, pool } = self.0;
        pool.keep(address, sender, keep_alive);
    }
}

/// Why there is no connection.
struct ConnectFailure {
    /// Whether the host has refused the connection.
    is_refused: bool,
    reason: String,
}

impl From<io::Error> for ConnectFailure {
    fn from(err: io::Error) -> Self {
        let is_refused = err.kind() == io::ErrorKind::ConnectionRefused;
        Self { is_refused, reason: err.to_string() }
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

fn is_chunked(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let last = encodings.next_back().and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
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

fn error_text(err: &hyper::Error) -> String {
    use std::error::Error;
    match err.source() {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}
