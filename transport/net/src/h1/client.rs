//! Connections to endpoints, kept open between requests.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sill_base::{Clock, Map, Millis, event};
use tokio::net::TcpStream;

use crate::h1::server::prepare;

/// Settings of connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionPoolCfg {
    /// Time that a new connection may take.
    pub connect_timeout: Millis,
    /// Time after which a connection that no longer acknowledges is given up.
    pub unacknowledged_timeout: Millis,
    /// Time for which an unused connection is kept where the endpoint names none.
    pub idle_timeout: Millis,
    /// Part of the time that an endpoint names which is not used, so that a request does not cross
    /// its close.
    pub keep_alive_margin: Millis,
}

/// Why a request has no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte of it has left.
    NotSent(String),
    /// It may have been run.
    Unknown(String),
}

/// Connections by address. Clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    cfg: ConnectionPoolCfg,
    clock: Clock,
    idle: Arc<Mutex<Map<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: Millis,
    since: Millis,
}

/// An answer whose body is still to be read, with the connection it comes on.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// Whether the connection was opened for it.
    pub is_new: bool,
    connection: Option<Lent>,
}

#[derive(Debug)]
struct Lent {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    keep: Millis,
    all: ConnectionPool,
}

impl ConnectionPool {
    /// Makes an empty set.
    pub fn new(cfg: ConnectionPoolCfg, clock: Clock) -> Self {
        Self { cfg, clock, idle: Arc::default() }
    }

    /// Sends a request; `max_idle` is how long its connection may have been unused before.
    ///
    /// # Errors
    ///
    /// Fails when no connection comes about, or the answer's head doesn't come.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
        max_idle: Millis,
    ) -> Result<Answer, SendFailure> {
        while let Some(sender) = self.take(address, max_idle) {
            match self.exchange(address, sender, req, false).await {
                Ok(answer) => return Ok(answer),
                Err(Failed { unsent: Some(unsent), .. }) => req = *unsent,
                Err(failed) => return Err(SendFailure::Unknown(failed.reason)),
            }
        }
        let sender = self.connect(address).await.map_err(SendFailure::NotSent)?;
        self.exchange(address, sender, req, true).await.map_err(|failed| match failed.unsent {
            Some(_) => SendFailure::NotSent(failed.reason),
            None => SendFailure::Unknown(failed.reason),
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer doesn't come whole.
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
    ) -> Result<Answer, Failed> {
        let response = match sender.try_send_request(req).await {
            Ok(response) => response,
            Err(mut err) => {
                let unsent = err.take_message().map(Box::new);
                return Err(Failed { unsent, reason: describe(err.error()) });
            }
        };
        let connection = keep_for(&response, self.cfg).map(|keep| Lent {
            sender,
            address,
            keep,
            all: self.clone(),
        });
        Ok(Answer { response, is_new, connection })
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
        let connecting =
            tokio::time::timeout(self.cfg.connect_timeout.into(), TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(err.to_string()),
            Err(_) => return Err("no connection in time".to_owned()),
        };
        prepare(&stream, self.cfg.unacknowledged_timeout).map_err(|err| err.to_string())?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                event!(Debug, "endpoint_connection_ended", address = address, error = err);
            }
        });
        Ok(sender)
    }

    /// Takes the connection that was used last; older ones then reach their end unused.
    fn take(&self, address: SocketAddr, max_idle: Millis) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let of_address = idle.get_mut(&address)?;
        of_address.retain(|idle| now < idle.until && !idle.sender.is_closed());
        let fit = of_address
            .iter()
            .rposition(|idle| now - idle.since <= max_idle && idle.sender.is_ready())?;
        Some(of_address.remove(fit).sender)
    }

    /// Drops connections whose time is over; returns how many are left.
    pub fn expire(&self) -> usize {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        idle.retain(|_, of_address| {
            of_address.retain(|idle| now < idle.until && !idle.sender.is_closed());
            !of_address.is_empty()
        });
        idle.values().map(Vec::len).sum()
    }

    /// Drops the unused connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }
}

impl Answer {
    /// Takes the answer apart; the second part goes back once the body was read to its end.
    pub fn into_parts(self) -> (Response<Incoming>, Option<ReusableConnection>) {
        (self.response, self.connection.map(ReusableConnection))
    }
}

/// A connection that can be used again once its answer was read to its end.
///
/// Dropped before, it is closed: what is left of the answer belongs to no other request.
#[derive(Debug)]
pub struct ReusableConnection(Lent);

impl ReusableConnection {
    /// Gives the connection back.
    pub fn release(self) {
        let Lent { sender, address, keep, all } = self.0;
        let since = all.clock.now();
        let idle = Idle { sender, since, until: since + keep };
        all.idle.lock().entry(address).or_default().push(idle);
    }
}

struct Failed {
    unsent: Option<Box<Request<Full<Bytes>>>>,
    reason: String,
}

/// Returns how long a connection may be kept unused after an answer, if at all.
fn keep_for(response: &Response<Incoming>, cfg: ConnectionPoolCfg) -> Option<Millis> {
    let text = |name: http::HeaderName| response.headers().get(name).and_then(|v| v.to_str().ok());
    if text(http::header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let named = response.headers().get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = named.and_then(|value| {
        let mut fields = value.split(',').map(str::trim);
        let timeout = fields.find_map(|field| field.strip_prefix("timeout="))?;
        timeout.parse().ok().map(Millis::from_secs)
    });
    let keep = timeout.map_or(cfg.idle_timeout, |timeout| timeout - cfg.keep_alive_margin);
    (keep > Millis::ZERO).then_some(keep)
}

fn describe(err: &hyper::Error) -> String {
    use std::error::Error;
    match err.source() {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}
