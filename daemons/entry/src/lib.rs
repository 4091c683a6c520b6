//! The entry instance: accepts callers' requests and gives each exactly one answer.

pub mod announce;
pub mod api;
pub mod body;
pub mod cfg;
pub mod claims;
pub mod cli;
pub mod close_on_stop;
pub mod copy;
pub mod daemon;
pub mod errors;
pub mod explain;
pub mod feed;
pub mod gauges;
pub mod handoff;
pub mod limits;
pub mod members;
pub mod metrics;
pub mod parents;
pub mod peer_server;
pub mod peers;
pub mod record;
pub mod request;
pub mod routing;
pub mod serve;
pub mod settings;
pub mod stop;

pub use cfg::EntryCfg;
pub use daemon::Entry;
