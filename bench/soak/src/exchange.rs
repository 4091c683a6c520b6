//! HTTP client that sends requests one at a time on a persistent connection.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, eyre};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sill_base::Millis;
use sill_net::framing::declared_end;
use tokio::net::TcpStream;

/// An HTTP/1 client connection. Its background task ends when this is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

/// A response, complete or truncated.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The response headers.
    pub headers: HeaderMap,
    /// The body; `None` if it ended before its framing said so, or the head contradicts itself on it.
    pub body: Option<Bytes>,
}

impl HttpResponse {
    /// Returns the value of a header, if it is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or the handshake fails.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Returns whether a request can be sent; `false` once the connection is closed.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the response, whose body is `None` if it is truncated.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the head of the response.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<HttpResponse> {
        self.sender.ready().await?;
        let response = self.sender.send_request(req).await?;
        let (parts, body) = response.into_parts();
        let fields = parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
        let body = match declared_end(parts.status.as_u16(), fields) {
            Ok(_) => body.collect().await.ok().map(|whole| whole.to_bytes()),
            Err(_) => None,
        };
        Ok(HttpResponse { status: parts.status.as_u16(), headers: parts.headers, body })
    }
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Fails when the connection fails or the response does not end within the timeout.
pub async fn send_once(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Millis,
) -> Result<HttpResponse> {
    let exchange = async { Connection::open(address).await?.send(req).await };
    let done = tokio::time::timeout(timeout.into(), exchange).await;
    done.map_err(|_| eyre!("no answer from {address} within {timeout} ms"))?
}
