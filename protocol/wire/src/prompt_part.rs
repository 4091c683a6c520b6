//! Parts of prompts that requests have in common.

use std::fmt;

use serde::{Deserialize, Serialize};
use sill_base::Name;

/// Longest id that is kept as it is, in bytes; of a longer one only its hash is kept.
const MAX_ID_BYTES: usize = 32;

/// Upper bound on the parts of a prompt that are listed.
const MAX_PARTS: usize = 16;

/// Identifies a part of a prompt, in whichever request it occurs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(Name);

impl PartId {
    /// Creates the id of a part from the id that callers use.
    pub fn new(id: &Name) -> Self {
        if id.len() <= MAX_ID_BYTES {
            return Self(id.clone());
        }
        Self(blake3::hash(id.as_bytes()).to_hex()[..MAX_ID_BYTES].into())
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The parts that a prompt shares with others, sorted, each once.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SharedParts(Vec<PartId>);

impl SharedParts {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the parts.
    pub fn iter(&self) -> impl Iterator<Item = &PartId> {
        self.0.iter()
    }

    /// Returns whether a part is among them.
    pub fn contains(&self, part: &PartId) -> bool {
        self.0.binary_search(part).is_ok()
    }

    /// Returns whether all parts of another list are among them.
    pub fn contains_all(&self, others: &SharedParts) -> bool {
        others.iter().all(|part| self.contains(part))
    }
}

impl FromIterator<PartId> for SharedParts {
    /// Collects the first parts, up to a fixed number.
    fn from_iter<I>(parts: I) -> Self
    where
        I: IntoIterator<Item = PartId>,
    {
        let mut parts: Vec<PartId> = parts.into_iter().take(MAX_PARTS).collect();
        parts.sort_unstable();
        parts.dedup();
        Self(parts)
    }
}

impl fmt::Display for SharedParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, part) in self.iter().enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
