//! The few operations on files that the store needs.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use sill_base::Map;

/// A folder of files, without folders inside.
pub trait Disk: Debug {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds bytes to the end of a file, which is made if missing; they are not yet durable.
    ///
    /// # Errors
    ///
    /// Fails when the bytes can't all be written; some of them may be.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Fails when that can't be done; what is durable is unknown then.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Cuts a file off at a length.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be changed.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Renames a file over another one.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be changed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be changed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names in the folder durable.
    ///
    /// # Errors
    ///
    /// Fails when that can't be done.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Any disk, for programs that are tested on one that fails.
pub type AnyDisk = Box<dyn Disk + Send>;

impl Disk for AnyDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        (**self).list()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        (**self).read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        (**self).append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        (**self).sync(name)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        (**self).truncate(name, len)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        (**self).rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        (**self).remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        (**self).sync_folder()
    }
}

/// The name of the file whose lock keeps a second process out.
const LOCK: &str = "lock";

/// A folder of the file system, locked for this process.
#[derive(Debug)]
pub struct FolderDisk {
    path: PathBuf,
    open: Map<String, File>,
    _lock: File,
}

impl FolderDisk {
    /// Makes the folder if it is missing, and locks it.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::WouldBlock`] when another process has the lock.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        // Without its parent synced, a new folder can vanish in a crash with all that it held.
        if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = OpenOptions::new().create(true).append(true).open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), open: Map::default(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(err)) => Err(err),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        Ok(self.open.get_mut(name).expect("inserted above"))
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
