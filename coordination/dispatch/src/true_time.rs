//! True time of day from many clocks, some of which are wrong.

use sill_base::{Map, Millis, Name};

/// How long a reading is valid.
const READING_TTL: Millis = Millis(5000);

/// Readings of the time of day at many instances, relative to the local monotonic clock.
///
/// Usage is charged by windows of the time of day. On some instances the clock jumps by seconds; a
/// window cut by such a clock would be charged twice or not at all. The median is right as long as
/// more than half of the clocks are.
#[derive(Debug, Default)]
pub struct TrueTime {
    readings: Map<Name, Reading>,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    /// Time of day minus monotonic time.
    offset: Millis,
    taken_at: Millis,
}

impl TrueTime {
    /// Records the time of day at an instance.
    pub fn record(&mut self, now: Millis, instance: &Name, wall: Millis) {
        self.readings.insert(instance.clone(), Reading { offset: wall - now, taken_at: now });
    }

    /// Drops readings that are no longer valid.
    pub fn expire(&mut self, now: Millis) {
        self.readings.retain(|_, reading| now - reading.taken_at < READING_TTL);
    }

    /// Returns the time of day, or `None` without a valid reading.
    pub fn time_of_day(&self, now: Millis) -> Option<Millis> {
        let valid = self.readings.values().filter(|reading| now - reading.taken_at < READING_TTL);
        let mut offsets: Vec<Millis> = valid.map(|reading| reading.offset).collect();
        offsets.sort();
        offsets.get(offsets.len() / 2).map(|offset| now + *offset)
    }
}
