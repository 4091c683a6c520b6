//! Relayed HTTP/1.1: a server and a client whose bodies are streamed as they arrive.
//!
//! Both use hyper. With ntex, the client reports a response body without a length as complete after
//! its connection was reset, and the server continues after a body that ended in an error; a caller
//! would take a truncated answer for a complete one.

mod client;
mod endpoint_stream;
mod pages;
mod server;
mod tunnel;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, header};

pub use client::{
    Answer, ConnectFailure, Connection, ConnectionPool, ConnectionPoolCfg, Framing, KeptOutcome,
    MAX_FETCHED_BYTES, Probe, ReusableConnection, SendFailure, Target, Tunnel, error_text,
    is_final,
};
pub use pages::{Page, serve_pages};
pub use server::{OpenConnections, ServerCfg, ServerPhase, serve};
pub use tunnel::{
    TunnelDenial, TunnelEnd, TunnelFailure, TunnelGrant, TunnelRequest, TunnelServer, serve_tunnels,
};

/// An error while a body is read or produced.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body of any kind, complete or streamed.
pub type AnyBody = http_body_util::combinators::UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body of which all bytes are known.
pub fn full_body<B>(bytes: B) -> AnyBody
where
    B: Into<Bytes>,
{
    use http_body_util::BodyExt;
    let full = http_body_util::Full::new(bytes.into());
    full.map_err(|never| match never {}).boxed_unsync()
}

/// Removes the headers that apply to a single connection, including those named by `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers {
        headers.remove(name);
    }
    const HOP_BY_HOP: [&str; 7] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "transfer-encoding",
        "upgrade",
    ];
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
