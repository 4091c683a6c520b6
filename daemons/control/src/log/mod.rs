//! The replicated log of this process: its thread, its disk, and its peers.

pub mod disk;
pub mod driver;
pub mod handle;
pub mod hello;
pub mod peers;

pub use handle::{CommandText, LogHandle, Status, Submitted};
