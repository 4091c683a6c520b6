//! Immutable, shared strings for names.

use std::borrow::Borrow;
use std::fmt::{self, Debug, Display, Formatter};
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A name that is cheap to clone and never changes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name from any text, without checking it.
    pub fn new<S>(text: S) -> Self
    where
        S: Into<Arc<str>>,
    {
        Self(text.into())
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the text is valid as a name that people choose: 1 to 64 ASCII letters,
    /// digits, `-`, `_` or `.`, starting with a letter or digit.
    pub fn is_well_formed(text: &str) -> bool {
        let is_first_valid = text.chars().next().is_some_and(|c| c.is_ascii_alphanumeric());
        let are_all_valid = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        is_first_valid && are_all_valid && text.len() <= 64
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl Default for Name {
    fn default() -> Self {
        Self("".into())
    }
}

impl Display for Name {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Debug for Name {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

impl Serialize for Name {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        String::deserialize(deserializer).map(Self::from)
    }
}
