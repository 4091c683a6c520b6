//! Sliding window of admitted amounts.

use std::collections::VecDeque;

use sill_base::Millis;
use sill_wire::link::LIMIT_WINDOW;

/// Length of the slices in which amounts are summed.
const SLICE: Millis = Millis(500);

/// Amounts of the last [`LIMIT_WINDOW`], in slices.
#[derive(Debug, Default)]
pub(super) struct Window {
    slices: VecDeque<Slice>,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    number: u64,
    amount: f64,
}

impl Window {
    pub(super) fn add(&mut self, now: Millis, amount: f64) {
        let number = now.0 / SLICE.0;
        match self.slices.back_mut() {
            Some(slice) if slice.number >= number => slice.amount += amount,
            _ => self.slices.push_back(Slice { number, amount }),
        }
    }

    pub(super) fn sum(&mut self, now: Millis) -> f64 {
        let oldest = (now - LIMIT_WINDOW).0 / SLICE.0;
        while self.slices.front().is_some_and(|slice| slice.number < oldest) {
            self.slices.pop_front();
        }
        self.slices.iter().map(|slice| slice.amount).sum::<f64>().max(0.0)
    }

    /// Returns the amounts of the window by second, the newest first.
    pub(super) fn by_second(&mut self, now: Millis) -> Vec<u64> {
        const SLICES_PER_SECOND: u64 = 1000 / SLICE.0;
        self.sum(now);
        let newest = now.0 / SLICE.0;
        let mut seconds: Vec<f64> = Vec::new();
        for slice in &self.slices {
            let second = (newest.saturating_sub(slice.number) / SLICES_PER_SECOND) as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, 0.0);
            }
            seconds[second] += slice.amount;
        }
        seconds.into_iter().map(|amount| amount.round() as u64).collect()
    }
}
