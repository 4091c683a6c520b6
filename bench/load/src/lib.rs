//! The load and experiment tool.

pub mod cli;
pub mod exchange;
pub mod experiment;
pub mod fleet;
pub mod mix;
pub mod plot;
pub mod report;
pub mod run;
pub mod sse;
