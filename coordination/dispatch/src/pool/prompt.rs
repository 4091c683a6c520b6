//! Prompts as the headers of calls declare them.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use rustc_hash::FxHasher;
use sill_base::Name;
use sill_wire::prefix::BLOCK_TOKENS;
use sill_wire::{PartId, SharedParts};

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: Name,
    /// Length in tokens.
    pub tokens: u64,
}

/// Size and parts of a call's prompt, as its headers declare them.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one belongs to this call alone.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt in tokens.
    pub tokens: u64,
    /// Upper bound on the tokens of the answer.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Returns the parts that it shares with other prompts.
    pub fn shared_parts(&self) -> SharedParts {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| PartId::new(&part.id)).collect()
    }

    /// Splits the shared parts into prefix blocks, each identified by everything before it, of which
    /// the first `max` are returned: the lengths of the parts are what the caller states.
    ///
    /// The last part belongs to this call alone and is cached nowhere.
    pub fn prefix_blocks(&self, max: usize) -> Arc<[u64]> {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let mut blocks = Vec::new();
        let mut hasher = FxHasher::default();
        for part in shared {
            part.id.hash(&mut hasher);
            for i in 0..part.tokens.div_ceil(BLOCK_TOKENS as u64) {
                if blocks.len() == max {
                    return blocks.into();
                }
                i.hash(&mut hasher);
                blocks.push(hasher.finish());
            }
        }
        blocks.into()
    }
}
