//! A data folder that holds a checksummed log and snapshots. Writes are synced to disk before they
//! are acknowledged.

pub mod disk;
pub mod error;
pub mod faulty_disk;
pub mod frame;
pub mod store;

pub use disk::{AnyDisk, Disk, FolderDisk};
pub use error::{OpenError, WriteError};
pub use faulty_disk::FaultyDisk;
pub use store::{RecoveredState, Store, TornTail};
