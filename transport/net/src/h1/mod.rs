//! HTTP/1.1 that is passed through: servers and connections whose bodies are relayed as they come.
//!
//! Both sides are hyper's. ntex's client hands out the body of an answer without a length as whole
//! when its connection was reset, and its server goes on after a body that ended in an error; a
//! caller would take a cut answer for a whole one.

mod client;
mod pages;
mod server;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, header};

pub use client::{Answer, ConnectionPool, ConnectionPoolCfg, ReusableConnection, SendFailure};
pub use pages::{Page, serve_pages};
pub use server::{OpenConnections, ServerCfg, ServerPhase, serve};

/// Any error of a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body that is made of parts as they come.
pub type AnyBody = http_body_util::combinators::UnsyncBoxBody<Bytes, BodyError>;

/// Makes a body that is known as a whole.
pub fn full_body<B>(bytes: B) -> AnyBody
where
    B: Into<Bytes>,
{
    use http_body_util::BodyExt;
    let full = http_body_util::Full::new(bytes.into());
    full.map_err(|never| match never {}).boxed_unsync()
}

/// Removes the headers that concern only one connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
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
