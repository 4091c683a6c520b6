//! The load and experiment tool.

pub mod check;
pub mod cli;
pub mod exchange;
pub mod run;
pub mod sse;
