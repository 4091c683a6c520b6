//! The file operations that the store needs, and their implementation on the file system.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use sill_base::Map;

/// A flat folder of files, without subfolders.
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

    /// Appends bytes to a file and creates it if it is missing. The bytes are durable only after
    /// [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// Fails when not all bytes can be written; a part of them may have been written then.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Fails when the sync fails; which bytes are durable is unknown then.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be changed.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;

    /// Renames a file, replacing any file that has the new name.
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

    /// Makes all created, renamed and removed names in the folder durable.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be synced; which names are durable is unknown then.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A boxed disk, so that a program can run on a folder and its tests on a disk with injected
/// faults.
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

/// Name of the file that the process locks, so that no second process uses the folder.
const LOCK_FILE: &str = "lock";

/// A folder of the file system, locked by this process until the value is dropped.
#[derive(Debug)]
pub struct FolderDisk {
    path: PathBuf,
    open_files: Map<String, File>,
    _lock: File,
}

impl FolderDisk {
    /// Creates the folder if it is missing, and locks it.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::WouldBlock`] when another process holds the lock.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        // If its parent isn't synced, a new folder and all its files can be lost in a crash.
        if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        let lock = OpenOptions::new().create(true).append(true).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), open_files: Map::default(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(err)) => Err(err),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open_files.insert(name.to_owned(), file);
        }
        Ok(self.open_files.get_mut(name).expect("the file was inserted above if missing"))
    }
}

impl Disk for FolderDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
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
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
