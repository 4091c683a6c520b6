//! The control instance: accepts settings changes and claims, stores them in a replicated log, and
//! distributes settings to entry instances.

pub mod api;
pub mod app;
pub mod cfg;
pub mod cli;
pub mod daemon;
pub mod directory;
pub mod duty;
pub mod editions;
pub mod entry_status;
pub mod feed;
pub mod link;
pub mod log;
pub mod metrics;
pub mod origins;
pub mod rollouts;
pub mod rpc;
pub mod settings_pieces;
pub mod shared;
pub mod submit;

pub use app::command::{Edition, UsageStatement};
pub use cfg::ControlCfg;
pub use daemon::{Control, Extension};
pub use duty::{CallOutcome, CountOrder, DutyCfg, Fence, Platform};
pub use shared::Shared;
