//! The newest changes, for entry instances that missed a few.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sill_tree::Tree;
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};

/// Changes that are kept.
const MAX_CHANGES: usize = 1000;

/// Changes that are sent one by one; who missed more gets the whole tree, if that is less.
const MAX_CHANGES_SENT: usize = 200;

/// The newest changes without a gap.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct History {
    changes: VecDeque<Change>,
}

impl History {
    /// Adds the newest change.
    pub fn add(&mut self, change: Change) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Returns what is newer than a revision.
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
    // Receivers drop what is not newer than what they took before.
    subtrees.sort_by_key(|change| change.revision);
    FeedReply::Snapshot { revision: Revision(tree.revision), subtrees }
}
