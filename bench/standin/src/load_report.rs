//! Load reports with a configured delay and a correct age.

use std::collections::VecDeque;

use sill_base::Millis;
use sill_wire::Load;

/// Samples of an endpoint's load, of which it reports one that is at least `lag` old.
///
/// An entry instance uses the age of a report to separate its own requests from those of others. If
/// the current load were reported with the age of an older sample, the entry instance would count
/// the requests that it sent in between twice.
#[derive(Debug)]
pub struct LoadReport {
    lag: Millis,
    samples: VecDeque<(Millis, Load)>,
}

impl LoadReport {
    /// Creates the samples of an idle endpoint.
    pub fn new(lag: Millis) -> Self {
        Self { lag, samples: VecDeque::from([(Millis::ZERO, Load::default())]) }
    }

    /// Adds a sample taken at `now`.
    pub fn sample(&mut self, now: Millis, load: Load) {
        self.samples.push_back((now, load));
        self.discard_outdated(now);
    }

    /// Returns the newest sample that is at least `lag` old, with its age, or the oldest sample if
    /// there is none.
    pub fn report_at(&mut self, now: Millis) -> Load {
        self.discard_outdated(now);
        let (at, load) = self.samples[0];
        Load { age: now - at, ..load }
    }

    /// Discards samples that are followed by one that is at least `lag` old. One sample always
    /// remains.
    fn discard_outdated(&mut self, now: Millis) {
        while self.samples.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.samples.pop_front();
        }
    }
}
