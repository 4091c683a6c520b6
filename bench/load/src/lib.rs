//! The load and experiment tool.

pub mod check;
pub mod cli;
pub mod fleet;
pub mod run;
