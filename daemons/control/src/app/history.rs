//! The newest changes, for entry instances that lag behind by a few.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sill_tree::Tree;
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};

/// Changes kept.
const MAX_CHANGES: usize = 1000;

/// Changes sent one by one. A receiver that lacks more gets the whole tree, if that has fewer
/// subtrees.
const MAX_CHANGES_SENT: usize = 200;

/// The newest changes, with consecutive revisions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct History {
    changes: VecDeque<Change>,
}

impl History {
    /// Appends the newest change, and evicts the oldest one if the history is full.
    pub fn add(&mut self, change: Change) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Returns the changes after a revision, or a snapshot where they are evicted or too many.
    pub fn changes_since(&self, tree: &Tree, have: Revision) -> FeedReply {
        if tree.revision <= have.0 {
            return FeedReply::Current;
        }
        let missed = (tree.revision - have.0) as usize;
        let has_all = missed <= self.changes.len();
        if has_all && missed <= MAX_CHANGES_SENT.max(tree.subtrees.len()) {
            let skipped = self.changes.len() - missed;
            return FeedReply::Changes {
                changes: self.changes.iter().skip(skipped).cloned().collect(),
            };
        }
        snapshot(tree)
    }
}

fn snapshot(tree: &Tree) -> FeedReply {
    let changes = tree.subtrees.iter().map(|(path, subtree)| Change {
        revision: Revision(subtree.revision),
        path: path.clone(),
        author: subtree.author.clone(),
        document: Some(serde_json::to_value(&*subtree.document).unwrap_or_default()),
    });
    let mut subtrees: Vec<Change> = changes.collect();
    // Receivers ignore changes that are not newer than the last one they applied.
    subtrees.sort_by_key(|change| change.revision);
    FeedReply::Snapshot { revision: Revision(tree.revision), subtrees }
}
