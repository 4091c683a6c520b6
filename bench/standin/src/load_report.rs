//! Load reports that are as old as they say.

use std::collections::VecDeque;

use sill_base::Millis;
use sill_wire::Load;

/// Samples of an endpoint's load, of which it reports one that is `lag` old.
///
/// An entry instance tells its own requests from those of others by the age of a report. Were the present load sent
/// as an older one, it would count the requests that it sent meanwhile twice.
#[derive(Debug)]
pub struct LoadReport {
    lag: Millis,
    samples: VecDeque<(Millis, Load)>,
}

impl LoadReport {
    /// Makes the report of an idle endpoint.
    pub fn new(lag: Millis) -> Self {
        Self { lag, samples: VecDeque::from([(Millis::ZERO, Load::default())]) }
    }

    /// Takes a sample.
    pub fn sample(&mut self, now: Millis, load: Load) {
        self.samples.push_back((now, load));
        self.discard_outdated(now);
    }

    /// Returns the newest sample that is old enough, with its age; the oldest one if none is.
    pub fn report_at(&mut self, now: Millis) -> Load {
        self.discard_outdated(now);
        let (at, load) = self.samples[0];
        Load { age: now - at, ..load }
    }

    /// Forgets samples that have a newer one behind them which is old enough. One is always left.
    fn discard_outdated(&mut self, now: Millis) {
        while self.samples.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.samples.pop_front();
        }
    }
}
