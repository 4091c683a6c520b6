//! Persists the replicated log in the instance's data folder.

use std::io;
use std::path::Path;

use eyre::{Report, Result, WrapErr, bail};
use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name, event};
use sill_quorum::{PersistentState, ReplicaId, Write};
use sill_store::{AnyDisk, FolderDisk, OpenError, RecoveredState, Store, WriteError};

/// Opens the disk that holds a data folder. Tests pass one that injects faults.
pub type OpenDisk = Box<dyn Fn(&Path) -> io::Result<AnyDisk> + Send>;

/// Returns an opener that uses the data folder of the file system.
pub fn real_disk() -> OpenDisk {
    Box::new(|folder| Ok(Box::new(FolderDisk::open(folder)?)))
}

/// A record in the store's log.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
enum Record {
    /// The replica that owns the disk; the last one in the log counts.
    Id(ReplicaId),
    /// State that the replica asked to persist.
    Write(Write),
}

/// The first line of a snapshot of the store. The application state follows as raw text: embedded
/// in this JSON as a string, a large state would take twice as long to write.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotHeader {
    id: ReplicaId,
    persisted: PersistentState,
}

/// The open data folder of a replica.
#[derive(Debug)]
pub struct LogDisk {
    store: Store<AnyDisk>,
    id: ReplicaId,
}

impl LogDisk {
    /// Opens a data folder. An empty one gets a new incarnation, numbered by the wall clock.
    ///
    /// # Errors
    ///
    /// Fails when the folder is in use, damaged, or belongs to another instance.
    pub fn open(
        open_disk: &OpenDisk,
        folder: &Path,
        name: &Name,
    ) -> Result<(Self, PersistentState)> {
        let place = || folder.display().to_string();
        let disk = open_disk(folder).map_err(OpenError::from);
        let opened = disk.and_then(Store::open).map_err(|err| match err {
            // As an I/O error, by which the program tells that it may try again.
            OpenError::InUse => Report::from(io::Error::new(io::ErrorKind::ResourceBusy, err)),
            err => Report::from(err),
        });
        let (mut store, recovered) = opened.wrap_err_with(place)?;
        report(&recovered);
        let (id, persisted) = match replay(recovered).wrap_err_with(place)? {
            (Some(id), persisted) => (id, persisted),
            (None, persisted) => {
                let id = ReplicaId { name: name.clone(), incarnation: Millis::wall().0 };
                store.append(&[serde_json::to_vec(&Record::Id(id.clone()))?])?;
                (id, persisted)
            }
        };
        if id.name != *name {
            bail!("{}: the data folder belongs to {}, not to {name}", place(), id.name);
        }
        Ok((Self { store, id }, persisted))
    }

    /// Returns the id of the replica that owns the disk.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Assigns the disk to another incarnation of the instance.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    pub fn begin_incarnation(&mut self, incarnation: u64) -> Result<(), WriteError> {
        let id = ReplicaId { name: self.id.name.clone(), incarnation };
        let record = serde_json::to_vec(&Record::Id(id.clone())).map_err(io::Error::from)?;
        self.store.append(&[record])?;
        self.id = id;
        Ok(())
    }

    /// Persists a write; it is durable when this returns.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken; the replica must then be stopped.
    pub fn write(&mut self, write: Write) -> Result<(), WriteError> {
        if let Some(persisted) = write.full_state {
            return self.rewrite(*persisted);
        }
        let record = serde_json::to_vec(&Record::Write(write)).map_err(io::Error::from)?;
        self.store.append(&[record])
    }

    /// Replaces the store's files by new ones that hold the given state.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    pub fn rewrite(&mut self, mut persisted: PersistentState) -> Result<(), WriteError> {
        let data = persisted.snapshot.as_mut().map(|snapshot| std::mem::take(&mut snapshot.data));
        let header = SnapshotHeader { id: self.id.clone(), persisted };
        let mut buf = serde_json::to_vec(&header).map_err(io::Error::from)?;
        buf.push(b'\n');
        buf.extend_from_slice(data.unwrap_or_default().as_bytes());
        self.store.replace::<Vec<u8>>(&buf, &[])
    }

    /// Returns the size of the log in bytes.
    pub fn log_size(&self) -> u64 {
        self.store.log_size()
    }

    /// Returns the size of log and snapshot together, in bytes.
    pub fn size(&self) -> u64 {
        self.store.size()
    }
}

fn report(recovered: &RecoveredState) {
    if let Some(torn) = &recovered.torn_tail {
        event!(Warn, "log_tail_cut", file = torn.file, offset = torn.offset, bytes = torn.len);
    }
}

fn replay(recovered: RecoveredState) -> Result<(Option<ReplicaId>, PersistentState)> {
    let (mut id, mut persisted) = (None, PersistentState::default());
    if let Some(snapshot) = recovered.snapshot {
        let text = String::from_utf8(snapshot).wrap_err("the snapshot is not UTF-8")?;
        let (head, data) = text.split_once('\n').unwrap_or((&text, ""));
        let header: SnapshotHeader =
            serde_json::from_str(head).wrap_err("the head of the snapshot can't be parsed")?;
        (id, persisted) = (Some(header.id), header.persisted);
        if let Some(snapshot) = &mut persisted.snapshot {
            snapshot.data = data.into();
        }
    }
    for (i, record) in recovered.records.into_iter().enumerate() {
        let record = serde_json::from_slice(&record)
            .wrap_err_with(|| format!("log record {i} can't be parsed"))?;
        match record {
            Record::Id(owner) => id = Some(owner),
            Record::Write(write) => persisted.apply(write),
        }
    }
    Ok((id, persisted))
}
