//! Quantiles of recent durations.

use crate::Millis;
use crate::window_pair::WindowPair;

/// The number of histogram buckets. With [`BUCKET_RATIO`] they reach 268 s, longer than any call
/// may take.
const BUCKETS: usize = 57;

/// The ratio between the upper bounds of two adjacent buckets. Durations are accurate to a quarter,
/// which is less than they vary from one second to the next.
const BUCKET_RATIO: f64 = 1.25;

/// A histogram of the durations of the last one to two windows, without a history of them.
#[derive(Debug, Clone, Copy)]
pub struct RecentTimes(WindowPair<[u32; BUCKETS]>);

impl Default for RecentTimes {
    fn default() -> Self {
        Self(WindowPair::new([0; BUCKETS]))
    }
}

impl RecentTimes {
    /// Records a duration.
    pub fn record(&mut self, now: Millis, window: Millis, time: Millis) {
        self.0.current_mut(now, window, [0; BUCKETS])[bucket_index(time)] += 1;
    }

    /// Returns the `quantile` (0 to 1) of the recorded durations as the upper bound of its bucket,
    /// or `None` once two windows have passed since the current one started.
    pub fn quantile(&self, now: Millis, window: Millis, quantile: f64) -> Option<Millis> {
        if !self.0.is_fresh(now, window) {
            return None;
        }
        let rank = (f64::from(self.count()) * quantile).ceil().max(1.0);
        let mut total = 0;
        let bucket = self.counts().position(|count| {
            total += count;
            f64::from(total) >= rank
        });
        bucket.map(upper_bound)
    }

    /// Returns the number of durations in the histogram.
    pub fn count(&self) -> u32 {
        self.counts().sum()
    }

    fn counts(&self) -> impl Iterator<Item = u32> {
        self.0.current.iter().zip(&self.0.previous).map(|(current, previous)| current + previous)
    }
}

fn bucket_index(time: Millis) -> usize {
    let bucket = (time.0.max(1) as f64).log(BUCKET_RATIO).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Millis {
    Millis(BUCKET_RATIO.powi(bucket as i32) as u64)
}
