//! Local copy of the settings, on instances with a disk.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use sill_wire::feed::FeedReply;

/// First word of the file, which includes the format version.
const FORMAT: &str = "sill-settings-1";

/// The copy of the settings in a data folder.
#[derive(Debug, Clone)]
pub struct SettingsCopy {
    folder: PathBuf,
}

impl SettingsCopy {
    /// Uses the copy in a data folder, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be created.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self { folder: folder.to_owned() })
    }

    /// Reads the copy. Returns none if none has been written yet.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is damaged.
    pub fn read(&self) -> io::Result<Option<FeedReply>> {
        let text = match fs::read_to_string(self.path()) {
            Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(None),
            text => text?,
        };
        let (head, body) =
            text.split_once('\n').ok_or_else(|| damaged("settings copy: no header line"))?;
        if head != first_line(body) {
            return Err(damaged(
                "settings copy: the checksum or the format in the header does not match",
            ));
        }
        Ok(Some(serde_json::from_str(body)?))
    }

    /// Writes a snapshot. It is durable on disk when this returns.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written; the previous copy is then intact.
    pub fn write(&self, snapshot: &FeedReply) -> io::Result<()> {
        let body = serde_json::to_string(snapshot)?;
        let new = self.folder.join("settings.new");
        let mut file = File::create(&new)?;
        file.write_all(format!("{}\n{body}", first_line(&body)).as_bytes())?;
        file.sync_all()?;
        fs::rename(&new, self.path())?;
        // The rename itself is durable only after the folder is synced.
        File::open(&self.folder)?.sync_all()
    }

    fn path(&self) -> PathBuf {
        self.folder.join("settings")
    }
}

fn first_line(body: &str) -> String {
    format!("{FORMAT} {}", blake3::hash(body.as_bytes()).to_hex())
}

fn damaged(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
