//! The home endpoint of a prompt, chosen by rendezvous hashing.
//!
//! An entry instance learns at once only of its own dispatches. Without a home on which all entry
//! instances agree, each of them would have the same prompt computed at a different endpoint.

use std::hash::{DefaultHasher, Hash, Hasher};

use rustc_hash::FxHasher;

/// Returns the hash of an endpoint's name, the endpoint's input to [`rendezvous_weight`].
pub(crate) fn name_hash(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns the block whose hash selects a prompt's home, or `None` for a prompt shorter than one
/// whole block.
///
/// The block lies deep enough to separate case files that start with the same instructions. Its
/// depth is a power of two, so that prompts with the same long beginning and ends of different
/// length select the same block.
pub(crate) fn home_block(blocks: &[u64]) -> Option<u64> {
    let deep = blocks.len() * 3 / 4;
    let depth = if deep < 2 { deep } else { 1 << deep.ilog2() };
    blocks.get(depth.saturating_sub(1)).copied()
}

/// Returns the rendezvous weight of an endpoint for a prompt. The endpoint with the highest weight
/// is the prompt's home.
///
/// `FxHasher` only multiplies and adds: the weights of two endpoints would differ by the same
/// amount for all prompts, and the endpoint with the widest gap would get more than half of them.
pub(crate) fn rendezvous_weight(block: u64, name_hash: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (block, name_hash).hash(&mut hasher);
    hasher.finish()
}

/// Returns the rank of an endpoint as the home of a prompt; the one with the highest is the home. With
/// equal weights of all endpoints, the order is that of [`rendezvous_weight`]; otherwise an endpoint is
/// the home of as many prompts as its part in the sum of the weights. If one weight changes, prompts
/// move only to or from this endpoint.
pub(crate) fn weighted_rank(rendezvous_weight: u64, weight: f64) -> f64 {
    // The middle of the hash's interval, as the logarithm of 0 has no finite value.
    let uniform = (rendezvous_weight as f64 + 0.5) / 2.0_f64.powi(64);
    weight / -uniform.min(1.0 - f64::EPSILON).ln()
}
