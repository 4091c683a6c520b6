//! Tunnels: a process that can't reach an endpoint asks another one to carry a connection to it.
//!
//! A tunnel is opened with the CONNECT method and passes bytes on unchanged, so the end of an answer
//! is framed as the endpoint framed it. If one side breaks off, the other one is reset: an orderly
//! close would look like the end of an answer without a length.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::upgrade::OnUpgrade;
use hyper_util::rt::{TokioIo, TokioTimer};
use sill_base::{Clock, Millis, Name, Secret, event};
use sill_wire::Incarnation;
use sill_wire::header as names;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::tcp;
use tokio::net::{TcpListener, TcpStream};

use crate::h1::endpoint_stream::EndpointStream;
use crate::h1::server::{connect, set_socket_options};
use crate::peer::PeerMethods;

/// Time in which a process that connects must ask for its tunnel.
const REQUEST_TIMEOUT: Millis = Millis(2000);

/// Time for the other side to close a tunnel after the endpoint has closed its connection.
const CLOSE_TIMEOUT: Millis = Millis(500);

/// Size of the buffer for requests on their way to an endpoint.
const BUFFER_BYTES: usize = 8 << 10;

/// Upper bound on the body of a call.
const MAX_CALL_BYTES: usize = 256 << 10;

/// Pause after a failure to accept a connection, for example when file descriptors ran out.
const ACCEPT_PAUSE: Millis = Millis(50);

/// What a process asks for with a tunnel.
#[derive(Debug, Clone)]
pub struct TunnelRequest {
    /// The number of the tunnel in the logs of both processes.
    pub tunnel: Name,
    /// The entry instance that asks.
    pub entry: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// The address of the endpoint as the entry instance knows it.
    pub address: SocketAddr,
    /// The key shared by all processes of the system.
    pub key: Secret,
}

/// Why there is no tunnel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TunnelFailure {
    /// The other process does not reach the endpoint either.
    Endpoint,
    /// The other process declined for a reason of its own.
    Declined(StatusCode),
    /// The other process can't be reached or did not answer.
    Relay(String),
}

/// Why a request for a tunnel is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelDenial {
    /// The endpoint is not known here.
    UnknownEndpoint,
    /// This process reaches no endpoint at present.
    CutOff,
    /// This process does not reach this endpoint at present, but others.
    Unreachable,
    /// This process carries no more tunnels.
    Busy,
}

/// What a process grants a tunnel to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TunnelGrant {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// Time since any endpoint was last heard on a connection of this process.
    pub answered_age: Millis,
}

/// How a tunnel ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelEnd {
    /// The entry instance closed it.
    ByEntry,
    /// The endpoint closed its connection in order.
    ByEndpoint,
    /// One of the two connections broke off.
    Broken,
}

/// Settings of a tunnel server, and what it counts.
#[derive(Debug, Clone)]
pub struct TunnelServer {
    /// The key shared by all processes of the system.
    pub key: Secret,
    /// The clock of the process.
    pub clock: Clock,
    /// Address from which connections are opened; the system's choice if there is none.
    pub source: Option<IpAddr>,
    /// Time-out for connecting to an endpoint.
    pub connect_timeout: Millis,
    /// Time for which sent data may remain unacknowledged before a connection fails.
    pub unacknowledged_timeout: Millis,
    /// The number of open tunnels.
    pub open: Arc<AtomicUsize>,
    /// Methods that other processes call at the same address.
    pub methods: PeerMethods,
}

/// Counts a tunnel as open.
struct OpenTunnel(Arc<AtomicUsize>);

