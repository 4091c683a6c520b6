//! A document as the tree stores it: JSON text that is parsed on first access.
//!
//! A restarted instance replays every change of its log, and each document except the last one of a
//! subtree is replaced without being accessed. With documents of thousands of routes, parsing all
//! of them took seconds, during which the instance could not take part in replication.

use std::fmt::{self, Debug, Formatter};
use std::ops::Deref;
use std::sync::{Arc, OnceLock};

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use sill_base::CompressedText;
use sill_base::compressed::COMPRESSION_THRESHOLD;

use crate::document::Document;

/// The JSON text of a document. Clones share it. A text of at least [`COMPRESSION_THRESHOLD`] bytes
/// is serialized compressed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentText(Arc<str>);

/// A document that is parsed from its text on first access.
#[derive(Clone)]
pub struct StoredDocument {
    /// Unset for a value created from a [`Document`], until the text is requested.
    text: OnceLock<DocumentText>,
    document: OnceLock<Arc<Document>>,
}

impl DocumentText {
    /// Serializes a document.
    ///
    /// # Panics
    ///
    /// Never: every document can be serialized as JSON.
    pub fn of(document: &Document) -> Self {
        Self(serde_json::to_string(document).expect("a document can be serialized as JSON").into())
    }

    /// Returns the JSON text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Parses the text as a JSON value; returns `null` if it is not JSON.
    pub fn value(&self) -> Value {
        serde_json::from_str(&self.0).unwrap_or_default()
    }
}

impl From<&Value> for DocumentText {
    fn from(value: &Value) -> Self {
        Self(value.to_string().into())
    }
}

impl Serialize for DocumentText {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match self.0.len() < COMPRESSION_THRESHOLD {
            true => self.value().serialize(serializer),
            false => CompressedText::new(&self.0).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for DocumentText {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        /// Documents below the threshold are serialized uncompressed.
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Compressed(CompressedText),
            Plain(Value),
        }
        match Either::deserialize(deserializer)? {
            Either::Compressed(compressed) => {
                Ok(Self(compressed.decompress().map_err(D::Error::custom)?.into()))
            }
            Either::Plain(value) => Ok((&value).into()),
        }
    }
}

impl StoredDocument {
    /// Returns the document's JSON text.
    pub fn text(&self) -> &DocumentText {
        self.text.get_or_init(|| DocumentText::of(self))
    }

    /// Returns the document; parses it on the first call.
    ///
    /// # Errors
    ///
    /// Fails if a newer version of the program wrote fields that this one doesn't know.
    pub fn read(&self) -> Result<&Document, serde_json::Error> {
        if let Some(document) = self.document.get() {
            return Ok(document);
        }
        let text = self.text.get().map_or("", DocumentText::as_str);
        let document = Arc::new(serde_json::from_str(text)?);
        Ok(self.document.get_or_init(|| document))
    }
}

impl Deref for StoredDocument {
    type Target = Document;

    /// # Panics
    ///
    /// Panics on a document that can't be parsed, such as one of a newer version of the program.
    /// Call [`StoredDocument::read`] first to get the error.
    fn deref(&self) -> &Document {
        self.read().expect("unreadable documents are rejected by `read` before they are accessed")
    }
}

impl From<Document> for StoredDocument {
    fn from(document: Document) -> Self {
        Self { text: OnceLock::new(), document: Arc::new(document).into() }
    }
}

impl From<DocumentText> for StoredDocument {
    fn from(text: DocumentText) -> Self {
        Self { text: text.into(), document: OnceLock::new() }
    }
}

impl PartialEq for StoredDocument {
    fn eq(&self, other: &Self) -> bool {
        **self == **other
    }
}

impl Debug for StoredDocument {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Debug::fmt(&**self, f)
    }
}

impl Serialize for StoredDocument {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        self.text().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for StoredDocument {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        Ok(DocumentText::deserialize(deserializer)?.into())
    }
}
