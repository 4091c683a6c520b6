//! The load and experiment tool.

pub mod check;
pub mod cli;
pub mod experiment;
pub mod run;