impl OpenTunnel {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Asks the process at the other end of a connection for a tunnel. Returns also how long ago an
/// endpoint was heard there, if the process says so.
pub(super) async fn open(
    stream: TcpStream,
    req: &TunnelRequest,
) -> Result<(TcpStream, Option<Millis>), TunnelFailure> {
    let failed = |err: hyper::Error| TunnelFailure::Relay(err.to_string());
    let (mut sender, connection) =
        client::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await.map_err(failed)?;
    tokio::spawn(connection.with_upgrades());
    let response = sender.send_request(connect_request(req)).await.map_err(failed)?;
    match response.status() {
        StatusCode::OK => {
            let age = response.headers().get(names::ANSWERED_AGE);
            let age = age.and_then(|age| age.to_str().ok()?.parse().ok()).map(Millis);
            let (stream, received) =
                into_stream(hyper::upgrade::on(response)).await.map_err(TunnelFailure::Relay)?;
            match received.is_empty() {
                true => Ok((stream, age)),
                false => Err(TunnelFailure::Relay("bytes before the first request".to_owned())),
            }
        }
        StatusCode::BAD_GATEWAY => Err(TunnelFailure::Endpoint),
        status => Err(TunnelFailure::Declined(status)),
    }
}

fn connect_request(req: &TunnelRequest) -> Request<Empty<Bytes>> {
    Request::connect(req.address.to_string())
        .header(header::HOST, req.address.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {}", req.key.reveal()))
        .header(names::TUNNEL, req.tunnel.as_str())
        .header(names::ENTRY, req.entry.as_str())
        .header(names::ENDPOINT, req.endpoint.as_str())
        .header(names::INCARNATION, req.incarnation.0.to_string())
        .body(Empty::new())
        .expect("names of processes and the cluster key are printable")
}

/// Carries tunnels until the task is dropped. `grant` returns where a tunnel leads to, or why there
/// is none.
pub async fn serve_tunnels<F>(listener: TcpListener, cfg: TunnelServer, grant: F)
where
    F: Fn(&TunnelRequest) -> Result<TunnelGrant, TunnelDenial> + Clone + Send + Sync + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, cfg.clone(), grant.clone()));
            }
            Err(err) => {
                event!(Warn, "accept_failed", error = err);
                tokio::time::sleep(ACCEPT_PAUSE.into()).await;
            }
        }
    }
}

async fn serve_connection<F>(stream: TcpStream, cfg: TunnelServer, grant: F)
where
    F: Fn(&TunnelRequest) -> Result<TunnelGrant, TunnelDenial> + Clone + Send + Sync + 'static,
{
    if set_socket_options(&stream, cfg.unacknowledged_timeout).is_err() {
        return;
    }
    let service = service_fn(move |req| {
        let (cfg, grant) = (cfg.clone(), grant.clone());
        async move { Ok::<_, Infallible>(answer(req, cfg, grant).await) }
    });
    let mut builder = server::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(Duration::from(REQUEST_TIMEOUT));
    let connection = builder.serve_connection(TokioIo::new(stream), service).with_upgrades();
    if let Err(err) = connection.await {
        event!(Debug, "tunnel_connection_ended", error = err);
    }
}

async fn answer<F>(req: Request<Incoming>, cfg: TunnelServer, grant: F) -> Response<Full<Bytes>>
where
    F: Fn(&TunnelRequest) -> Result<TunnelGrant, TunnelDenial>,
{
    let status = |status: StatusCode| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    if !is_authorized(req.headers(), &cfg.key) {
        return status(StatusCode::UNAUTHORIZED);
    }
    if req.method() == Method::POST {
        return match answer_call(req, &cfg.methods).await {
            Some(reply) => Response::new(Full::from(reply)),
            None => status(StatusCode::BAD_REQUEST),
        };
    }
    let Some(tunnel) = read_request(&req, &cfg) else { return status(StatusCode::BAD_REQUEST) };
    let denied = |why: &dyn std::fmt::Debug| {
        event!(
            Info,
            "tunnel_denied",
            tunnel = tunnel.tunnel,
            from = tunnel.entry,
            endpoint = tunnel.endpoint,
            why = format!("{why:?}")
        );
    };
    let TunnelGrant { address, answered_age } = match grant(&tunnel) {
        Ok(granted) => granted,
        Err(denial) => {
            denied(&denial);
            return status(denial.status());
        }
    };
    let open = OpenTunnel::new(&cfg.open);
    let endpoint = match connect_to_endpoint(address, &cfg).await {
        Ok(endpoint) => endpoint,
        Err(err) => {
            denied(&err);
            return status(StatusCode::BAD_GATEWAY);
        }
    };
    tokio::spawn(async move {
        let _open = open;
        let endpoint = EndpointStream::new(endpoint, cfg.unacknowledged_timeout);
        carry(req, endpoint, &tunnel, cfg.clock).await;
    });
    let mut opened = status(StatusCode::OK);
    opened.headers_mut().insert(names::ANSWERED_AGE, answered_age.0.into());
    opened
}

async fn answer_call(req: Request<Incoming>, methods: &PeerMethods) -> Option<String> {
    let body = Limited::new(req.into_body(), MAX_CALL_BYTES).collect();
    let body = tokio::time::timeout(REQUEST_TIMEOUT.into(), body).await.ok()?.ok()?;
    methods.answer(&body.to_bytes()).await
}

fn is_authorized(headers: &HeaderMap, key: &Secret) -> bool {
    let header = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    header.is_some_and(|header| key.is_bearer(header))
}

