//! Hash maps and sets with a fast hasher.
//!
//! The hasher is not keyed, so callers could force collisions: maps whose keys callers choose must
//! be bounded in size.

use rustc_hash::{FxHashMap, FxHashSet};

/// A hash map with a fast hasher.
pub type Map<K, V> = FxHashMap<K, V>;

/// A hash set with a fast hasher.
pub type Set<T> = FxHashSet<T>;
