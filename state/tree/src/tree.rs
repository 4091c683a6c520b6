//! The tree of subtrees, and how changes are taken in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Findings, Name};

use crate::document::Document;

/// One subtree with its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Subtree {
    /// The revision of its last change.
    pub revision: u64,
    /// Who made it.
    pub author: Name,
    /// Its document.
    pub document: Document,
}

/// All subtrees by path; a path is names joined by `/`, and the root's is empty.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// The newest revision.
    pub revision: u64,
    /// The subtrees.
    pub subtrees: BTreeMap<Name, Subtree>,
}

impl Tree {
    /// Checks what the tree would be with `document` at `path`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its place; the tree stays as it was.
    pub fn check(&self, path: &str, document: &Document) -> Result<(), Findings> {
        let mut findings = Findings::new();
        if !path.is_empty() && !path.split('/').all(Name::is_well_formed) {
            findings.add(path, "a path is names joined by `/`");
        }
        for name in document.services.keys().chain(document.accounts.keys()) {
            if !Name::is_well_formed(name) {
                findings.add(format!("{path}: {name}"), "not a well-formed name");
            }
        }
        findings.into_result(())
    }

    /// Puts a checked document in place as `revision`.
    pub fn put(&mut self, path: Name, revision: u64, author: Name, document: Document) {
        self.revision = revision;
        self.subtrees.insert(path, Subtree { revision, author, document });
    }

    /// Removes a subtree as `revision`.
    pub fn remove(&mut self, path: &str, revision: u64) {
        self.revision = revision;
        self.subtrees.remove(path);
    }
}
