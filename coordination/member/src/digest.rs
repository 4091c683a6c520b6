//! Marks of known facts, so that a reply holds only what the caller lacks.

use std::fmt::Write;
use std::hash::{Hash, Hasher};

use sill_base::Map;
use sill_wire::Incarnation;
use sill_wire::member::Digest;

/// Hexadecimal digits of a mark's hash and of its sequence number.
const HASH_DIGITS: usize = 6;
const MARK_DIGITS: usize = HASH_DIGITS + 2;

/// The kinds of facts that have marks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fact {
    /// A life of an entry instance.
    Entry,
    /// A life of an endpoint, with all that it says beside its load.
    Endpoint,
    /// A life of an endpoint that is leaving.
    Leaving,
}

/// The marks of a received digest.
#[derive(Debug)]
pub struct Marks {
    salt: u64,
    sequences: Map<u32, u8>,
}

/// A hash that is the same in every process.
#[derive(Debug)]
struct Fnv(u64);

/// Adds a mark to a digest.
pub fn mark(digest: &mut Digest, fact: Fact, name: &str, life: Incarnation, shape: u64, seq: u64) {
    let hash = short(hash(digest.salt, fact, name, life, shape));
    let _ = write!(digest.hashes, "{hash:06x}{:02x}", seq as u8);
}

/// Hashes a name together with another, equally in every process.
pub fn rendezvous(key: &str, name: &str) -> u64 {
    let mut hasher = Fnv::new();
    (key, name).hash(&mut hasher);
    hasher.finish()
}

/// Hashes any value, equally in every process.
pub fn shape<T>(value: &T) -> u64
where
    T: Hash,
{
    let mut hasher = Fnv::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl Marks {
    /// Reads a digest; what is not well formed counts as not known.
    pub fn read(digest: &Digest) -> Self {
        let text = digest.hashes.as_bytes();
        let mut sequences = Map::default();
        for mark in text.chunks_exact(MARK_DIGITS) {
            let Ok(mark) = std::str::from_utf8(mark) else { continue };
            let Ok(mark) = u32::from_str_radix(mark, 16) else { continue };
            sequences.insert(mark >> 8, mark as u8);
        }
        Self { salt: digest.salt, sequences }
    }

    /// Returns whether this digest shows a fact that the other lacks or knows older.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.sequences.iter().any(|(hash, sequence)| {
            let known = other.sequences.get(hash);
            known.is_none_or(|known| is_newer(u64::from(*sequence), *known))
        })
    }

    /// Returns the hash that stands for a fact in this digest.
    ///
    /// It is longer than what the digest holds. With the short one, a fact that the caller lacks
    /// would now and then pass for one that it knows, and overwrite it.
    pub fn hash(&self, fact: Fact, name: &str, life: Incarnation, shape: u64) -> u64 {
        hash(self.salt, fact, name, life, shape)
    }

    /// Returns the lowest byte of the sequence number that the caller knows, if it knows the fact.
    pub fn sequence(&self, fact: Fact, name: &str, life: Incarnation, shape: u64) -> Option<u8> {
        self.sequences.get(&short(hash(self.salt, fact, name, life, shape))).copied()
    }
}

/// Returns whether a sequence number is newer than one of which only the lowest byte is known.
pub fn is_newer(sequence: u64, known: u8) -> bool {
    (1..128).contains(&(sequence as u8).wrapping_sub(known))
}

/// Returns the hash that stands for a fact in a digest with this salt.
pub fn hash(salt: u64, fact: Fact, name: &str, life: Incarnation, shape: u64) -> u64 {
    let mut hasher = Fnv::new();
    (salt, fact as u8, name, life.0, shape).hash(&mut hasher);
    hasher.finish() >> 16
}

/// Returns the part of a hash that stands in a digest.
fn short(hash: u64) -> u32 {
    (hash >> 24) as u32
}

impl Fnv {
    const fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        // FNV alone leaves the highest bits of short inputs alike.
        let mixed = (self.0 ^ (self.0 >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        mixed ^ (mixed >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}
