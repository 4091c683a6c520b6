//! The entry instance: takes callers' requests and sees each through to its one answer.

pub mod announce;
pub mod api;
pub mod cfg;
pub mod cli;
pub mod daemon;
pub mod feed;
pub mod metrics;
pub mod settings;
pub mod upstream;

pub use cfg::EntryCfg;
pub use daemon::Entry;
