//! The settings that an entry instance runs, which never go back to an older revision.

use std::sync::Arc;

use parking_lot::RwLock;
use sill_base::{Findings, Name, Promise, keep};
use sill_tree::{Document, Effective, Tree};
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};

/// Settings in force here.
#[derive(Debug, Default)]
pub struct Settings {
    tree: RwLock<Tree>,
    effective: RwLock<Arc<Effective>>,
}

impl Settings {
    /// Returns the settings in force.
    pub fn current(&self) -> Arc<Effective> {
        self.effective.read().clone()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        Revision(self.effective.read().revision)
    }

    /// Takes in what a control instance or peer answered.
    ///
    /// # Errors
    ///
    /// Returns a finding for a document that can't be read; everything before it is in force.
    pub fn take(&self, reply: FeedReply) -> Result<(), Findings> {
        let mut tree = self.tree.write();
        let before = tree.revision;
        let result = match reply {
            FeedReply::Current | FeedReply::Empty => Ok(()),
            FeedReply::Changes { changes } => apply_newer(&mut tree, changes),
            FeedReply::Snapshot { revision, .. } if revision.0 <= before => Ok(()),
            FeedReply::Snapshot { revision, subtrees } => {
                let mut whole = Tree::default();
                let result = apply_newer(&mut whole, subtrees);
                if result.is_ok() {
                    whole.revision = revision.0;
                    *tree = whole;
                }
                result
            }
        };
        keep!(
            Promise::AcceptedChangeStays,
            tree.revision >= before,
            "settings went back from revision {before} to {}",
            tree.revision
        );
        if tree.revision > before {
            *self.effective.write() = Arc::new(Effective::of(&tree));
        }
        result
    }
}

fn apply_newer(tree: &mut Tree, changes: Vec<Change>) -> Result<(), Findings> {
    for change in changes {
        if change.revision.0 <= tree.revision {
            continue;
        }
        match change.document {
            None => tree.remove(&change.path, change.revision.0),
            Some(document) => {
                let typed: Document = serde_json::from_value(document)
                    .map_err(|err| Findings::one(change.path.as_str(), err.to_string()))?;
                let path: Name = change.path;
                tree.put(path, change.revision.0, change.author, typed);
            }
        }
    }
    Ok(())
}
