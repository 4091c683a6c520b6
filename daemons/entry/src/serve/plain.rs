//! Attempts at endpoints of plain services.
//!
//! They use another HTTP client than those at models: that one takes a body that ends with its
//! connection for an empty one.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Uri, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use sill_base::{Clock, Millis};
use sill_net::h1::{Answer, ConnectionPool, ConnectionPoolCfg, SendFailure};
use sill_wire::handoff::{HttpReply, ReplyBody, ReplyHeader};

use super::headers::forwardable_headers;
use super::upstream::{MAX_REPLY_BYTES, UpstreamEvent, too_large_reply};

/// Bounds of connections to plain services.
const CONNECTIONS: ConnectionPoolCfg = ConnectionPoolCfg {
    source: None,
    connect_timeout: Millis(1000),
    unacknowledged_timeout: Millis(3000),
    idle_timeout: Millis(10_000),
    keep_alive_margin: Millis(1000),
};

/// Longest time that a connection may have been idle if a request is sent on it. The endpoint may
/// be closing an older one, and then it is unknown whether the request ran.
const MAX_IDLE: Millis = Millis(1500);

/// Creates the pool of connections to plain services.
pub fn connections(clock: Clock) -> ConnectionPool {
    ConnectionPool::new(CONNECTIONS, clock)
}

/// A request to an endpoint of a plain service.
#[derive(Debug)]
pub struct PlainRequest {
    /// The endpoint, `IP:PORT`.
    pub address: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// All headers but `host`.
    pub headers: Vec<ReplyHeader>,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends a request and reads the complete answer.
pub async fn exchange(pool: ConnectionPool, request: PlainRequest) -> UpstreamEvent {
    let Ok(address) = request.address.parse::<SocketAddr>() else {
        return UpstreamEvent::ConnectFailure(format!("invalid address {}", request.address));
    };
    let req = match build(request) {
        Ok(req) => req,
        Err(err) => return UpstreamEvent::ConnectFailure(err.to_string()),
    };
    match pool.send(address, req, MAX_IDLE).await {
        Ok(answer) => collect(answer).await,
        Err(SendFailure::NotSent(err)) => UpstreamEvent::ConnectFailure(err),
        Err(SendFailure::Unknown(err)) => UpstreamEvent::Cut(err),
    }
}

fn build(request: PlainRequest) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut req = Request::new(Full::new(Bytes::from(request.body)));
    *req.method_mut() = Method::from_bytes(request.method.as_bytes())?;
    *req.uri_mut() = Uri::try_from(request.path)?;
    let headers = req.headers_mut();
    headers.insert(header::HOST, HeaderValue::try_from(request.address)?);
    for ReplyHeader { name, value } in &request.headers {
        let name = HeaderName::try_from(name.as_str())?;
        headers.append(name, HeaderValue::try_from(value.as_str())?);
    }
    Ok(req)
}

async fn collect(answer: Answer) -> UpstreamEvent {
    let (response, connection) = answer.into_parts();
    let (parts, body) = response.into_parts();
    let headers = parts.headers.iter().map(|(name, value)| (name.as_str(), value.to_str().ok()));
    let headers = forwardable_headers(headers);
    match Limited::new(body, MAX_REPLY_BYTES).collect().await {
        Ok(body) => {
            if let Some(connection) = connection {
                connection.release();
            }
            let (status, body) = (parts.status.as_u16(), body.to_bytes());
            UpstreamEvent::Reply(HttpReply { status, headers, body: ReplyBody::new(&body) })
        }
        // A retry would get an answer of the same size, so the caller is told at once.
        Err(err) if err.is::<LengthLimitError>() => UpstreamEvent::Reply(too_large_reply()),
        Err(err) => UpstreamEvent::Cut(err.to_string()),
    }
}
