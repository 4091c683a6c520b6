//! What a control instance keeps: the tree, its changes, and who runs which revision.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};
use sill_base::{Findings, Map, Millis, Name};
use sill_tree::{Document, Tree};
use sill_wire::control::{ChangeReply, EntryStatus, Revision};
use sill_wire::feed::{Change, FeedPoll, FeedReply};

/// One accepted change, as written to disk.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredChange {
    /// The change.
    pub change: Change,
    /// The operator's name for it.
    pub change_id: Option<Name>,
}

/// The state of a control instance with a single voter.
#[derive(Debug)]
pub struct State {
    tree: Tree,
    changes: Vec<Change>,
    by_change_id: Map<Name, ChangeReply>,
    running: Map<Name, Heard>,
    log: File,
}

/// Why a change was not taken in.
#[derive(Debug)]
pub enum Refusal {
    /// Another change came first.
    Conflict {
        /// Its revision.
        revision: Revision,
        /// Who made it.
        author: Name,
    },
    /// The document is wrong.
    Invalid(Findings),
    /// It could not be stored.
    Storage(io::Error),
}

#[derive(Debug, Clone)]
struct Heard {
    domain: Name,
    revision: Revision,
    at: Millis,
}

impl State {
    /// Reads the data folder.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be used.
    pub fn open(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("changes.jsonl");
        let log = OpenOptions::new().create(true).append(true).read(true).open(&path)?;
        File::open(folder)?.sync_all()?;
        let mut state = Self {
            tree: Tree::default(),
            changes: Vec::new(),
            by_change_id: Map::default(),
            running: Map::default(),
            log,
        };
        for line in BufReader::new(File::open(&path)?).lines() {
            let stored: StoredChange = serde_json::from_str(&line?)?;
            state.apply(stored).map_err(io::Error::other)?;
        }
        Ok(state)
    }

    /// Returns the tree.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Takes in a change; it is on disk when this returns.
    ///
    /// # Errors
    ///
    /// Returns why the change was refused; nothing was changed then.
    pub fn put(
        &mut self,
        path: Name,
        base: Option<Revision>,
        change_id: Option<Name>,
        author: Name,
        document: serde_json::Value,
    ) -> Result<ChangeReply, Refusal> {
        if let Some(reply) = change_id.as_ref().and_then(|id| self.by_change_id.get(id)) {
            return Ok(reply.clone());
        }
        let typed: Document = serde_json::from_value(document.clone())
            .map_err(|err| Refusal::Invalid(Findings::one(path.as_str(), err.to_string())))?;
        self.tree.check(&path, &typed).map_err(Refusal::Invalid)?;
        let current = self.tree.subtrees.get(&path);
        let current_revision = Revision(current.map_or(0, |s| s.revision));
        if base.is_some_and(|base| base != current_revision) {
            let author = current.map(|s| s.author.clone()).unwrap_or_default();
            return Err(Refusal::Conflict { revision: current_revision, author });
        }
        let revision = Revision(self.tree.revision + 1);
        let change = Change { revision, path, author, document: Some(document) };
        let stored = StoredChange { change, change_id };
        let mut line = serde_json::to_vec(&stored).map_err(|err| Refusal::Storage(err.into()))?;
        line.push(b'\n');
        self.log.write_all(&line).map_err(Refusal::Storage)?;
        self.log.sync_all().map_err(Refusal::Storage)?;
        self.apply(stored).map_err(Refusal::Invalid)
    }

    fn apply(&mut self, stored: StoredChange) -> Result<ChangeReply, Findings> {
        let change = stored.change;
        let revision = change.revision;
        let path = change.path.clone();
        let document = change.document.clone().unwrap_or_default();
        let typed = serde_json::from_value(document)
            .map_err(|err| Findings::one(path.as_str(), err.to_string()))?;
        self.tree.put(path.clone(), revision.0, change.author.clone(), typed);
        self.changes.push(change);
        let reply = ChangeReply { revision, path, in_force: false };
        if let Some(id) = stored.change_id {
            self.by_change_id.insert(id, reply.clone());
        }
        Ok(reply)
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> Revision {
        Revision(self.tree.revision)
    }

    /// Notes what an entry instance runs, and returns what is newer.
    pub fn feed(&mut self, now: Millis, poll: &FeedPoll) -> FeedReply {
        let heard = Heard { domain: poll.domain.clone(), revision: poll.have, at: now };
        self.running.insert(poll.entry.clone(), heard);
        let newer: Vec<Change> =
            self.changes.iter().filter(|c| c.revision > poll.have).cloned().collect();
        if newer.is_empty() { FeedReply::Current } else { FeedReply::Changes { changes: newer } }
    }

    /// Returns what is known of entry instances.
    pub fn entries(&self, now: Millis) -> Vec<EntryStatus> {
        let mut entries: Vec<EntryStatus> = self
            .running
            .iter()
            .map(|(name, heard)| EntryStatus {
                name: name.clone(),
                domain: heard.domain.clone(),
                revision: heard.revision,
                heard_ago: now - heard.at,
            })
            .collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries
    }
}
