//! How long things took in the last while.

use crate::Millis;
use crate::spans::Spans;

/// Classes of times. With [`STEP`] they reach 268 s, longer than any call may take.
const CLASSES: usize = 57;

/// The upper bound of a class over that of the one before. A time is known to a quarter, which is less
/// than it varies from one second to the next.
const STEP: f64 = 1.25;

/// Times of the last one or two spans, counted by class, without a history of them.
#[derive(Debug, Clone, Copy)]
pub struct RecentTimes(Spans<[u32; CLASSES]>);

impl Default for RecentTimes {
    fn default() -> Self {
        Self(Spans::new([0; CLASSES]))
    }
}

impl RecentTimes {
    /// Takes in a time.
    pub fn record(&mut self, now: Millis, span: Millis, time: Millis) {
        self.0.newest(now, span, [0; CLASSES])[class_of(time)] += 1;
    }

    /// Returns a time that `part` of those noted did not exceed, unless none came for two spans.
    pub fn quantile(&self, now: Millis, span: Millis, part: f64) -> Option<Millis> {
        if !self.0.is_fresh(now, span) {
            return None;
        }
        let wanted = (f64::from(self.count()) * part).ceil().max(1.0);
        let mut counted = 0;
        let class = self.counts().position(|count| {
            counted += count;
            f64::from(counted) >= wanted
        });
        class.map(upper_bound)
    }

    /// Returns how many times are counted.
    pub fn count(&self) -> u32 {
        self.counts().sum()
    }

    fn counts(&self) -> impl Iterator<Item = u32> {
        self.0.now.iter().zip(&self.0.before).map(|(now, before)| now + before)
    }
}

fn class_of(time: Millis) -> usize {
    let class = (time.0.max(1) as f64).log(STEP).ceil() as usize;
    class.min(CLASSES - 1)
}

fn upper_bound(class: usize) -> Millis {
    Millis(STEP.powi(class as i32) as u64)
}
