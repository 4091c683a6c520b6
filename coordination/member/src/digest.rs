//! Digests of known facts, so that a reply contains only what the requesting peer lacks.

use std::fmt::Write;
use std::hash::{Hash, Hasher};

use sill_base::Map;
use sill_wire::Incarnation;
use sill_wire::member::Digest;

/// Hexadecimal digits of the hash of a fact.
const HASH_DIGITS: usize = 6;

/// Hexadecimal digits of a fact in a digest: its hash and the lowest byte of its sequence number.
const FACT_DIGITS: usize = HASH_DIGITS + 2;

/// The kinds of facts that a digest lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FactKind {
    /// An incarnation of an entry instance.
    Entry,
    /// An incarnation of an endpoint, with all fields of its announcement except the load.
    Endpoint,
    /// An incarnation of an endpoint that is leaving.
    Leaving,
}

/// The facts of a digest: the lowest byte of the sequence number of each, by the hash of the fact.
#[derive(Debug)]
pub struct DigestIndex {
    salt: u64,
    known_sequences: Map<u32, u8>,
}

/// FNV-1a with a final mix; it gives the same hash in every process.
#[derive(Debug)]
struct Fnv(u64);

/// Appends a fact to a digest.
///
/// `content` is the hash of the content that tells facts with the same incarnation apart.
pub fn append_fact(
    digest: &mut Digest,
    kind: FactKind,
    name: &str,
    incarnation: Incarnation,
    content: u64,
    seq: u64,
) {
    let hash = truncate_hash(fact_hash(digest.salt, kind, name, incarnation, content));
    let _ = write!(digest.hashes, "{hash:06x}{:02x}", seq as u8);
}

/// Returns the rendezvous hash of a key and a name, which is the same in every process.
pub fn rendezvous(key: &str, name: &str) -> u64 {
    let mut hasher = Fnv::new();
    (key, name).hash(&mut hasher);
    hasher.finish()
}

/// Returns a hash of a value that is the same in every process.
pub fn stable_hash<T>(value: &T) -> u64
where
    T: Hash,
{
    let mut hasher = Fnv::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl DigestIndex {
    /// Parses a digest. Facts that are not well formed are skipped, as if the peer lacked them.
    pub fn parse(digest: &Digest) -> Self {
        let text = digest.hashes.as_bytes();
        let mut sequences = Map::default();
        for fact in text.chunks_exact(FACT_DIGITS) {
            let Ok(fact) = std::str::from_utf8(fact) else { continue };
            let Ok(fact) = u32::from_str_radix(fact, 16) else { continue };
            sequences.insert(fact >> 8, fact as u8);
        }
        Self { salt: digest.salt, known_sequences: sequences }
    }

    /// Returns whether this digest has a fact that the other lacks or has with an older sequence
    /// number.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.known_sequences.iter().any(|(hash, sequence)| {
            let known = other.known_sequences.get(hash);
            known.is_none_or(|known| is_newer(u64::from(*sequence), *known))
        })
    }

    /// Returns the hash by which a reply to this digest identifies a fact.
    ///
    /// It is longer than the hash in the digest: with the short one, a fact that the caller lacks
    /// would occasionally be mistaken for one that the caller has, and overwrite it.
    pub fn fact_hash(
        &self,
        kind: FactKind,
        name: &str,
        incarnation: Incarnation,
        content: u64,
    ) -> u64 {
        fact_hash(self.salt, kind, name, incarnation, content)
    }

    /// Returns the lowest byte of the sequence number with which the digest lists a fact, if any.
    pub fn known_sequence(
        &self,
        kind: FactKind,
        name: &str,
        incarnation: Incarnation,
        content: u64,
    ) -> Option<u8> {
        self.known_sequences
            .get(&truncate_hash(fact_hash(self.salt, kind, name, incarnation, content)))
            .copied()
    }
}

/// Returns whether a sequence number is newer than another of which only the lowest byte is known.
///
/// The comparison wraps around: a number that is up to 127 ahead counts as newer.
pub fn is_newer(sequence: u64, known: u8) -> bool {
    (1..128).contains(&(sequence as u8).wrapping_sub(known))
}

/// Returns the 48-bit hash of a fact for digests with this salt.
pub fn fact_hash(
    salt: u64,
    kind: FactKind,
    name: &str,
    incarnation: Incarnation,
    content: u64,
) -> u64 {
    let mut hasher = Fnv::new();
    (salt, kind as u8, name, incarnation.0, content).hash(&mut hasher);
    hasher.finish() >> 16
}

/// Returns the 24 highest bits of a 48-bit hash, which a digest contains.
fn truncate_hash(hash: u64) -> u32 {
    (hash >> 24) as u32
}

impl Fnv {
    const fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        // With FNV alone, short inputs have nearly the same highest bits.
        let mixed = (self.0 ^ (self.0 >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        mixed ^ (mixed >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}
