//! Names for the blocks of a prompt, so that entries and endpoints mean the same cached prefix.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Bytes of prompt text that are counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in a block.
pub const BLOCK_TOKENS: usize = 64;

const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;

/// Returns the number of tokens that a text counts for.
pub fn token_count(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the chained hash of each whole block; equal hashes mean equal text up to there.
///
/// The hash is not keyed. A caller who forges a collision only misleads the routing of its own
/// prompts, since endpoints compare the text itself.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = FxHasher::default();
    hasher.write(model.as_bytes());
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .map(|block| {
            hasher.write(block);
            hasher.finish()
        })
        .collect()
}
