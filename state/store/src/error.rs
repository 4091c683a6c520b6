//! Why a data folder can't be opened or written.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io;

/// Why a data folder can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// Another process has it open.
    InUse,
    /// It was written by a version that this program can't read.
    Format {
        /// What the folder's format file says.
        found: String,
        /// What this program reads and writes.
        expected: &'static str,
    },
    /// A record that was acknowledged can't be read any more.
    Corrupt {
        /// The file.
        file: String,
        /// Where the bad record starts, in bytes.
        offset: u64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// A file that must be there is missing.
    Missing {
        /// The file.
        file: String,
    },
    /// The disk can't be used.
    Io(io::Error),
}

/// Why a write was not taken in.
#[derive(Debug)]
pub enum WriteError {
    /// The disk is full; nothing was changed, and reads go on.
    Full,
    /// The write failed; nothing was changed.
    Io(io::Error),
    /// An earlier sync failed, so what lies on the disk is unknown until the folder is opened again.
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
                f.write_str("an earlier sync failed; the folder must be opened again")
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
