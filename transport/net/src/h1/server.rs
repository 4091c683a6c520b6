//! Takes callers' connections and hands their requests to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sill_base::{Millis, event};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use crate::h1::AnyBody;

/// The smallest buffer that the library takes, in bytes.
const MIN_BUFFER: usize = 8192;

/// Pause after the listener failed, as when descriptors ran out.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Time for the first request of a connection that comes while the server stops. Callers connect in order
/// to send at once; between failure domains that takes some milliseconds.
const FIRST_REQUEST: Millis = Millis(500);

/// Time for what has already come on a connection that had a request before. The task of a connection may run
/// before the runtime has seen what came: without the pause, a request that lay in the socket is dropped
/// unanswered, and its caller can't know that it has not run.
const ARRIVED: Millis = Millis(50);

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerCfg {
    /// Bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Millis,
    /// Time after which a connection that no longer acknowledges is given up.
    pub unacknowledged_timeout: Millis,
}

/// How far a server has stopped.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// It serves.
    #[default]
    Serving,
    /// Connections end after the request that they carry; new ones are still taken, for one request.
    Draining,
    /// New ones are only taken so that their callers can be told to come back.
    Refusing,
    /// The listener is closed.
    Closed,
}

/// Open connections, by how far the server had stopped when it took them.
#[derive(Debug, Default)]
pub struct OpenConnections {
    older: Arc<AtomicUsize>,
    later: Arc<AtomicUsize>,
    last: Arc<AtomicUsize>,
}

impl OpenConnections {
    /// Returns those that were taken before the server was [`ServerPhase::Draining`].
    pub fn accepted_before_drain(&self) -> usize {
        self.older.load(Ordering::Relaxed)
    }

    /// Returns those that were taken since, until it was [`ServerPhase::Refusing`].
    pub fn accepted_during_drain(&self) -> usize {
        self.later.load(Ordering::Relaxed)
    }

    /// Returns all of them.
    pub fn total(&self) -> usize {
        self.accepted_before_drain()
            + self.accepted_during_drain()
            + self.last.load(Ordering::Relaxed)
    }

    /// Counts a connection that is taken now.
    fn count(&self, stop: ServerPhase) -> Open {
        Open::count(match stop {
            ServerPhase::Serving => &self.older,
            ServerPhase::Draining => &self.later,
            ServerPhase::Refusing | ServerPhase::Closed => &self.last,
        })
    }
}

/// Counts a connection as open, from when it was accepted until its task is gone.
///
/// Counted by its task instead, a connection would be missed until the task first runs, and a process
/// that stops could end with a call just taken; one whose handler panicked would count for ever, and the
/// stop would wait for it until its limit.
#[derive(Debug)]
struct Open(Arc<AtomicUsize>);

impl Open {
    fn count(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves until the stop is over or its channel closed, and counts open connections in `open`.
///
/// Once it has returned, no further connection is counted. Those that the listener had not accepted are
/// reset by the system; nothing of them was read.
pub async fn serve<H, Fut>(
    listener: TcpListener,
    cfg: ServerCfg,
    mut stop: watch::Receiver<ServerPhase>,
    open: Arc<OpenConnections>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<AnyBody>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop >= ServerPhase::Closed) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let open = open.count(*stop.borrow());
                let (handler, stop) = (handler.clone(), stop.clone());
                tokio::spawn(async move {
                    let _open = open;
                    if let Err(err) = connection(stream, peer, cfg, stop, handler).await {
                        event!(Debug, "caller_connection_ended", peer = peer, error = err);
                    }
                });
            }
            Err(err) => {
                event!(Warn, "accept_failed", error = err);
                tokio::time::sleep(ACCEPT_PAUSE.into()).await;
            }
        }
    }
}

async fn connection<H, Fut>(
    stream: TcpStream,
    peer: SocketAddr,
    cfg: ServerCfg,
    mut stop: watch::Receiver<ServerPhase>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<AnyBody>> + Send + 'static,
{
    prepare(&stream, cfg.unacknowledged_timeout)?;
    let (asked, stopped) = (Arc::new(Notify::new()), stop.clone());
    let first_asked = asked.clone();
    let service = service_fn(move |req| {
        asked.notify_one();
        let (answer, stopped) = (handler(req, peer), stopped.clone());
        async move {
            let mut response = answer.await;
            if *stopped.borrow() >= ServerPhase::Draining {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(cfg.idle_timeout))
        .max_buf_size(cfg.max_header_bytes.max(MIN_BUFFER));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let may_close = async {
        let _ = stop.wait_for(|stop| *stop >= ServerPhase::Draining).await;
        // Closed before its first request is read, a caller would have no answer to a request that is
        // already on its way, and could not tell that it has not run.
        let _ = tokio::time::timeout(FIRST_REQUEST.into(), first_asked.notified()).await;
        tokio::time::sleep(ARRIVED.into()).await;
    };
    tokio::select! {
        ended = connection.as_mut() => return ended.map_err(io::Error::other),
        () = may_close => connection.as_mut().graceful_shutdown(),
    }
    connection.await.map_err(io::Error::other)
}

/// Has a connection fail whose peer no longer acknowledges. Behind a cut or on a link that went
/// silent nothing else would ever end it.
pub(super) fn prepare(stream: &TcpStream, silent: Millis) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(silent.into()))
}
