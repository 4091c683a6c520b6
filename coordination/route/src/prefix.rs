//! An index of the prompt blocks in the endpoints' prefix caches, in bounded memory.
//!
//! It is filled from our own dispatches and from cache events. It may miss blocks that an endpoint
//! holds, which costs a worse choice, but should not list blocks that an endpoint lacks, which
//! costs a recomputed prompt.

use std::collections::VecDeque;

use sill_base::{Map, Millis};

use crate::holders::Holders;

/// Blocks that are assumed to be cached, by block and by endpoint index.
#[derive(Debug)]
pub struct PrefixIndex {
    ttl: Millis,
    holders: Map<u64, Holders>,
    endpoints: Vec<EndpointBlocks>,
}

/// The tracked blocks of one endpoint, in the order of their last use.
#[derive(Debug, Default)]
struct EndpointBlocks {
    /// Highest number of blocks to track.
    capacity: usize,
    /// The last use of each block.
    last_uses: Map<u64, BlockUse>,
    /// Uses of blocks, the oldest first. An entry is outdated once its block was used again or
    /// removed.
    queue: VecDeque<(u64, BlockUse)>,
    use_count: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct BlockUse {
    /// Time of the use in seconds.
    at_s: u32,
    /// Sequence number among the uses at the endpoint, to tell uses in one second apart.
    use_number: u32,
}

/// Depths of the cached prefixes of a prompt, by endpoint index. The caller keeps it between calls
/// to save allocations.
#[derive(Debug, Default)]
pub struct Depths {
    /// Number of leading blocks that each endpoint holds.
    by_endpoint: Vec<u32>,
    /// Bit set of the endpoints that hold all blocks compared so far.
    matching: Vec<u64>,
}

impl PrefixIndex {
    /// Creates an empty index. Blocks are evicted when they were not used within `ttl`.
    pub fn new(ttl: Millis) -> Self {
        Self { ttl, holders: Map::default(), endpoints: Vec::new() }
    }

    /// Sets the highest number of blocks tracked for an endpoint, and evicts the oldest above that.
    pub fn set_capacity(&mut self, endpoint: usize, blocks: usize) {
        if self.endpoints.len() <= endpoint {
            self.endpoints.resize_with(endpoint + 1, EndpointBlocks::default);
        }
        self.endpoints[endpoint].capacity = blocks;
        let excess = self.endpoints[endpoint].last_uses.len().saturating_sub(blocks);
        self.evict_oldest(endpoint, excess);
    }

    /// Records that an endpoint holds the blocks of a prompt. Later blocks are useless without the
    /// earlier ones, so the earliest are recorded as the most recently used.
    pub fn insert(&mut self, endpoint: usize, blocks: &[u64], now: Millis) {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        for &block in blocks.iter().take(tracked.capacity).rev() {
            if tracked.touch(block, now) {
                let holders = self.holders.entry(block).or_insert(Holders::One(endpoint as u32));
                holders.insert(endpoint);
            }
        }
        let excess = tracked.last_uses.len().saturating_sub(tracked.capacity);
        tracked.compact();
        self.evict_oldest(endpoint, excess);
        self.evict_stale(endpoint, now);
    }

    /// Removes one block of an endpoint.
    pub fn remove(&mut self, endpoint: usize, block: u64) {
        let was_held =
            self.endpoints.get_mut(endpoint).is_some_and(|e| e.last_uses.remove(&block).is_some());
        if was_held {
            self.remove_holder(endpoint, block);
        }
    }

    /// Evicts the `count` least recently used blocks of an endpoint.
    pub fn evict_oldest(&mut self, endpoint: usize, count: usize) {
        for _ in 0..count {
            let Some(block) = self.endpoints.get_mut(endpoint).and_then(EndpointBlocks::pop_oldest)
            else {
                return;
            };
            self.remove_holder(endpoint, block);
        }
    }

