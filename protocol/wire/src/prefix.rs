//! Hashes of prompt blocks, by which entry instances and endpoints identify the same cached prefix.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// The number of bytes of prompt text that are counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The number of tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: usize = 64;

const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;

/// Returns the number of tokens that a text is counted as, rounded up.
pub fn token_count(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the chained hash of each complete block; equal hashes mean equal text up to the end of
/// the block.
///
/// The hash is not keyed. A caller who forges a collision only misleads the routing of its own
/// prompts, since endpoints compare the text itself.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = FxHasher::default();
    hasher.write(model.as_bytes());
    let complete = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    complete
        .map(|block| {
            hasher.write(block);
            hasher.finish()
        })
        .collect()
}
