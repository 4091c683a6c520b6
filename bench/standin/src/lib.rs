//! Stand-ins for external systems: model endpoints, plain services, the platform's cloud API and
//! the weights store.

pub mod answer;
pub mod cache;
pub mod cli;
pub mod cloud;
pub mod endpoint;
pub mod events;
pub mod kv;
pub mod ledger;
pub mod load_report;
pub mod loopback;
pub mod orders;
pub mod panics;
pub mod program;
mod run;
pub mod weights;

pub use endpoint::{Endpoint, EndpointCfg};
