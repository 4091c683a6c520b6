//! One HTTP exchange after the other on a connection that is kept open.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, eyre};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sill_base::Millis;
use tokio::net::TcpStream;

/// A connection; its task ends with it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

/// An answer.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, if it came to the end that its framing names.
    pub body: Option<Bytes>,
}

impl HttpResponse {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when there is nobody.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Returns whether it can take a request; one that has ended can't.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the answer. An answer that breaks off has no body.
    ///
    /// # Errors
    ///
    /// Fails when no answer begins.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<HttpResponse> {
        self.sender.ready().await?;
        let response = self.sender.send_request(req).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.ok().map(|whole| whole.to_bytes());
        Ok(HttpResponse { status: parts.status.as_u16(), headers: parts.headers, body })
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Fails when no answer comes in time.
pub async fn send_once(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Millis,
) -> Result<HttpResponse> {
    let exchange = async { Connection::open(address).await?.send(req).await };
    let done = tokio::time::timeout(timeout.into(), exchange).await;
    done.map_err(|_| eyre!("no answer in {timeout}"))?
}
