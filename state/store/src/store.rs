//! The log and the snapshots of one data folder.
//!
//! Files come in generations: `snapshot-N` is the state that `log-N` goes on from. A generation
//! is in use once its snapshot has its final name; everything else in the folder is left over.

use crate::disk::Disk;
use crate::error::{OpenError, WriteError};
use crate::frame::{self, FrameRead};

/// The format that this program reads and writes.
const FORMAT: &str = "sill-store 1\n";

/// The file that holds the format.
const FORMAT_FILE: &str = "format";

/// A snapshot that is still being written.
const UNFINISHED: &str = "snapshot.unfinished";

/// An open data folder.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    generation: u64,
    log_len: u64,
    snapshot_len: u64,
    broken: bool,
}

/// What an opened folder held.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RecoveredState {
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records written since.
    pub records: Vec<Vec<u8>>,
    /// A write that had not been finished, if there was one; it was cut off.
    pub torn_tail: Option<TornTail>,
}

/// The rest of an unfinished write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TornTail {
    /// The file.
    pub file: String,
    /// Where it started, in bytes.
    pub offset: u64,
    /// Its length in bytes.
    pub len: u64,
}

impl<D> Store<D>
where
    D: Disk,
{
    /// Opens a folder, or starts a new one.
    ///
    /// # Errors
    ///
    /// Fails when the folder has another format or when acknowledged records can't be read.
    pub fn open(mut disk: D) -> Result<(Self, RecoveredState), OpenError> {
        let names = disk.list()?;
        let generation = generation(&names);
        if names.iter().any(|name| name == FORMAT_FILE) {
            check_format(&mut disk)?;
            // A process that was killed between a rename and the sync of the folder leaves a name that
            // a loss of power may take away. Whatever is acknowledged from here on lies in files that
            // only this name leads to, and the older files are removed below: an operator would find
            // an older state, or none.
            disk.sync_folder()?;
        } else if generation > 0 {
            return Err(OpenError::Missing { file: FORMAT_FILE.to_owned() });
        } else {
            create(&mut disk, &names)?;
        }
        let mut store = Self { disk, generation, log_len: 0, snapshot_len: 0, broken: false };
        let mut recovered = RecoveredState::default();
        if generation > 0 {
            recovered.snapshot = Some(store.read_snapshot()?);
        }
        store.read_log(&mut recovered)?;
        store.remove_left_over()?;
        Ok((store, recovered))
    }

    /// Adds records, all or none; they are durable when this returns.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken; none of the records is there then.
    pub fn append<R>(&mut self, records: &[R]) -> Result<(), WriteError>
    where
        R: AsRef<[u8]>,
    {
        if self.broken {
            return Err(WriteError::ReopenRequired);
        }
        let mut buf = Vec::new();
        frame::append_frame(&mut buf, records);
        let log = log_name(self.generation);
        if let Err(err) = self.disk.append(&log, &buf) {
            // What was written of the frame must go, or the next append would stand behind
            // garbage and a restart would refuse the folder as damaged in the middle.
            self.broken = self.disk.truncate(&log, self.log_len).is_err();
            return Err(err.into());
        }
        if let Err(err) = self.disk.sync(&log) {
            // The kernel may drop pages whose write failed and report success on the next sync,
            // so a sync that succeeds later would prove nothing about this frame.
            self.broken = true;
            // A process that is killed now and starts again must not find the frame: it would count on
            // what reads well, and others on its word, though a loss of power takes it away. Nobody was
            // told of the frame, so it may go; on the disk it may still be there, whole or not.
            let _ = self.disk.truncate(&log, self.log_len);
            return Err(err.into());
        }
        self.log_len += buf.len() as u64;
        Ok(())
    }

    /// Puts a snapshot, and the records since, in place of everything; durable when this returns.
    ///
    /// All files are written anew. After a failed sync a folder that was opened again must be
    /// replaced before anything is appended, since pages that the kernel dropped still read well.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken; the older state is still in place then.
    pub fn replace<R>(&mut self, snapshot: &[u8], records: &[R]) -> Result<(), WriteError>
    where
        R: AsRef<[u8]>,
    {
        if self.broken {
            return Err(WriteError::ReopenRequired);
        }
        let next = self.generation + 1;
        match self.write_generation(next, snapshot, records) {
            Ok((snapshot_len, log_len)) => {
                let older = self.generation;
                self.generation = next;
                self.snapshot_len = snapshot_len;
                self.log_len = log_len;
                // Left-over files do no harm; the next start removes what can't be removed now.
                let _ = self.disk.remove(&log_name(older));
                let _ = self.disk.remove(&snapshot_name(older));
                Ok(())
            }
            Err(err) => {
                // Once the new snapshot has its final name, the log that belongs to it must stay: a
                // restart finds the name, and refuses a folder whose log is missing.
                if !self.broken {
                    let _ = self.disk.remove(UNFINISHED);
                    let _ = self.disk.remove(&log_name(next));
                }
                Err(err.into())
            }
        }
    }

    /// Returns the bytes that log and snapshot take.
    pub fn size(&self) -> u64 {
        self.log_len + self.snapshot_len
    }

    /// Returns the bytes of the log.
    pub fn log_size(&self) -> u64 {
        self.log_len
    }

    /// Gives the disk back, to open it again.
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
        self.disk.append(UNFINISHED, &snapshot_buf)?;
        self.disk.sync(UNFINISHED)?;
        // The log's name must be durable before the snapshot's final name can be, since the
        // latter makes a restart look for the former.
        self.disk.sync_folder()?;
        self.disk.rename(UNFINISHED, &name)?;
        if let Err(err) = self.disk.sync_folder() {
            // Whether the new generation is in use after a crash is unknown, and both can't be
            // written to.
            self.broken = true;
            return Err(err);
        }
        Ok((snapshot_buf.len() as u64, log_buf.len() as u64))
    }

    fn read_snapshot(&mut self) -> Result<Vec<u8>, OpenError> {
        let file = snapshot_name(self.generation);
        let bytes = self.disk.read(&file)?;
        self.snapshot_len = bytes.len() as u64;
        let damaged = |reason| OpenError::Corrupt { file: file.clone(), offset: 0, reason };
        match frame::read_at(&bytes, 0) {
            FrameRead::Frame { payload, .. } => frame::decode_records(payload)
                .and_then(|mut records| records.pop())
                .ok_or_else(|| damaged("an empty snapshot")),
            FrameRead::Invalid(reason) => Err(damaged(reason)),
            FrameRead::End => Err(damaged("an empty file")),
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
                        let reason = "lengths that don't add up";
                        return Err(OpenError::Corrupt { file, offset: start as u64, reason });
                    };
                    recovered.records.extend(records);
                    start = next;
                    continue;
                }
                FrameRead::Invalid(reason) => reason,
            };
            // Each append is one frame and waits for the one before, so an unfinished append is
            // the last thing in the file. A whole frame behind a bad one shows damage to
            // something that was acknowledged, and going on without it would revert a change.
            if frame::has_frame_from(&bytes, start + 1) {
                return Err(OpenError::Corrupt { file, offset: start as u64, reason });
            }
            let (offset, len) = (start as u64, (bytes.len() - start) as u64);
            self.disk.truncate(&file, offset)?;
            recovered.torn_tail = Some(TornTail { file: file.clone(), offset, len });
            break;
        }
        // A killed process may have written a record without syncing it. It was read here, so it
        // will be acted on, and must not vanish in a later crash of the machine.
        self.disk.sync(&file)?;
        self.log_len = start as u64;
        Ok(())
    }

    fn remove_left_over(&mut self) -> Result<(), OpenError> {
        let used =
            [FORMAT_FILE.to_owned(), log_name(self.generation), snapshot_name(self.generation)];
        for name in self.disk.list()? {
            let ours = name == UNFINISHED
                || name.starts_with("log-")
                || name.starts_with("snapshot-")
                || name == format_unfinished();
            if ours && !used.contains(&name) {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }
}

fn generation(names: &[String]) -> u64 {
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

/// Makes the files of a new folder; the format file comes last and shows that all others are there.
fn create<D>(disk: &mut D, names: &[String]) -> Result<(), OpenError>
where
    D: Disk,
{
    let log = log_name(0);
    for left_over in [log.as_str(), &format_unfinished()] {
        if names.iter().any(|name| name == left_over) {
            disk.remove(left_over)?;
        }
    }
    disk.append(&log, &[])?;
    disk.sync(&log)?;
    disk.append(&format_unfinished(), FORMAT.as_bytes())?;
    disk.sync(&format_unfinished())?;
    disk.sync_folder()?;
    disk.rename(&format_unfinished(), FORMAT_FILE)?;
    disk.sync_folder()?;
    Ok(())
}

fn format_unfinished() -> String {
    format!("{FORMAT_FILE}.unfinished")
}

fn log_name(generation: u64) -> String {
    format!("log-{generation}")
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation}")
}
