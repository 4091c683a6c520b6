//! Bounds the memory of an instance that peers fill with data that can't be passed on yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bytes that each holder may keep without taking them from the budget. A short event or answer never
/// fails because others hold large ones.
const FREE_BYTES: usize = 16 << 10;

/// The bytes that all holders of an instance may keep together, beyond the first 16 KiB of each.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    used: AtomicUsize,
}

impl BufferBudget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Returns how many bytes are taken.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let take = |used: usize| used.checked_add(bytes).filter(|used| *used <= self.limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The part of a budget that one holder has taken. It is given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<BufferBudget>,
    taken: usize,
}

impl Reservation {
    /// Creates a reservation of nothing.
    pub const fn new(budget: Arc<BufferBudget>) -> Self {
        Self { budget, taken: 0 }
    }

    /// Takes what is missing to hold `bytes`. Returns false, and takes nothing, if the budget has too
    /// little left.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(FREE_BYTES).saturating_sub(self.taken);
        let has_room = self.budget.take(missing);
        if has_room {
            self.taken += missing;
        }
        has_room
    }

    /// Gives everything back, for a holder that keeps nothing more.
    pub fn clear(&mut self) {
        self.budget.give_back(std::mem::take(&mut self.taken));
    }

    /// Moves the reservation to the data that it was taken for, until the data is dropped: a slow
    /// reader may leave it in a queue for long.
    pub fn attach(&mut self, data: Bytes) -> Bytes {
        if self.taken == 0 {
            return data;
        }
        let reservation = Self { budget: self.budget.clone(), taken: self.taken };
        self.taken = 0;
        Bytes::from_owner(ReservedBytes { data, _reservation: reservation })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}

struct ReservedBytes {
    data: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
