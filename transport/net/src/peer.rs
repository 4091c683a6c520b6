//! Calls between our own processes, authenticated with the cluster key.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use jsonrpsee_server::{
    HttpBody, HttpRequest, HttpResponse, RpcModule, ServerBuilder, ServerHandle,
};
use jsonrpsee_types::ErrorObjectOwned;
use sill_base::{Millis, Secret};
use sill_wire::Call;
use tower::{BoxError, Layer, Service, ServiceBuilder};

/// The largest message between two of our processes, in bytes.
const MAX_MESSAGE: u32 = 64 << 20;

/// Connections that a process takes from peers at once.
const MAX_CONNECTIONS: u32 = 4096;

/// Time that a connection may take. Between failure domains it takes a few milliseconds; an instance
/// that is down answers nothing, and whoever waited for it a second asked no other one meanwhile.
const CONNECT: Millis = Millis(300);

/// Why a call had no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// The peer can't be reached, or the reply did not come in time; whether the call was carried
    /// out is unknown.
    Unreachable(String),
    /// The peer answered with an error.
    Refused(String),
}

/// Methods that a process answers.
pub struct PeerServerBuilder {
    module: RpcModule<()>,
    key: Secret,
}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct PeerServer {
    handle: ServerHandle,
    address: SocketAddr,
}

/// A client of one peer. Clones share its connections.
#[derive(Debug, Clone)]
pub struct PeerClient {
    http: HttpClient,
    address: SocketAddr,
}

impl PeerServerBuilder {
    /// Starts with no methods.
    pub fn new(key: Secret) -> Self {
        Self { module: RpcModule::new(()), key }
    }

    /// Answers a call.
    ///
    /// # Panics
    ///
    /// Panics when the same call is registered twice.
    pub fn answer<C, F, Fut>(&mut self, handler: F) -> &mut Self
    where
        C: Call,
        F: Fn(C) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Result<C::Reply, PeerError>> + Send + 'static,
        C::Reply: Clone,
    {
        let registered = self.module.register_async_method(C::METHOD, move |params, _, _| {
            let handler = handler.clone();
            async move {
                let call: C = params.one()?;
                handler(call).await.map_err(ErrorObjectOwned::from)
            }
        });
        registered.expect("each call is registered once");
        self
    }

    /// Serves on a listener; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be used.
    pub fn start(self, listener: TcpListener) -> std::io::Result<PeerServer> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let cfg = jsonrpsee_server::ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE)
            .max_response_body_size(MAX_MESSAGE)
            .max_connections(MAX_CONNECTIONS)
            .set_tcp_no_delay(true)
            .build();
        let server = ServerBuilder::with_config(cfg)
            .set_http_middleware(ServiceBuilder::new().layer(KeyLayer { key: self.key }))
            .build_from_tcp(listener)?;
        Ok(PeerServer { handle: server.start(self.module), address })
    }
}

impl fmt::Debug for PeerServerBuilder {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.module.method_names()).finish()
    }
}

impl PeerServer {
    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it and closes its connections.
    pub fn stop(&self) {
        let _ = self.handle.stop();
    }
}

impl PeerClient {
    /// Makes a client; connections are opened on the first call.
    ///
    /// # Panics
    ///
    /// Panics when the cluster key holds characters that no HTTP header can carry.
    pub fn new(address: SocketAddr, key: &Secret, timeout: Millis) -> Self {
        let bearer = format!("Bearer {}", key.reveal());
        let mut value = HeaderValue::from_str(&bearer).expect("the cluster key is printable ASCII");
        value.set_sensitive(true);
        let mut headers = HeaderMap::new();
        headers.insert("authorization", value);
        let http = HttpClientBuilder::default()
            .set_headers(headers)
            .set_tcp_no_delay(true)
            .request_timeout(timeout.into())
            .connect_timeout(Duration::from(timeout.min(CONNECT)))
            .max_request_size(MAX_MESSAGE)
            .max_response_size(MAX_MESSAGE)
            .build(format!("http://{address}"))
            .expect("an address makes a valid URL");
        Self { http, address }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls the peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer can't be reached in time or refuses.
    pub async fn call<C>(&self, call: &C) -> Result<C::Reply, PeerError>
    where
        C: Call + Sync,
    {
        let mut params = ArrayParams::new();
        params.insert(call).map_err(|err| PeerError::Refused(err.to_string()))?;
        self.http.request(C::METHOD, params).await.map_err(PeerError::from)
    }
}

impl Display for PeerError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "peer unreachable: {reason}"),
            Self::Refused(reason) => write!(f, "peer refused: {reason}"),
        }
    }
}

impl Error for PeerError {}

impl From<jsonrpsee_core::ClientError> for PeerError {
    fn from(err: jsonrpsee_core::ClientError) -> Self {
        match err {
            jsonrpsee_core::ClientError::Call(object) => Self::Refused(object.message().to_owned()),
            other => Self::Unreachable(other.to_string()),
        }
    }
}

impl From<PeerError> for ErrorObjectOwned {
    fn from(err: PeerError) -> Self {
        const REFUSED: i32 = -32_000;
        ErrorObjectOwned::owned(REFUSED, err.to_string(), None::<()>)
    }
}

/// Lets only calls with the cluster key through.
#[derive(Clone)]
struct KeyLayer {
    key: Secret,
}

#[derive(Clone)]
struct KeyCheck<S> {
    inner: S,
    key: Secret,
}

impl<S> Layer<S> for KeyLayer {
    type Service = KeyCheck<S>;

    fn layer(&self, inner: S) -> KeyCheck<S> {
        KeyCheck { inner, key: self.key.clone() }
    }
}

impl<S> Service<HttpRequest> for KeyCheck<S>
where
    S: Service<HttpRequest, Response = HttpResponse, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, BoxError>> + Send>>;
    type Response = HttpResponse;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: HttpRequest) -> Self::Future {
        let header = req.headers().get("authorization").and_then(|value| value.to_str().ok());
        if header.is_some_and(|header| self.key.is_bearer(header)) {
            return Box::pin(self.inner.call(req));
        }
        let mut res = HttpResponse::new(HttpBody::from("wrong cluster key"));
        *res.status_mut() = http::StatusCode::UNAUTHORIZED;
        Box::pin(async { Ok(res) })
    }
}
