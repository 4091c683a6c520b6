//! The replicated log in a data folder.

use std::io;
use std::path::Path;

use eyre::{Result, WrapErr, bail};
use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name, event};
use sill_quorum::{PersistentState, ReplicaId, Write};
use sill_store::{AnyDisk, FolderDisk, RecoveredState, Store, WriteError};

/// Opens the disk under a data folder; tests give one that fails.
pub type OpenDisk = Box<dyn Fn(&Path) -> io::Result<AnyDisk> + Send>;

/// Opens the data folder itself.
pub fn real_disk() -> OpenDisk {
    Box::new(|folder| Ok(Box::new(FolderDisk::open(folder)?)))
}

/// A record of the store.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
enum Record {
    /// Whose disk this is.
    Id(ReplicaId),
    /// A write of the replica.
    Write(Write),
}

/// The first line of a snapshot of the store; the application's state follows as it is, since as a
/// string inside of JSON a large one would take twice the time.
#[derive(Debug, Serialize, Deserialize)]
struct Whole {
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
    /// Opens a folder; an empty one makes a new incarnation of the instance.
    ///
    /// # Errors
    ///
    /// Fails when the folder is in use, damaged, or another instance's.
    pub fn open(
        open_disk: &OpenDisk,
        folder: &Path,
        name: &Name,
    ) -> Result<(Self, PersistentState)> {
        let place = || folder.display().to_string();
        let disk = open_disk(folder).map_err(sill_store::OpenError::from);
        let (mut store, recovered) = disk.and_then(Store::open).wrap_err_with(place)?;
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

    /// Returns whose disk this is.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Becomes the disk of another life of the instance.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    pub fn begin_life(&mut self, incarnation: u64) -> Result<(), WriteError> {
        let id = ReplicaId { name: self.id.name.clone(), incarnation };
        let record = serde_json::to_vec(&Record::Id(id.clone())).map_err(io::Error::from)?;
        self.store.append(&[record])?;
        self.id = id;
        Ok(())
    }

    /// Makes a write durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken; the replica must not go on then.
    pub fn write(&mut self, write: Write) -> Result<(), WriteError> {
        if let Some(persisted) = write.full_state {
            return self.write_anew(*persisted);
        }
        let record = serde_json::to_vec(&Record::Write(write)).map_err(io::Error::from)?;
        self.store.append(&[record])
    }

    /// Writes everything into new files.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    pub fn write_anew(&mut self, mut persisted: PersistentState) -> Result<(), WriteError> {
        let data = persisted.snapshot.as_mut().map(|snapshot| std::mem::take(&mut snapshot.data));
        let whole = Whole { id: self.id.clone(), persisted };
        let mut buf = serde_json::to_vec(&whole).map_err(io::Error::from)?;
        buf.push(b'\n');
        buf.extend_from_slice(data.unwrap_or_default().as_bytes());
        self.store.replace::<Vec<u8>>(&buf, &[])
    }

    /// Returns the bytes of the log.
    pub fn log_size(&self) -> u64 {
        self.store.log_size()
    }

    /// Returns the bytes of log and snapshot.
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
        let text = String::from_utf8(snapshot).wrap_err("the snapshot")?;
        let (head, data) = text.split_once('\n').unwrap_or((&text, ""));
        let whole: Whole = serde_json::from_str(head).wrap_err("the snapshot")?;
        (id, persisted) = (Some(whole.id), whole.persisted);
        if let Some(snapshot) = &mut persisted.snapshot {
            snapshot.data = data.into();
        }
    }
    for (i, record) in recovered.records.into_iter().enumerate() {
        let record = serde_json::from_slice(&record).wrap_err_with(|| format!("record {i}"))?;
        match record {
            Record::Id(found) => id = Some(found),
            Record::Write(write) => persisted.apply(write),
        }
    }
    Ok((id, persisted))
}
