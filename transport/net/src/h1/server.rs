//! An HTTP/1.1 server that can be stopped in phases without cutting requests.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sill_base::{Millis, event};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};

use crate::h1::{AnyBody, BodyError};

/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Pause after a failure to accept a connection, for example when file descriptors ran out.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Number of connections that are accepted as the listener closes; the kernel resets further ones.
const MAX_WAITING_CONNECTIONS: usize = 4096;

/// Time to wait for the first request on a connection that was accepted while the server stops.
/// Callers send right after they connect; between failure domains the request takes some
/// milliseconds.
const FIRST_REQUEST_TIMEOUT: Millis = Millis(500);

/// Pause before a kept-alive connection is closed, for a request that has already arrived on it.
/// The connection's task may run before the runtime has noticed the data: without the pause, a
/// request in the socket buffer is dropped without an answer, and its caller can't know that it has
/// not run.
const PENDING_REQUEST_PAUSE: Millis = Millis(50);

/// Time for which the rest of a request is read that was answered before it was whole. A close with
/// unread bytes resets the connection, and the answer may be lost.
const LINGER_TIMEOUT: Millis = Millis(5000);

/// Time without a further byte after which the rest of a request is no longer read.
const LINGER_IDLE_TIMEOUT: Millis = Millis(1000);

/// Size of the buffer for the rest of a request.
const LINGER_BUFFER_BYTES: usize = 4 << 10;

/// Upper bound on the bytes that are read of the rest of a request.
const MAX_LINGER_BYTES: usize = 16 << 20;

/// Bounds on the connections of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerCfg {
    /// Maximum size of a request's head, in bytes; at least 8192 is used.
    pub max_header_bytes: usize,
    /// Time for which a connection may be open without a complete request head.
    pub idle_timeout: Millis,
    /// Time for which sent data may remain unacknowledged by the peer before the connection fails.
    pub unacknowledged_timeout: Millis,
}

/// The phase of a server, from normal service to its end.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Normal service.
    #[default]
    Serving,
    /// Each connection is closed after its current request. New connections are accepted for one
    /// request.
    Draining,
    /// New connections are accepted only so that the handler can tell their callers to retry later.
    Refusing,
    /// The listener is closed.
    Closed,
}

/// Numbers of open connections, by the phase of the server in which they were accepted.
#[derive(Debug, Default)]
pub struct OpenConnections {
    serving: Arc<AtomicUsize>,
    draining: Arc<AtomicUsize>,
    refusing: Arc<AtomicUsize>,
}

impl OpenConnections {
    /// Returns how many were accepted before the server was [`ServerPhase::Draining`].
    pub fn accepted_before_drain(&self) -> usize {
        self.serving.load(Ordering::Relaxed)
    }

