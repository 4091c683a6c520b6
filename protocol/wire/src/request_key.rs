//! A key that equal requests have in common.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies equal requests: those with the same client account, host, method, path, body and parts
/// of the prompt. Ids and deadlines differ from one to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(u64);

impl RequestKey {
    /// Hashes the parts that equal requests have in common.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut hash = [0; 8];
        hasher.finalize_xof().fill(&mut hash);
        Self(u64::from_le_bytes(hash))
    }

    /// Returns the hash.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
