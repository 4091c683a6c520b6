//! What is known of the endpoints' prefix caches, in bounded memory.
//!
//! Knowledge comes from our own dispatches and from cache events. It may fall short of what an
//! endpoint holds, which costs a detour, but should not exceed it, which costs a recomputed prompt.

use std::collections::VecDeque;

use sill_base::{Map, Millis};

use crate::holders::Holders;

/// Blocks thought to be cached, by block and by endpoint number.
#[derive(Debug)]
pub struct PrefixIndex {
    ttl: Millis,
    holders: Map<u64, Holders>,
    known: Vec<Known>,
}

/// Blocks of one endpoint with the order of their last use.
#[derive(Debug, Default)]
struct Known {
    capacity: usize,
    used_at: Map<u64, Stamp>,
    order: VecDeque<(u64, Stamp)>,
    uses: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stamp {
    at_s: u32,
    use_number: u32,
}

/// Depths of cached prefixes by endpoint number; kept between calls to save allocations.
#[derive(Debug, Default)]
pub struct Depths {
    by_slot: Vec<u32>,
    active: Vec<u64>,
}

impl PrefixIndex {
    /// Makes an index that knows nothing.
    pub fn new(ttl: Millis) -> Self {
        Self { ttl, holders: Map::default(), known: Vec::new() }
    }

    /// Sets how many blocks of an endpoint are remembered, and forgets the oldest above that.
    pub fn set_capacity(&mut self, slot: usize, blocks: usize) {
        if self.known.len() <= slot {
            self.known.resize_with(slot + 1, Known::default);
        }
        self.known[slot].capacity = blocks;
        let excess = self.known[slot].used_at.len().saturating_sub(blocks);
        self.evict_oldest(slot, excess);
    }

    /// Notes that an endpoint holds blocks. Later blocks are useless without the earlier ones, so
    /// the earliest count as used last.
    pub fn insert(&mut self, slot: usize, blocks: &[u64], now: Millis) {
        let Some(known) = self.known.get_mut(slot) else {
            return;
        };
        for &block in blocks.iter().take(known.capacity).rev() {
            if known.touch(block, now) {
                let holders = self.holders.entry(block).or_insert(Holders::One(slot as u32));
                holders.insert(slot);
            }
        }
        let excess = known.used_at.len().saturating_sub(known.capacity);
        known.compact();
        self.evict_oldest(slot, excess);
        self.forget_stale(slot, now);
    }

    /// Forgets one block of an endpoint.
    pub fn remove(&mut self, slot: usize, block: u64) {
        let held = self.known.get_mut(slot).is_some_and(|k| k.used_at.remove(&block).is_some());
        if held {
            self.release(slot, block);
        }
    }

    /// Forgets the blocks of an endpoint that were used longest ago.
    pub fn evict_oldest(&mut self, slot: usize, count: usize) {
        for _ in 0..count {
            let Some(block) = self.known.get_mut(slot).and_then(Known::pop_oldest) else {
                return;
            };
            self.release(slot, block);
        }
    }

    /// Forgets all blocks of an endpoint.
    pub fn clear(&mut self, slot: usize) {
        let Some(known) = self.known.get_mut(slot) else {
            return;
        };
        known.order.clear();
        let blocks: Vec<u64> = known.used_at.drain().map(|(block, _)| block).collect();
        for block in blocks {
            self.release(slot, block);
        }
    }

    /// Returns the number of blocks that are remembered over all endpoints.
    pub fn len(&self) -> usize {
        self.known.iter().map(|k| k.used_at.len()).sum()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Works out how many leading blocks each endpoint holds, in one walk over the blocks.
    pub fn depths(&self, blocks: &[u64], slots: usize, depths: &mut Depths) {
        depths.by_slot.clear();
        depths.by_slot.resize(slots, 0);
        let Some(first) = blocks.first().and_then(|b| self.holders.get(b)) else {
            return;
        };
        first.copy_to(&mut depths.active);
        for (depth, block) in blocks.iter().enumerate().skip(1) {
            let holders = self.holders.get(block);
            let mut left = 0;
            for index in 0..depths.active.len() {
                let before = depths.active[index];
                let after = before & holders.map_or(0, |h| h.word(index));
                depths.active[index] = after;
                left |= after;
                mark(&mut depths.by_slot, index, before & !after, depth as u32);
            }
            if left == 0 {
                return;
            }
        }
        for index in 0..depths.active.len() {
            mark(&mut depths.by_slot, index, depths.active[index], blocks.len() as u32);
        }
    }

    fn forget_stale(&mut self, slot: usize, now: Millis) {
        let before_s = (now.since(self.ttl).0 / 1000) as u32;
        while self.known[slot].order.front().is_some_and(|(_, stamp)| stamp.at_s < before_s) {
            self.evict_oldest(slot, 1);
        }
    }

    fn release(&mut self, slot: usize, block: u64) {
        let empty = self.holders.get_mut(&block).is_some_and(|h| h.remove(slot));
        if empty {
            self.holders.remove(&block);
        }
    }
}

impl Known {
    /// Marks a block as used now, and returns whether it is new.
    fn touch(&mut self, block: u64, now: Millis) -> bool {
        self.uses = self.uses.wrapping_add(1);
        let stamp = Stamp { at_s: (now.0 / 1000) as u32, use_number: self.uses };
        self.order.push_back((block, stamp));
        self.used_at.insert(block, stamp).is_none()
    }

    fn pop_oldest(&mut self) -> Option<u64> {
        loop {
            let (block, stamp) = self.order.pop_front()?;
            if self.used_at.get(&block) == Some(&stamp) {
                self.used_at.remove(&block);
                return Some(block);
            }
        }
    }

    /// Drops outdated places in the order once they outnumber the blocks, to bound its memory.
    fn compact(&mut self) {
        if self.order.len() > 2 * self.used_at.len().max(64) {
            let used_at = &self.used_at;
            self.order.retain(|(block, stamp)| used_at.get(block) == Some(stamp));
        }
    }
}

impl Depths {
    /// Returns how many leading blocks an endpoint holds.
    pub fn get(&self, slot: usize) -> u32 {
        self.by_slot.get(slot).copied().unwrap_or(0)
    }
}

fn mark(by_slot: &mut [u32], word: usize, mut bits: u64, depth: u32) {
    while bits != 0 {
        let slot = word * 64 + bits.trailing_zeros() as usize;
        if let Some(held) = by_slot.get_mut(slot) {
            *held = depth;
        }
        bits &= bits - 1;
    }
}
