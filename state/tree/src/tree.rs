//! The tree of subtrees, and how changes are taken in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Findings, Name};

use crate::check::{self, Documents};
use crate::document::Document;
use crate::object::Place;
use crate::read;
use crate::stored::StoredDocument;

/// The longest path, in bytes.
const MAX_PATH: usize = 512;

/// The reason for a path of the wrong shape.
const BAD_PATH: &str = "a path is well-formed names joined by `/`, 512 bytes at most";

/// One subtree with its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Subtree {
    /// The revision of its last change.
    pub revision: u64,
    /// Who made it.
    pub author: Name,
    /// Its document.
    pub document: StoredDocument,
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
        let value = serde_json::to_value(document)
            .map_err(|err| Findings::one(Place::top(path).text(), err.to_string()))?;
        self.check_value(path, &value).map(|_| ())
    }

    /// Reads the document in `value` and checks what the tree would be with it at `path`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its place; the tree stays as it was.
    pub fn check_value(&self, path: &str, value: &Value) -> Result<Document, Findings> {
        let mut findings = Findings::new();
        if !is_path(path) {
            findings.add(Place::top(path).text(), BAD_PATH);
        }
        let document = read::document(path, value, &mut findings);
        let mut documents: Documents<'_> =
            self.subtrees.iter().map(|(path, subtree)| (&**path, &*subtree.document)).collect();
        // What the tree has already is not this change's fault and must not hold it up.
        let before = check::check_tree(&documents, path);
        documents.insert(path, &document);
        for finding in check::check_tree(&documents, path).iter() {
            if !before.iter().any(|known| known == finding) {
                findings.add(&finding.place, &finding.reason);
            }
        }
        findings.into_result(document)
    }

    /// Puts a checked document in place as `revision`.
    pub fn put<D>(&mut self, path: Name, revision: u64, author: Name, document: D)
    where
        D: Into<StoredDocument>,
    {
        self.revision = revision;
        let document = document.into();
        self.subtrees.insert(path, Subtree { revision, author, document });
    }

    /// Removes a subtree as `revision`.
    pub fn remove(&mut self, path: &str, revision: u64) {
        self.revision = revision;
        self.subtrees.remove(path);
    }
}

/// Returns whether a text is fit for the path of a subtree.
pub fn is_path(text: &str) -> bool {
    text.len() <= MAX_PATH && (text.is_empty() || text.split('/').all(Name::is_well_formed))
}
