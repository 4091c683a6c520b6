//! An in-memory disk with injected faults and simulated power loss, for tests.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A disk whose clones share one content, as a restarted process finds the files of the previous
/// one.
#[derive(Debug, Clone, Default)]
pub struct FaultyDisk {
    content: Arc<Mutex<Content>>,
}

/// A fault of the next operation that it applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFault {
    /// A write stores only a part of its bytes and fails with [`ErrorKind::StorageFull`].
    DiskFull {
        /// Number of bytes that are stored.
        stored: usize,
    },
    /// A sync fails. The bytes that it should have made durable can be read until a crash and are
    /// lost then, even if later syncs succeed.
    SyncFails,
    /// Truncating a file fails.
    TruncateFails,
    /// The next sync of the folder after a rename fails. This leaves the same state as a process
    /// killed between the two: the new name can be read, and a power loss may revert it.
    FolderSyncFailsAfterRename,
}

/// Files and names, as the process sees them and as a crash would leave them.
#[derive(Debug, Default, Clone)]
struct Content {
    /// Files; maps of names refer to them by index.
    files: Vec<FileContent>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    faults: Vec<DiskFault>,
    full: bool,
}

/// A change to the names in the folder. Each change is durable as a whole or not at all.
#[derive(Debug, Clone)]
enum NameChange {
    Create { name: String, file: usize },
    Rename { from: String, to: String, file: usize },
    Remove { name: String },
}

#[derive(Debug, Default, Clone)]
struct FileContent {
    /// Bytes that a read returns.
    bytes: Vec<u8>,
    /// Bytes that are left after a crash.
    durable: Vec<u8>,
    /// Range of bytes whose sync failed; a later sync stores zeros in their place.
    dropped: Option<Range<usize>>,
}

impl FileContent {
    fn sync(&mut self) {
        self.durable = self.bytes.clone();
        let Some(dropped) = self.dropped.clone() else { return };
        for byte in self.durable.iter_mut().take(dropped.end).skip(dropped.start) {
            *byte = 0;
        }
    }
}

impl FaultyDisk {
    /// Creates an empty disk without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Injects a fault into the next operation that it applies to.
    pub fn inject_fault(&self, fault: DiskFault) {
        self.content().faults.push(fault);
    }

    /// Sets whether every write of at least one byte fails as on a full disk.
    pub fn set_full(&self, full: bool) {
        self.content().full = full;
    }

    /// Simulates a power loss. Unsynced bytes are lost, except the first `kept` of each file.
    /// Unsynced changes to names and pending faults are dropped.
    pub fn crash(&self, kept: usize) {
        self.crash_keeping_names(kept, |_| false);
    }

    /// Simulates a power loss like [`FaultyDisk::crash`], but keeps each unsynced change to names
    /// for which `is_kept` returns true. Changes are numbered from 0, the oldest first. A disk
    /// writes them in any order, so any of them may be kept.
    pub fn crash_keeping_names<F>(&self, kept: usize, mut is_kept: F)
    where
        F: FnMut(usize) -> bool,
    {
        let mut content = self.content();
        let changes = std::mem::take(&mut content.unsynced_names);
        let changes = changes.into_iter().enumerate().filter(|(i, _)| is_kept(*i));
        for (_, change) in changes {
            change.apply(&mut content.durable_names);
        }
        content.names = content.durable_names.clone();
        for file in &mut content.files {
            let synced = file.durable.len();
            let mut survived = file.durable.clone();
            if let Some(tail) = file.bytes.get(synced..) {
                survived.extend(tail.iter().take(kept));
            }
            *file = FileContent { bytes: survived.clone(), durable: survived, dropped: None };
        }
        content.faults.clear();
    }

    /// Returns an independent disk with the content that this one would have after a crash now.
    pub fn after_crash(&self, kept: usize) -> Self {
        let content = self.content().clone();
        let disk = Self { content: Arc::new(Mutex::new(content)) };
        disk.crash(kept);
        disk
    }

    /// Erases all files and names, as when the disk is replaced.
    pub fn erase(&self) {
        *self.content() = Content::default();
    }

