//! The entry instance for routes: takes callers' requests, sends them to endpoints of the route's
//! service, and passes the answers on byte for byte as they come.
//!
//! Data goes one way: [`serve`] reads and admits a call, [`dispatch`] finds an endpoint and makes the
//! attempts, [`answer`] and [`relay`] pass the answer on. [`link`] keeps up with the control instances, [`feed`] fetches
//! settings from them.

pub mod answer;
pub mod cfg;
pub mod cli;
pub mod daemon;
pub mod dialect;
pub mod dispatch;
pub mod ending;
pub mod failure;
pub mod feed;
pub mod link;
pub mod metrics;
pub mod moves;
pub mod own;
pub mod relay;
pub mod serve;
pub mod state;
pub mod stopping;
pub mod summary;

pub use cfg::GatewayCfg;
pub use daemon::Gateway;
pub use dialect::{AnswerClass, CallHead, Dialect, Forward, MovedMemory};
pub use failure::Failure;
pub use own::SillDialect;
