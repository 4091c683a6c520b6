//! Load generator that checks every answer, and experiments in virtual time.

pub mod cli;
pub mod exchange;
pub mod experiment;
pub mod fleet;
pub mod mix;
pub mod plot;
pub mod report;
pub mod run;
pub mod sse;
