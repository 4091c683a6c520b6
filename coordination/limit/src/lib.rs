//! Limits of client accounts, shared by all entry instances.

pub mod limiter;

pub use limiter::{Cost, Limiter, LimiterCfg, Verdict};