    /// Flips the lowest bit of the byte at `offset` of a file.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let mut content = self.content();
        if let Some(byte) = content.file(name).and_then(|f| f.bytes.get_mut(offset)) {
            *byte ^= 1;
        }
    }

    /// Replaces the content of an existing file and makes it durable.
    pub fn overwrite(&self, name: &str, bytes: &[u8]) {
        let mut content = self.content();
        if let Some(file) = content.file(name) {
            let (bytes, durable) = (bytes.to_vec(), bytes.to_vec());
            *file = FileContent { bytes, durable, dropped: None };
        }
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl NameChange {
    fn apply(self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Create { name, file } => {
                names.insert(name, file);
            }
            Self::Rename { from, to, file } => {
                names.remove(&from);
                names.insert(to, file);
            }
            Self::Remove { name } => {
                names.remove(&name);
            }
        }
    }
}

impl Content {
    fn change_names(&mut self, change: NameChange) {
        change.clone().apply(&mut self.names);
        self.unsynced_names.push(change);
    }

    /// Removes a fault that applies to a sync of the folder, and returns whether there was one.
    fn take_folder_sync_fault(&mut self) -> bool {
        let is_rename = |change: &NameChange| matches!(change, NameChange::Rename { .. });
        let has_unsynced_rename = self.unsynced_names.iter().any(is_rename);
        let applies = |fault: &DiskFault| match fault {
            DiskFault::SyncFails => true,
            DiskFault::FolderSyncFailsAfterRename => has_unsynced_rename,
            DiskFault::DiskFull { .. } | DiskFault::TruncateFails => false,
        };
        self.take_fault(applies).is_some()
    }

    fn file(&mut self, name: &str) -> Option<&mut FileContent> {
        let index = *self.names.get(name)?;
        self.files.get_mut(index)
    }

    fn existing_file(&mut self, name: &str) -> io::Result<&mut FileContent> {
        self.file(name).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn take_fault<F>(&mut self, applies: F) -> Option<DiskFault>
    where
        F: Fn(&DiskFault) -> bool,
    {
        let index = self.faults.iter().position(applies)?;
        Some(self.faults.remove(index))
    }
}

impl crate::Disk for FaultyDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.content().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.content().existing_file(name)?.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.content();
        if content.file(name).is_none() {
            let index = content.files.len();
            content.files.push(FileContent::default());
            content.change_names(NameChange::Create { name: name.to_owned(), file: index });
        }
        let fault = content.take_fault(|fault| matches!(fault, DiskFault::DiskFull { .. }));
        let stored = match fault {
            Some(DiskFault::DiskFull { stored }) => stored,
            _ if content.full && !bytes.is_empty() => 0,
            _ => usize::MAX,
        };
        let file = content.existing_file(name)?;
        file.bytes.extend(bytes.iter().take(stored));
        if stored < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.content();
        if content.take_fault(|fault| *fault == DiskFault::SyncFails).is_some() {
            let file = content.existing_file(name)?;
            let start = file.dropped.as_ref().map_or(file.durable.len(), |d| d.start);
            file.dropped = Some(start.min(file.bytes.len())..file.bytes.len());
            return Err(io::Error::other("sync failed"));
        }
        content.existing_file(name)?.sync();
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut content = self.content();
        if content.take_fault(|fault| *fault == DiskFault::TruncateFails).is_some() {
            return Err(io::Error::other("truncate failed"));
        }
        let (file, len) = (content.existing_file(name)?, len as usize);
        file.bytes.truncate(len);
        // Bytes written there later are new, so a successful sync makes them durable.
        let left = file.dropped.take().map(|d| d.start.min(len)..d.end.min(len));
        file.dropped = left.filter(|dropped| !dropped.is_empty());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut content = self.content();
        let file = *content.names.get(from).ok_or(ErrorKind::NotFound)?;
        content.change_names(NameChange::Rename { from: from.to_owned(), to: to.to_owned(), file });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut content = self.content();
        content.existing_file(name)?;
        content.change_names(NameChange::Remove { name: name.to_owned() });
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut content = self.content();
        if content.take_folder_sync_fault() {
            return Err(io::Error::other("sync failed"));
        }
        content.durable_names = content.names.clone();
        content.unsynced_names.clear();
        Ok(())
    }
}
