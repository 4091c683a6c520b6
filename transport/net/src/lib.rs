//! HTTP servers and clients on ntex, relayed HTTP/1.1 on hyper, and JSON-RPC between instances on
//! jsonrpsee.

pub mod client;
pub mod framing;
pub mod h1;
pub mod http;
pub mod peer;

pub use client::Reply;
pub use peer::{PeerClient, PeerError, PeerMethods, PeerServer, PeerServerBuilder};
