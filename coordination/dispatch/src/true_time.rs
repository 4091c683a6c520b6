//! True time of day out of many clocks of which some are wrong.

use sill_base::{Map, Millis, Name};

/// How long a reading counts.
const FRESH: Millis = Millis(5000);

/// Readings of the time of day at many instances, taken against the own steady clock.
///
/// Usage is charged by windows of the time of day. On some instances it jumps by seconds; a window
/// cut by such a clock would be charged twice or not at all. The median is right as long as more
/// than half of the clocks are.
#[derive(Debug, Default)]
pub struct TrueTime {
    readings: Map<Name, Reading>,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    /// Time of day less steady time.
    offset: Millis,
    at: Millis,
}

impl TrueTime {
    /// Takes in a reading.
    pub fn record(&mut self, now: Millis, instance: &Name, wall: Millis) {
        self.readings.insert(instance.clone(), Reading { offset: wall - now, at: now });
    }

    /// Forgets old readings.
    pub fn expire(&mut self, now: Millis) {
        self.readings.retain(|_, reading| now - reading.at < FRESH);
    }

    /// Returns the time of day now, or none without a reading.
    pub fn time_of_day(&self, now: Millis) -> Option<Millis> {
        let fresh = self.readings.values().filter(|reading| now - reading.at < FRESH);
        let mut offsets: Vec<Millis> = fresh.map(|reading| reading.offset).collect();
        offsets.sort();
        offsets.get(offsets.len() / 2).map(|offset| now + *offset)
    }
}
