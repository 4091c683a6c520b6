//! The log and the snapshots of one data folder.
//!
//! Files belong to numbered generations: `log-N` holds the records written after the state in
//! `snapshot-N`. A generation is in use once its snapshot has its final name. All other files of
//! the store are leftovers of interrupted writes and are removed.

use crate::disk::Disk;
use crate::error::{OpenError, WriteError};
use crate::frame::{self, FrameRead};

/// Content of the format file: the one format that this program reads and writes.
const FORMAT: &str = "sill-store 1\n";

/// Name of the file that holds the format. It is created last, so a folder that has it is complete.
const FORMAT_FILE: &str = "format";

/// Temporary name of a snapshot while it is written.
const UNFINISHED_SNAPSHOT_FILE: &str = "snapshot.unfinished";

/// An open data folder: the log that is appended to and the snapshot before it.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    generation: u64,
    log_len: u64,
    snapshot_len: u64,
    /// Set when the content of the disk became unknown; writes fail until the folder is reopened.
    needs_reopen: bool,
}

/// The state read from a folder when it is opened.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RecoveredState {
    /// The newest snapshot, if one was ever taken.
    pub snapshot: Option<Vec<u8>>,
    /// The records appended after the snapshot, in order.
    pub records: Vec<Vec<u8>>,
    /// The unfinished write at the end of the log, if there was one. It was truncated.
    pub torn_tail: Option<TornTail>,
}

/// An unfinished write that was removed from the end of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TornTail {
    /// Name of the log file.
    pub file: String,
    /// Offset in bytes at which it started.
    pub offset: u64,
    /// Bytes that were removed.
    pub len: u64,
}

