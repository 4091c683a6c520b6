//! The home of a prompt: the endpoint where all entry instances look for it.
//!
//! Entry instances see only their own dispatches at once. Without a common idea of where a prompt
//! belongs, each would have it computed at another endpoint.

use std::hash::{DefaultHasher, Hash, Hasher};

use rustc_hash::FxHasher;

/// Returns the hash that stands for an endpoint.
pub(crate) fn hash(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns the block that decides on a prompt's home, or none for a prompt of no whole block.
///
/// It lies deep enough to tell case files apart that start with the same instructions, at a depth
/// that is a power of two so that prompts with the same long beginning and ends of differing
/// length agree on it.
pub(crate) fn deciding_block(blocks: &[u64]) -> Option<u64> {
    let deep = blocks.len() * 3 / 4;
    let depth = if deep < 2 { deep } else { 1 << deep.ilog2() };
    blocks.get(depth.saturating_sub(1)).copied()
}

/// Returns how strongly a prompt is drawn to an endpoint; the strongest draw is its home.
///
/// The fast hasher multiplies and adds: draws for two endpoints then differ by the same amount for all
/// prompts, and the endpoint with the widest gap gets more than half of them.
pub(crate) fn draw(block: u64, name_hash: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (block, name_hash).hash(&mut hasher);
    hasher.finish()
}
