//! RPC between instances, authenticated with the cluster key.

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

/// Maximum size of a request or response between two instances.
const MAX_MESSAGE_BYTES: u32 = 64 << 20;

/// Number of connections from peers that a process accepts at once.
const MAX_CONNECTIONS: u32 = 4096;

/// Time-out for opening a connection, which takes a few milliseconds between failure domains. An
/// instance that is down sends no reply, and a caller that waits a second for it tries no other one
/// meanwhile.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Why a call had no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// The peer can't be reached, or its reply did not arrive in time; whether the call was carried
    /// out is unknown.
    Unreachable(String),
    /// The peer replied with an error.
    Refused(String),
}

/// Collects the methods of a [`PeerServer`] before it starts.
pub struct PeerServerBuilder {
    module: RpcModule<()>,
    key: Secret,
}

/// The methods of a [`PeerServerBuilder`], for a server that has other uses for its listener as well.
#[derive(Clone)]
pub struct PeerMethods {
    module: RpcModule<()>,
}

/// A running RPC server; it stops when dropped.
#[derive(Debug)]
pub struct PeerServer {
    handle: ServerHandle,
    address: SocketAddr,
}

/// An RPC client of one peer. Clones share its connections.
#[derive(Debug, Clone)]
pub struct PeerClient {
    http: HttpClient,
    address: SocketAddr,
}

impl PeerServerBuilder {
    /// Creates a builder without methods; the server accepts only calls with the cluster key `key`.
    pub fn new(key: Secret) -> Self {
        Self { module: RpcModule::new(()), key }
    }

    /// Registers the handler of the method for the call type `C`.
    ///
    /// # Panics
    ///
    /// Panics if the same method is registered twice.
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
        registered.expect("each method is registered once");
        self
    }

    /// Returns the methods without a server. Whoever passes calls to them checks the cluster key.
    pub fn into_methods(self) -> PeerMethods {
        PeerMethods { module: self.module }
    }

    /// Starts to serve on a listener; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used.
    pub fn start(self, listener: TcpListener) -> std::io::Result<PeerServer> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let cfg = jsonrpsee_server::ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
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

impl PeerMethods {
    /// Answers the body of a call; none if it is no call.
    pub async fn answer(&self, body: &[u8]) -> Option<String> {
        let request = std::str::from_utf8(body).ok()?;
        let (reply, _) = self.module.raw_json_request(request, 1).await.ok()?;
        Some(reply.get().to_owned())
    }
}

impl fmt::Debug for PeerMethods {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.module.method_names()).finish()
    }
}

impl PeerServer {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and closes its connections.
    pub fn stop(&self) {
        let _ = self.handle.stop();
    }
}

impl PeerClient {
    /// Creates a client; its first call opens a connection. `timeout` applies to each call.
    ///
    /// # Panics
    ///
    /// Panics if the cluster key contains characters that are not allowed in an HTTP header.
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
            .connect_timeout(Duration::from(timeout.min(CONNECT_TIMEOUT)))
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}"))
            .expect("an address makes a valid URL");
        Self { http, address }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls a method of the peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not reply in time or replies with an error.
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
        const REFUSED_CODE: i32 = -32_000;
        ErrorObjectOwned::owned(REFUSED_CODE, err.to_string(), None::<()>)
    }
}

/// Middleware that rejects calls without the cluster key, with status 401.
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