impl<D> Store<D>
where
    D: Disk,
{
    /// Opens a folder and reads its state, or initializes an empty one.
    ///
    /// # Errors
    ///
    /// Fails when the folder has another format or when an acknowledged record can't be read.
    pub fn open(mut disk: D) -> Result<(Self, RecoveredState), OpenError> {
        let names = disk.list()?;
        let generation = newest_generation(&names);
        if names.iter().any(|name| name == FORMAT_FILE) {
            check_format(&mut disk)?;
            // A process that was killed between a rename and the sync of the folder leaves a name
            // that a power loss can revert. All later writes go to the files of that name, and the
            // older files are removed below: after a power loss an operator would find an older
            // state, or none.
            disk.sync_folder()?;
        } else if generation > 0 {
            return Err(OpenError::Missing { file: FORMAT_FILE.to_owned() });
        } else {
            create(&mut disk, &names)?;
        }
        let mut store = Self { disk, generation, log_len: 0, snapshot_len: 0, needs_reopen: false };
        let mut recovered = RecoveredState::default();
        if generation > 0 {
            recovered.snapshot = Some(store.read_snapshot()?);
        }
        store.read_log(&mut recovered)?;
        store.remove_leftovers()?;
        Ok((store, recovered))
    }

    /// Appends records atomically. They are durable when this returns.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or failing; none of the records is stored then.
    pub fn append<R>(&mut self, records: &[R]) -> Result<(), WriteError>
    where
        R: AsRef<[u8]>,
    {
        if self.needs_reopen {
            return Err(WriteError::ReopenRequired);
        }
        let mut buf = Vec::new();
        frame::append_frame(&mut buf, records);
        let log = log_name(self.generation);
        if let Err(err) = self.disk.append(&log, &buf) {
            // Remove the partial frame. Otherwise the next frame would follow invalid bytes, and a
            // restart would reject the log as corrupt in the middle.
            self.needs_reopen = self.disk.truncate(&log, self.log_len).is_err();
            return Err(err.into());
        }
        if let Err(err) = self.disk.sync(&log) {
            // The kernel may drop pages whose write failed and report success on the next sync,
            // so a later sync that succeeds doesn't prove that this frame is durable.
            self.needs_reopen = true;
            // Remove the frame. Otherwise a process that is killed now and restarted would read it
            // and acknowledge it to other instances, although a power loss can still remove it. The
            // frame was not acknowledged, so it may be removed; the disk may still hold all or part
            // of it.
            let _ = self.disk.truncate(&log, self.log_len);
            return Err(err.into());
        }
        self.log_len += buf.len() as u64;
        Ok(())
    }

    /// Replaces the whole content with a snapshot and the records after it. The new state is
    /// durable when this returns.
    ///
    /// All files are rewritten. After a failed sync, a reopened folder must be replaced before the
    /// next append, because pages that the kernel failed to write can still be read from its cache.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or failing; the older state stays in use then.
    pub fn replace<R>(&mut self, snapshot: &[u8], records: &[R]) -> Result<(), WriteError>
    where
        R: AsRef<[u8]>,
    {
        if self.needs_reopen {
            return Err(WriteError::ReopenRequired);
        }
        let next = self.generation + 1;
        match self.write_generation(next, snapshot, records) {
            Ok((snapshot_len, log_len)) => {
                let old_generation = self.generation;
                self.generation = next;
                self.snapshot_len = snapshot_len;
                self.log_len = log_len;
                // Leftover files do no harm. The next start removes those that can't be removed
                // now.
                let _ = self.disk.remove(&log_name(old_generation));
                let _ = self.disk.remove(&snapshot_name(old_generation));
                Ok(())
            }
            Err(err) => {
                // Once the new snapshot has its final name, its log must not be removed: a restart
                // finds the snapshot and rejects a folder whose log is missing.
                if !self.needs_reopen {
                    let _ = self.disk.remove(UNFINISHED_SNAPSHOT_FILE);
                    let _ = self.disk.remove(&log_name(next));
                }
                Err(err.into())
            }
        }
    }

    /// Returns the size of log and snapshot together, in bytes.
    pub fn size(&self) -> u64 {
        self.log_len + self.snapshot_len
    }

    /// Returns the size of the log in bytes.
    pub fn log_size(&self) -> u64 {
        self.log_len
    }

    /// Returns the disk, so that the folder can be reopened.
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn write_generation<R>(
        &mut self,
        next: u64,
        snapshot: &[u8],
        records: &[R],
    ) -> std::io::Result<(u64, u64)>
    where
        R: AsRef<[u8]>,
    {
        let (log, name) = (log_name(next), snapshot_name(next));
        let mut log_buf = Vec::new();
        if !records.is_empty() {
            frame::append_frame(&mut log_buf, records);
        }
        let mut snapshot_buf = Vec::new();
        frame::append_frame(&mut snapshot_buf, &[snapshot]);
        self.disk.append(&log, &log_buf)?;
        self.disk.sync(&log)?;
        self.disk.append(UNFINISHED_SNAPSHOT_FILE, &snapshot_buf)?;
        self.disk.sync(UNFINISHED_SNAPSHOT_FILE)?;
        // The log's name must be durable before the snapshot has its final name, because a restart
        // that finds the snapshot requires its log.
        self.disk.sync_folder()?;
        self.disk.rename(UNFINISHED_SNAPSHOT_FILE, &name)?;
        if let Err(err) = self.disk.sync_folder() {
            // It is unknown which generation a restart after a crash would use, and writes can go
            // to only one of them.
            self.needs_reopen = true;
            return Err(err);
        }
        Ok((snapshot_buf.len() as u64, log_buf.len() as u64))
    }

    fn read_snapshot(&mut self) -> Result<Vec<u8>, OpenError> {
        let file = snapshot_name(self.generation);
        let bytes = self.disk.read(&file)?;
        self.snapshot_len = bytes.len() as u64;
        let corrupt = |reason| OpenError::Corrupt { file: file.clone(), offset: 0, reason };
        match frame::read_at(&bytes, 0) {
            FrameRead::Frame { payload, .. } => frame::decode_records(payload)
                .and_then(|mut records| records.pop())
                .ok_or_else(|| corrupt("snapshot without a record")),
            FrameRead::Invalid(reason) => Err(corrupt(reason)),
            FrameRead::End => Err(corrupt("empty file")),
        }
    }

    fn read_log(&mut self, recovered: &mut RecoveredState) -> Result<(), OpenError> {
        let file = log_name(self.generation);
        if !self.disk.list()?.contains(&file) {
            return Err(OpenError::Missing { file });
        }
        let bytes = self.disk.read(&file)?;
        let mut start = 0;
        loop {
            let reason = match frame::read_at(&bytes, start) {
                FrameRead::End => break,
                FrameRead::Frame { payload, next } => {
                    let Some(records) = frame::decode_records(payload) else {
                        let reason = "record longer than its frame";
                        return Err(OpenError::Corrupt { file, offset: start as u64, reason });
                    };
                    recovered.records.extend(records);
                    start = next;
                    continue;
                }
                FrameRead::Invalid(reason) => reason,
            };
            // Each append writes one frame and starts after the previous one has finished, so an
            // unfinished append is at the end of the file. A complete frame after an invalid one
            // means that an acknowledged record is corrupt, and dropping it would revert a change.
            if frame::has_frame_from(&bytes, start + 1) {
                return Err(OpenError::Corrupt { file, offset: start as u64, reason });
            }
            let (offset, len) = (start as u64, (bytes.len() - start) as u64);
            self.disk.truncate(&file, offset)?;
            recovered.torn_tail = Some(TornTail { file: file.clone(), offset, len });
            break;
        }
        // A killed process may have written a record without syncing it. The record was replayed
        // here and takes effect, so it must not be lost in a later crash of the machine.
        self.disk.sync(&file)?;
        self.log_len = start as u64;
        Ok(())
    }

    fn remove_leftovers(&mut self) -> Result<(), OpenError> {
        let in_use =
            [FORMAT_FILE.to_owned(), log_name(self.generation), snapshot_name(self.generation)];
        for name in self.disk.list()? {
            let is_store_file = name == UNFINISHED_SNAPSHOT_FILE
                || name.starts_with("log-")
                || name.starts_with("snapshot-")
                || name == unfinished_format_file();
            if is_store_file && !in_use.contains(&name) {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }
}

/// Returns the number of the newest snapshot, or 0 if there is none.
fn newest_generation(names: &[String]) -> u64 {
    let numbers = names.iter().filter_map(|name| name.strip_prefix("snapshot-")?.parse().ok());
    numbers.max().unwrap_or(0)
}

fn check_format<D>(disk: &mut D) -> Result<(), OpenError>
where
    D: Disk,
{
    let found = String::from_utf8_lossy(&disk.read(FORMAT_FILE)?).into_owned();
    if found == FORMAT {
        return Ok(());
    }
    Err(OpenError::Format { found: found.trim().to_owned(), expected: FORMAT.trim() })
}

/// Creates the files of a new folder. The format file is created last, so its presence shows that
/// all others are durable.
fn create<D>(disk: &mut D, names: &[String]) -> Result<(), OpenError>
where
    D: Disk,
{
    let log = log_name(0);
    for leftover in [log.as_str(), &unfinished_format_file()] {
        if names.iter().any(|name| name == leftover) {
            disk.remove(leftover)?;
        }
    }
    disk.append(&log, &[])?;
    disk.sync(&log)?;
    disk.append(&unfinished_format_file(), FORMAT.as_bytes())?;
    disk.sync(&unfinished_format_file())?;
    disk.sync_folder()?;
    disk.rename(&unfinished_format_file(), FORMAT_FILE)?;
    disk.sync_folder()?;
    Ok(())
}

fn unfinished_format_file() -> String {
    format!("{FORMAT_FILE}.unfinished")
}

fn log_name(generation: u64) -> String {
    format!("log-{generation}")
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation}")
}
