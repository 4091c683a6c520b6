//! A prefix cache with limited capacity and least-recently-used eviction.

use std::collections::BTreeMap;

use sill_base::Map;
use sill_wire::endpoint::CacheEvent;
use sill_wire::prefix::BLOCK_TOKENS;

/// The set of prompt blocks whose KV cache is held.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity_blocks: usize,
    last_uses: Map<u64, u64>,
    blocks_by_use: BTreeMap<u64, u64>,
    use_count: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    pub fn new(capacity_tokens: u64) -> Self {
        let capacity_blocks = capacity_tokens as usize / BLOCK_TOKENS;
        Self { capacity_blocks, ..Self::default() }
    }

    /// Returns the number of leading blocks that are cached.
    pub fn longest_prefix(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|b| self.last_uses.contains_key(b)).count()
    }

    /// Inserts all blocks of a prompt. Returns the blocks that were added and evicted.
    pub fn insert(&mut self, blocks: &[u64]) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        // A block is useless without its predecessors, so earlier blocks count as more recently
        // used.
        for &block in blocks.iter().rev() {
            self.use_count += 1;
            match self.last_uses.insert(block, self.use_count) {
                Some(previous_use) => {
                    self.blocks_by_use.remove(&previous_use);
                }
                None => events.push(CacheEvent::Stored { block }),
            }
            self.blocks_by_use.insert(self.use_count, block);
        }
        while self.last_uses.len() > self.capacity_blocks {
            let Some((_, block)) = self.blocks_by_use.pop_first() else {
                break;
            };
            self.last_uses.remove(&block);
            events.push(CacheEvent::Dropped { block });
        }
        events
    }

    /// Returns the number of cached tokens.
    pub fn tokens(&self) -> u64 {
        (self.last_uses.len() * BLOCK_TOKENS) as u64
    }
}