    /// Removes all blocks of an endpoint.
    pub fn clear(&mut self, endpoint: usize) {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        tracked.queue.clear();
        let blocks: Vec<u64> = tracked.last_uses.drain().map(|(block, _)| block).collect();
        for block in blocks {
            self.remove_holder(endpoint, block);
        }
    }

    /// Returns the number of tracked blocks, summed over all endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.iter().map(|e| e.last_uses.len()).sum()
    }

    /// Returns whether no endpoint holds any tracked block.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Computes how many leading blocks of a prompt each endpoint holds, in one pass over the
    /// blocks. `index_count` is one more than the highest endpoint index.
    pub fn depths(&self, blocks: &[u64], index_count: usize, depths: &mut Depths) {
        depths.by_endpoint.clear();
        depths.by_endpoint.resize(index_count, 0);
        let Some(first) = blocks.first().and_then(|b| self.holders.get(b)) else {
            return;
        };
        first.copy_to(&mut depths.matching);
        for (depth, block) in blocks.iter().enumerate().skip(1) {
            let holders = self.holders.get(block);
            let mut remaining = 0;
            for index in 0..depths.matching.len() {
                let before = depths.matching[index];
                let after = before & holders.map_or(0, |h| h.word(index));
                depths.matching[index] = after;
                remaining |= after;
                set_depths(&mut depths.by_endpoint, index, before & !after, depth as u32);
            }
            if remaining == 0 {
                return;
            }
        }
        for index in 0..depths.matching.len() {
            set_depths(&mut depths.by_endpoint, index, depths.matching[index], blocks.len() as u32);
        }
    }

    fn evict_stale(&mut self, endpoint: usize, now: Millis) {
        let before_s = (now.since(self.ttl).0 / 1000) as u32;
        while self.endpoints[endpoint]
            .queue
            .front()
            .is_some_and(|(_, block_use)| block_use.at_s < before_s)
        {
            self.evict_oldest(endpoint, 1);
        }
    }

    fn remove_holder(&mut self, endpoint: usize, block: u64) {
        let is_empty = self.holders.get_mut(&block).is_some_and(|h| h.remove(endpoint));
        if is_empty {
            self.holders.remove(&block);
        }
    }
}

impl EndpointBlocks {
    /// Records a use of a block now, and returns whether the block is new.
    fn touch(&mut self, block: u64, now: Millis) -> bool {
        self.use_count = self.use_count.wrapping_add(1);
        let block_use = BlockUse { at_s: (now.0 / 1000) as u32, use_number: self.use_count };
        self.queue.push_back((block, block_use));
        self.last_uses.insert(block, block_use).is_none()
    }

    fn pop_oldest(&mut self) -> Option<u64> {
        loop {
            let (block, block_use) = self.queue.pop_front()?;
            if self.last_uses.get(&block) == Some(&block_use) {
                self.last_uses.remove(&block);
                return Some(block);
            }
        }
    }

    /// Removes the outdated entries of the queue once it is longer than twice the number of blocks
    /// (at least 64), to bound its memory.
    fn compact(&mut self) {
        if self.queue.len() > 2 * self.last_uses.len().max(64) {
            let last_uses = &self.last_uses;
            self.queue.retain(|(block, block_use)| last_uses.get(block) == Some(block_use));
        }
    }
}

impl Depths {
    /// Returns the number of leading blocks that an endpoint holds.
    pub fn get(&self, endpoint: usize) -> u32 {
        self.by_endpoint.get(endpoint).copied().unwrap_or(0)
    }
}

/// Sets the depth of each endpoint whose bit is set in a word of a bit set.
fn set_depths(by_endpoint: &mut [u32], word: usize, mut bits: u64, depth: u32) {
    while bits != 0 {
        let endpoint = word * 64 + bits.trailing_zeros() as usize;
        if let Some(entry) = by_endpoint.get_mut(endpoint) {
            *entry = depth;
        }
        bits &= bits - 1;
    }
}
