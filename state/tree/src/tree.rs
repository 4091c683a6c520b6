//! The tree of subtrees, and the validation and application of changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Findings, Name};

use crate::check::{self, Documents};
use crate::document::Document;
use crate::object::Place;
use crate::read;
use crate::stored::StoredDocument;

/// Maximum length of a path in bytes.
const MAX_PATH_BYTES: usize = 512;

/// Reason of the finding for an invalid path.
const INVALID_PATH: &str = "a path is well-formed names joined by `/`, 512 bytes at most";

/// A subtree as of its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Subtree {
    /// The tree's revision that the last change of this subtree created.
    pub revision: u64,
    /// The operator who made the last change.
    pub author: Name,
    /// The settings that the last change wrote.
    pub document: StoredDocument,
}

/// All subtrees by path. A path consists of names joined by `/`; the path of the root is empty.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// The newest revision; each change sets it.
    pub revision: u64,
    /// The subtrees by path.
    pub subtrees: BTreeMap<Name, Subtree>,
}

impl Tree {
    /// Validates the tree as it would be with `document` at `path`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its place; the tree is not changed.
    pub fn check(&self, path: &str, document: &Document) -> Result<(), Findings> {
        let value = serde_json::to_value(document)
            .map_err(|err| Findings::one(Place::top(path).text(), err.to_string()))?;
        self.check_value(path, &value).map(|_| ())
    }

    /// Parses the document in `value` and validates the tree as it would be with it at `path`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its place; the tree is not changed.
    pub fn check_value(&self, path: &str, value: &Value) -> Result<Document, Findings> {
        let mut findings = Findings::new();
        if !is_path(path) {
            findings.add(Place::top(path).text(), INVALID_PATH);
        }
        let document = read::document(path, value, &mut findings);
        let mut documents: Documents<'_> =
            self.subtrees.iter().map(|(path, subtree)| (&**path, &*subtree.document)).collect();
        // Findings that the tree has without this change must not block it.
        let before = check::check_tree(&documents, path);
        documents.insert(path, &document);
        for finding in check::check_tree(&documents, path).iter() {
            if !before.iter().any(|existing| existing == finding) {
                findings.add(&finding.place, &finding.reason);
            }
        }
        findings.into_result(document)
    }

    /// Stores a validated document at `path` as `revision`.
    pub fn put<D>(&mut self, path: Name, revision: u64, author: Name, document: D)
    where
        D: Into<StoredDocument>,
    {
        self.revision = revision;
        let document = document.into();
        self.subtrees.insert(path, Subtree { revision, author, document });
    }

    /// Removes the subtree at `path` as `revision`.
    pub fn remove(&mut self, path: &str, revision: u64) {
        self.revision = revision;
        self.subtrees.remove(path);
    }
}

/// Returns whether `text` is a valid path of a subtree.
pub fn is_path(text: &str) -> bool {
    text.len() <= MAX_PATH_BYTES && (text.is_empty() || text.split('/').all(Name::is_well_formed))
}