fn read_request(req: &Request<Incoming>, cfg: &TunnelServer) -> Option<TunnelRequest> {
    let text = |name: &str| req.headers().get(name).and_then(|value| value.to_str().ok());
    if req.method() != Method::CONNECT {
        return None;
    }
    Some(TunnelRequest {
        tunnel: text(names::TUNNEL)?.into(),
        entry: text(names::ENTRY)?.into(),
        endpoint: text(names::ENDPOINT)?.into(),
        incarnation: Incarnation(text(names::INCARNATION)?.parse().ok()?),
        address: req.uri().authority()?.as_str().parse().ok()?,
        key: cfg.key.clone(),
    })
}

async fn connect_to_endpoint(address: SocketAddr, cfg: &TunnelServer) -> io::Result<TcpStream> {
    let connecting = connect(cfg.source, address);
    let connecting = tokio::time::timeout(cfg.connect_timeout.into(), connecting);
    let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
    set_socket_options(&stream, cfg.unacknowledged_timeout)?;
    Ok(stream)
}

async fn carry(
    req: Request<Incoming>,
    endpoint: EndpointStream,
    tunnel: &TunnelRequest,
    clock: Clock,
) {
    let opened_at = clock.now();
    let end = match into_stream(hyper::upgrade::on(req)).await {
        Ok((entry, received)) => splice(entry, endpoint, &received).await,
        Err(reason) => {
            event!(Warn, "tunnel_failed", tunnel = tunnel.tunnel, why = reason);
            return;
        }
    };
    event!(
        Info,
        "tunnel_ended",
        tunnel = tunnel.tunnel,
        from = tunnel.entry,
        endpoint = tunnel.endpoint,
        end = format!("{end:?}"),
        ms = clock.now() - opened_at
    );
}

/// Returns the connection of a tunnel that was opened, and what the other side has sent already.
async fn into_stream(upgrade: OnUpgrade) -> Result<(TcpStream, Bytes), String> {
    let upgraded = upgrade.await.map_err(|err| err.to_string())?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    let parts = parts.map_err(|_| "the connection is of another type".to_owned())?;
    Ok((parts.io.into_inner(), parts.read_buf))
}

/// Passes bytes on in both directions until one side ends.
async fn splice(mut entry: TcpStream, endpoint: EndpointStream, received: &[u8]) -> TunnelEnd {
    let state = endpoint.state().clone();
    let end = {
        let (mut entry_rx, mut entry_tx) = entry.split();
        let (mut endpoint_rx, mut endpoint_tx) = tokio::io::split(endpoint);
        let to_endpoint = pass_requests(&mut entry_rx, &mut endpoint_tx, received);
        let to_entry = pass_answers(&mut endpoint_rx, &mut entry_tx);
        tokio::pin!(to_endpoint, to_entry);
        tokio::select! {
            is_whole = &mut to_entry => {
                if is_whole {
                    let _ = tokio::time::timeout(CLOSE_TIMEOUT.into(), to_endpoint).await;
                }
                match is_whole && !state.has_failed() {
                    true => TunnelEnd::ByEndpoint,
                    false => TunnelEnd::Broken,
                }
            }
            () = &mut to_endpoint => TunnelEnd::ByEntry,
        }
    };
    if end == TunnelEnd::Broken {
        // Otherwise the entry instance takes the close for the end of an answer without a length.
        let _ = SockRef::from(&entry).set_linger(Some(Duration::ZERO));
    }
    end
}

/// Passes bytes on to the endpoint until the entry instance closes its connection. A failure to
/// write shows in the other direction, after what the endpoint has still sent.
async fn pass_requests(
    from: &mut tcp::ReadHalf<'_>,
    to: &mut WriteHalf<EndpointStream>,
    received: &[u8],
) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut is_open = pass(received, to).await.is_ok();
    while is_open {
        is_open = match from.read(&mut buf).await {
            Ok(0) | Err(_) => false,
            Ok(n) => pass(&buf[..n], to).await.is_ok(),
        };
    }
}

async fn pass(bytes: &[u8], to: &mut WriteHalf<EndpointStream>) -> io::Result<()> {
    to.write_all(bytes).await?;
    to.flush().await
}

/// Passes bytes on to the entry instance; returns whether the endpoint ended them in order.
async fn pass_answers(from: &mut ReadHalf<EndpointStream>, to: &mut tcp::WriteHalf<'_>) -> bool {
    let is_whole = tokio::io::copy(from, to).await.is_ok();
    if is_whole {
        let _ = to.shutdown().await;
    }
    is_whole
}

impl TunnelDenial {
    const fn status(self) -> StatusCode {
        match self {
            Self::UnknownEndpoint => StatusCode::NOT_FOUND,
            Self::Unreachable => StatusCode::BAD_GATEWAY,
            Self::CutOff | Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
