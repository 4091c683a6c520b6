//! HTTP towards the outside by ntex, relayed HTTP by hyper, and JSON-RPC between our own processes by
//! jsonrpsee.

pub mod client;
pub mod h1;
pub mod http;
pub mod peer;

pub use client::Reply;
pub use peer::{PeerClient, PeerError, PeerServer, PeerServerBuilder};
