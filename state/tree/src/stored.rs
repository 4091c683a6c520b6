//! A document as the tree holds it: text until somebody looks into it.
//!
//! An instance that restarts applies every change of its log again, and each but the last one of a
//! subtree is replaced without having been looked at. Reading them all took seconds with documents of
//! thousands of routes, and the instance took no part in the log meanwhile.

use std::fmt::{self, Debug, Formatter};
use std::ops::Deref;
use std::sync::{Arc, OnceLock};

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use sill_base::CompressedText;
use sill_base::compressed::COMPRESSION_THRESHOLD;

use crate::document::Document;

/// The text of a document as JSON. Clones share it. A long one is written packed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentText(Arc<str>);

/// A document that is read from its text when it is first looked at.
#[derive(Clone)]
pub struct StoredDocument {
    /// Empty for one that came as a document, until its text is asked for.
    text: OnceLock<DocumentText>,
    document: OnceLock<Arc<Document>>,
}

impl DocumentText {
    /// Writes a document.
    ///
    /// # Panics
    ///
    /// Never: a document can always be written as JSON.
    pub fn of(document: &Document) -> Self {
        Self(serde_json::to_string(document).expect("a document can be written as JSON").into())
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the text as a JSON value.
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
        /// Short documents are written as they are.
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Packed(CompressedText),
            Plain(Value),
        }
        match Either::deserialize(deserializer)? {
            Either::Packed(packed) => {
                Ok(Self(packed.decompress().map_err(D::Error::custom)?.into()))
            }
            Either::Plain(value) => Ok((&value).into()),
        }
    }
}

impl StoredDocument {
    /// Returns its text.
    pub fn text(&self) -> &DocumentText {
        self.text.get_or_init(|| DocumentText::of(self))
    }

    /// Reads it now, if nobody has yet.
    ///
    /// # Errors
    ///
    /// Fails where a newer version of the program wrote what this one doesn't know.
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
    /// Panics on a document of a newer version of the program, which [`StoredDocument::read`] tells.
    fn deref(&self) -> &Document {
        self.read().expect("documents are read, or found unreadable, when they are applied")
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
