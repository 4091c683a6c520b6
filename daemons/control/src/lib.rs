//! The control instance: takes in settings changes, keeps them, and hands them to entry instances.

pub mod api;
pub mod cfg;
pub mod cli;
pub mod daemon;
pub mod feed;
pub mod state;

pub use cfg::ControlCfg;
pub use daemon::Control;
