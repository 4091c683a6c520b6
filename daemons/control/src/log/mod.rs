//! The replicated log: its thread, its storage, and the connections to its peers.

pub mod disk;
pub mod driver;
pub mod handle;
pub mod hello;
pub mod peers;

pub use handle::{CommandText, LogHandle, Status, SubmitResult};
