//! The set of endpoints that hold a block.

/// Numbers of endpoints, small where there is only one.
#[derive(Debug, Clone)]
pub(crate) enum Holders {
    /// A single endpoint, as with most blocks of private prompts.
    One(u32),
    /// A bit for each endpoint.
    Many(Vec<u64>),
}

impl Holders {
    /// Adds an endpoint.
    pub(crate) fn insert(&mut self, slot: usize) {
        match self {
            Self::One(only) if *only as usize == slot => {}
            Self::One(only) => {
                let mut bits = Vec::new();
                set(&mut bits, *only as usize);
                set(&mut bits, slot);
                *self = Self::Many(bits);
            }
            Self::Many(bits) => set(bits, slot),
        }
    }

    /// Takes an endpoint out, and returns whether none is left.
    pub(crate) fn remove(&mut self, slot: usize) -> bool {
        match self {
            Self::One(only) => *only as usize == slot,
            Self::Many(bits) => {
                if let Some(word) = bits.get_mut(slot / 64) {
                    *word &= !(1 << (slot % 64));
                }
                bits.iter().all(|word| *word == 0)
            }
        }
    }

    /// Writes the set into `bits`, which gets the length it needs.
    pub(crate) fn copy_to(&self, bits: &mut Vec<u64>) {
        bits.clear();
        match self {
            Self::One(only) => set(bits, *only as usize),
            Self::Many(own) => bits.extend_from_slice(own),
        }
    }

    /// Returns the word of bits at an index.
    pub(crate) fn word(&self, index: usize) -> u64 {
        match self {
            Self::One(only) if *only as usize / 64 == index => 1 << (only % 64),
            Self::One(_) => 0,
            Self::Many(bits) => bits.get(index).copied().unwrap_or(0),
        }
    }
}

fn set(bits: &mut Vec<u64>, slot: usize) {
    if bits.len() <= slot / 64 {
        bits.resize(slot / 64 + 1, 0);
    }
    bits[slot / 64] |= 1 << (slot % 64);
}
