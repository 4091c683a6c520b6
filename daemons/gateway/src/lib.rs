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
pub mod failure;
pub mod link;
pub mod metrics;
pub mod migration;
pub mod planned_stop;
pub mod relay;
pub mod serve;
pub mod settings_fetcher;
pub mod sill_dialect;
pub mod state;
pub mod summary;
pub mod termination;

pub use cfg::GatewayCfg;
pub use daemon::Gateway;
pub use dialect::{AnswerClass, CallHead, Dialect, Forward, MovedMemory};
pub use failure::Failure;
pub use sill_dialect::SillDialect;
