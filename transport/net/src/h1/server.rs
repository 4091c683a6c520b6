//! Takes callers' connections and hands their requests to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sill_base::{Millis, event};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::h1::AnyBody;

/// The smallest buffer that the library takes, in bytes.
const MIN_BUFFER: usize = 8192;

/// Pause after the listener failed, as when descriptors ran out.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerCfg {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Time that a connection may stay without a request.
    pub idle: Millis,
    /// Time after which a connection that no longer acknowledges is given up.
    pub silent: Millis,
}

/// How far a server has stopped.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stop {
    /// It serves.
    #[default]
    No,
    /// Connections end after the request that they carry; new ones are still taken.
    Closing,
    /// None is taken any more.
    Closed,
}

/// Serves until it is closed. Counts open connections in `open`.
pub async fn serve<H, Fut>(
    listener: TcpListener,
    cfg: ServerCfg,
    stop: watch::Receiver<Stop>,
    open: Arc<AtomicUsize>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<AnyBody>> + Send + 'static,
{
    let mut closed = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|stop| *stop >= Stop::Closed) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let (handler, stop, open) = (handler.clone(), stop.clone(), open.clone());
                // Counted by its task, it would not be seen by a stop that looks before that task runs.
                open.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    if let Err(err) = connection(stream, peer, cfg, stop, handler).await {
                        event!(Debug, "caller_connection_ended", peer = peer, error = err);
                    }
                    open.fetch_sub(1, Ordering::Relaxed);
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
    mut stop: watch::Receiver<Stop>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<AnyBody>> + Send + 'static,
{
    prepare(&stream, cfg.silent)?;
    let service = service_fn(move |req| {
        let answer = handler(req, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let is_closing = *stop.borrow() >= Stop::Closing;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(cfg.idle))
        .keep_alive(!is_closing)
        .max_buf_size(cfg.header_bytes.max(MIN_BUFFER));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // The library closes a connection at once that is asked to end before a byte of it was read. A caller
    // whom the balancer sent here for want of another instance has just written its request then, and gets
    // no answer, not even that it may send the request again: in a soak with planned stops of most entry
    // instances 804 of 6,303 requests ended so. Without keep-alive the connection ends after its first
    // request in any case, and needs not be asked.
    if is_closing {
        return connection.await.map_err(io::Error::other);
    }
    let closing = async { stop.wait_for(|stop| *stop >= Stop::Closing).await.is_ok() };
    tokio::select! {
        ended = connection.as_mut() => return ended.map_err(io::Error::other),
        _ = closing => connection.as_mut().graceful_shutdown(),
    }
    connection.await.map_err(io::Error::other)
}

/// Has a connection fail whose peer no longer acknowledges. Behind a cut or on a link that went
/// silent nothing else would ever end it.
pub(super) fn prepare(stream: &TcpStream, silent: Millis) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(silent.into()))
}
