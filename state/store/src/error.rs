//! Errors of opening a data folder and of writing to it.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io;

/// The reason why a data folder can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// Another process holds the lock on the folder.
    InUse,
    /// The folder has a format that this version of the program can't read.
    Format {
        /// Content of the folder's format file, trimmed.
        found: String,
        /// The format that this program reads and writes.
        expected: &'static str,
    },
    /// An acknowledged record can't be read.
    Corrupt {
        /// Name of the corrupt file.
        file: String,
        /// Offset in bytes at which the unreadable frame starts.
        offset: u64,
        /// What is wrong with the frame.
        reason: &'static str,
    },
    /// A file that the folder must contain is missing.
    Missing {
        /// Name of the missing file.
        file: String,
    },
    /// A file operation failed.
    Io(io::Error),
}

/// The reason why a write was rejected.
#[derive(Debug)]
pub enum WriteError {
    /// The disk is full. The stored state is unchanged and reads still work.
    Full,
    /// The write failed. The stored state is unchanged.
    Io(io::Error),
    /// An earlier sync failed, so the content of the disk is unknown until the folder is reopened.
    ReopenRequired,
}

impl Display for OpenError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::InUse => f.write_str("the data folder is in use by another process"),
            Self::Format { found, expected } => {
                write!(f, "the data folder has format {found:?}; this program reads {expected:?}")
            }
            Self::Corrupt { file, offset, reason } => {
                write!(f, "{file}: damaged at byte {offset}: {reason}")
            }
            Self::Missing { file } => write!(f, "{file}: missing from the data folder"),
            Self::Io(err) => write!(f, "data folder: {err}"),
        }
    }
}

impl Error for OpenError {}

impl From<io::Error> for OpenError {
    fn from(err: io::Error) -> Self {
        if err.kind() == io::ErrorKind::WouldBlock { Self::InUse } else { Self::Io(err) }
    }
}

impl Display for WriteError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("the disk is full"),
            Self::Io(err) => write!(f, "the disk failed: {err}"),
            Self::ReopenRequired => {
                f.write_str("an earlier sync failed; the folder must be reopened")
            }
        }
    }
}

impl Error for WriteError {}

impl From<io::Error> for WriteError {
    fn from(err: io::Error) -> Self {
        if err.kind() == io::ErrorKind::StorageFull { Self::Full } else { Self::Io(err) }
    }
}
