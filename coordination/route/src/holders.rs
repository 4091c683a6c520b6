//! The set of endpoints that hold a block.

/// A set of endpoint indices, without an allocation where there is only one.
#[derive(Debug, Clone)]
pub(crate) enum Holders {
    /// A single endpoint, as for most blocks of private prompts.
    One(u32),
    /// A bit set, with one bit for each endpoint.
    Many(Vec<u64>),
}

impl Holders {
    /// Adds an endpoint.
    pub(crate) fn insert(&mut self, endpoint: usize) {
        match self {
            Self::One(only) if *only as usize == endpoint => {}
            Self::One(only) => {
                let mut bits = Vec::new();
                set_bit(&mut bits, *only as usize);
                set_bit(&mut bits, endpoint);
                *self = Self::Many(bits);
            }
            Self::Many(bits) => set_bit(bits, endpoint),
        }
    }

    /// Removes an endpoint and returns whether the set is now empty. A set of one endpoint stays as
    /// it is: the caller drops it.
    pub(crate) fn remove(&mut self, endpoint: usize) -> bool {
        match self {
            Self::One(only) => *only as usize == endpoint,
            Self::Many(bits) => {
                if let Some(word) = bits.get_mut(endpoint / 64) {
                    *word &= !(1 << (endpoint % 64));
                }
                bits.iter().all(|word| *word == 0)
            }
        }
    }

    /// Overwrites `bits` with the set as a bit set, resized to the length it needs.
    pub(crate) fn copy_to(&self, bits: &mut Vec<u64>) {
        bits.clear();
        match self {
            Self::One(only) => set_bit(bits, *only as usize),
            Self::Many(own) => bits.extend_from_slice(own),
        }
    }

    /// Returns the 64-bit word of the bit set at a word index.
    pub(crate) fn word(&self, index: usize) -> u64 {
        match self {
            Self::One(only) if *only as usize / 64 == index => 1 << (only % 64),
            Self::One(_) => 0,
            Self::Many(bits) => bits.get(index).copied().unwrap_or(0),
        }
    }
}

fn set_bit(bits: &mut Vec<u64>, endpoint: usize) {
    if bits.len() <= endpoint / 64 {
        bits.resize(endpoint / 64 + 1, 0);
    }
    bits[endpoint / 64] |= 1 << (endpoint % 64);
}