    /// Returns how many were accepted while the server was [`ServerPhase::Draining`].
    pub fn accepted_during_drain(&self) -> usize {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns how many connections are open.
    pub fn total(&self) -> usize {
        self.accepted_before_drain()
            + self.accepted_during_drain()
            + self.refusing.load(Ordering::Relaxed)
    }

    /// Counts a connection that is accepted in `phase`.
    fn count(&self, phase: ServerPhase) -> OpenConnectionGuard {
        OpenConnectionGuard::new(match phase {
            ServerPhase::Serving => &self.serving,
            ServerPhase::Draining => &self.draining,
            ServerPhase::Refusing | ServerPhase::Closed => &self.refusing,
        })
    }
}

/// Counts a connection as open from when it is accepted until its task has ended.
///
/// If the connection's task did the counting, the connection would not count until the task first
/// runs, and a stopping process could exit with a call just accepted. A connection whose handler
/// panicked would count forever, and the stop would wait for it up to its limit.
#[derive(Debug)]
struct OpenConnectionGuard(Arc<AtomicUsize>);

impl OpenConnectionGuard {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves until the phase is [`ServerPhase::Closed`] or its channel is closed, and counts open
/// connections in `open`.
///
/// Connections that wait to be accepted as the listener closes are served, and counted before it
/// returns; afterwards no further one is counted.
pub async fn serve<H, Fut>(
    listener: TcpListener,
    cfg: ServerCfg,
    phase: watch::Receiver<ServerPhase>,
    open: Arc<OpenConnections>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<AnyBody>> + Send + 'static,
{
    let start = |stream, peer| {
        let open_guard = open.count(*phase.borrow());
        let (handler, phase) = (handler.clone(), phase.clone());
        tokio::spawn(async move {
            let _open = open_guard;
            if let Err(err) = serve_connection(stream, peer, cfg, phase, handler).await {
                event!(Debug, "caller_connection_ended", peer = peer, error = err);
            }
        });
    };
    let mut closed = phase.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = closed.wait_for(|phase| *phase >= ServerPhase::Closed) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => start(stream, peer),
            Err(err) => {
                event!(Warn, "accept_failed", error = err);
                tokio::time::sleep(ACCEPT_PAUSE.into()).await;
            }
        }
    }
    // A process without processor time may not have accepted them for long.
    waiting_connections(listener).for_each(|(stream, peer)| start(stream, peer));
}

/// Closes a listener, and returns the connections that wait to be accepted.
fn waiting_connections(listener: TcpListener) -> impl Iterator<Item = (TcpStream, SocketAddr)> {
    // The runtime may not know of them yet, so the kernel is asked.
    let listener = listener.into_std().ok();
    let accept = move || {
        let (stream, peer) = listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        Some((TcpStream::from_std(stream).ok()?, peer))
    };
    std::iter::from_fn(accept).take(MAX_WAITING_CONNECTIONS)
}

async fn serve_connection<H, Fut>(
    stream: TcpStream,
    peer: SocketAddr,
    cfg: ServerCfg,
    mut phase: watch::Receiver<ServerPhase>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<AnyBody>> + Send + 'static,
{
    set_socket_options(&stream, cfg.unacknowledged_timeout)?;
    let (request_notify, service_phase) = (Arc::new(Notify::new()), phase.clone());
    let first_request = request_notify.clone();
    let lacks_chunks = Arc::<AtomicBool>::default();
    let lacks_chunks_tx = lacks_chunks.clone();
    let open_answer = Arc::new(Semaphore::new(1));
    let answer_permit = open_answer.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        request_notify.notify_one();
        lacks_chunks_tx.store(req.version() == Version::HTTP_10, Ordering::Relaxed);
        let (answer, current_phase) = (handler(req, peer), service_phase.clone());
        let permit = answer_permit.clone().try_acquire_owned().ok();
        async move {
            let mut response = answer.await;
            if *current_phase.borrow() >= ServerPhase::Draining {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| OpenAnswer { body, _permit: permit }))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(cfg.idle_timeout))
        .max_buf_size(cfg.max_header_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let close_allowed = async {
        let _ = phase.wait_for(|phase| *phase >= ServerPhase::Draining).await;
        // If the connection were closed before its first request is read, the caller of a request
        // in flight would have no answer and could not know that it has not run.
        let _ = tokio::time::timeout(FIRST_REQUEST_TIMEOUT.into(), first_request.notified()).await;
        // An answer that began earlier doesn't announce the close: its caller may send the next
        // request as soon as it has ended.
        drop(open_answer.acquire().await);
        tokio::time::sleep(PENDING_REQUEST_PAUSE.into()).await;
        // The task may run long after the pause is over; the runtime has to look for data again.
        tokio::task::yield_now().await;
    };
    let (result, was_idle) = tokio::select! {
        // Requests that have arrived are read before the connection is closed.
        biased;
        result = &mut connection => (result, false),
        () = close_allowed => {
            // The end of its answer may still be written.
            let was_idle = open_answer.available_permits() > 0;
            Pin::new(&mut connection).graceful_shutdown();
            ((&mut connection).await, was_idle)
        }
    };
    let stream = connection.into_parts().io.into_inner();
    match &result {
        Ok(()) if was_idle => linger(stream, peer, PENDING_REQUEST_PAUSE).await,
        Ok(()) => linger(stream, peer, LINGER_IDLE_TIMEOUT).await,
        Err(err) if err.is_parse() => linger(stream, peer, LINGER_IDLE_TIMEOUT).await,
        // The caller takes an orderly close for the end of the answer.
        Err(_) if lacks_chunks.load(Ordering::Relaxed) => {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        _ => {}
    }
    result.map_err(io::Error::other)
}

/// Reads what the caller still sends, until it closes its side, sends nothing for `idle_timeout`, or a
/// bound is reached.
async fn linger(mut stream: TcpStream, peer: SocketAddr, idle_timeout: Millis) {
    let mut read = 0;
    let discard = async {
        stream.shutdown().await?;
        let mut buf = [0; LINGER_BUFFER_BYTES];
        while read < MAX_LINGER_BYTES {
            let part = stream.read(&mut buf);
            match tokio::time::timeout(idle_timeout.into(), part).await?? {
                0 => return Ok(true),
                n => read += n,
            }
        }
        io::Result::Ok(false)
    };
    let discarded = tokio::time::timeout(LINGER_TIMEOUT.into(), discard).await;
    let is_closed = discarded.is_ok_and(|is_closed| is_closed.unwrap_or(false));
    if read > 0 {
        event!(Info, "caller_connection_lingered", peer = peer, bytes = read, closed = is_closed);
    }
}

/// The body of an answer. Its permit is returned once the answer has ended.
struct OpenAnswer {
    body: AnyBody,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Body for OpenAnswer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Opens a connection from the address `source`, or from that of the system's choice.
pub(super) async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Sets the options of a connection; it fails once its peer has acknowledged nothing for the given
/// time. After a network partition or on a dead link nothing else would ever end it.
pub(super) fn set_socket_options(
    stream: &TcpStream,
    unacknowledged_timeout: Millis,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(unacknowledged_timeout.into()))
}
