//! How long work takes at an endpoint, by the pace that it reports and the speed learned from its
//! answers.
//!
//! Nothing here applies to an endpoint that has not reported a pace: its factors are 1, and nothing is
//! learned of it.

use sill_base::Millis;

/// Time after which a reported pace counts half. A level of the pace lasts about as long.
const PACE_HALF_LIFE: Millis = Millis(600);

/// Largest ratio of an endpoint's learned speed to that of the pool, and of one sample to what is
/// usual. A stalled answer says little about the next.
const MAX_RATIO: f64 = 4.0;

/// Samples as many as which the presumption counts that an endpoint is as fast as the others. The time
/// to the first part varies by half or more between equal calls at one endpoint.
const PRIOR_SAMPLES: f64 = 6.0;

/// Least weight of a new sample of an endpoint. Speeds belong to machines, and change with the
/// incarnation.
const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 64.0;

/// Least weight of a new sample in what is usual for calls of its kind. That follows the load of the
/// pool within some tens of seconds.
const MIN_KIND_WEIGHT: f64 = 1.0 / 128.0;

/// Samples of a kind before others are compared with it.
const MIN_KIND_SAMPLES: u32 = 8;

/// Classes of prompt lengths, of which each is twice the one before.
const SIZES: usize = 12;

/// Longest prompt of the first class, in tokens.
const FIRST_SIZE: u64 = 64;

/// Classes of loads: the quarter of the slots that were in use, and one with none free.
const LOADS: usize = 5;

/// Difference between two levels of a home's weight, as the exponent of 2.
const HOME_STEP: f64 = 0.5;

/// Distance from its level, in steps, from which on a home's weight changes. With half a step, learned
/// speeds that vary a little would move homes back and forth, and caches would be lost.
const HOME_HYSTERESIS: f64 = 0.8;

/// How long work takes at one endpoint.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Performance {
    pace: Option<ReportedPace>,
    /// Mean logarithm of its times relative to the usual ones.
    mean: f64,
    samples: u32,
    /// The newest own sample, as a logarithm, and when it was taken.
    own: Option<(f64, Millis)>,
    /// Logarithm of the time that work takes relative to the pool's median, apart from the pace.
    relative: f64,
    /// Level of its weight as a home.
    home_level: i32,
}

/// The weights of an endpoint that reports its pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointWeights {
    /// Factor on its times by the pace that it reported last, which tends to 1 as that ages.
    pub pace_factor: f64,
    /// Its learned speed relative to the median of the pool.
    pub speed: f64,
    /// Answers from which the speed was learned.
    pub samples: u32,
    /// Its weight as a home of shared parts of prompts.
    pub home_weight: f64,
}

/// The pace that an endpoint reported last.
#[derive(Debug, Clone, Copy)]
struct ReportedPace {
    /// Logarithm of the ratio to the usual time.
    log: f64,
    at: Millis,
}

/// The kind of a call, by which its time to the first part is compared with others.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallKind {
    size: u8,
    load: u8,
}

/// The usual times to the first part, learned from all endpoints that report a pace.
#[derive(Debug, Default)]
pub(crate) struct UsualTimes {
    kinds: [[UsualTime; LOADS]; SIZES],
}

/// The mean logarithm of the times of one kind, in milliseconds at the usual pace.
#[derive(Debug, Default, Clone, Copy)]
struct UsualTime {
    mean: f64,
    samples: u32,
}

impl Performance {
    /// Records a pace in percent of the usual time, as reported at `at`.
    pub(crate) fn record_pace(&mut self, at: Millis, percent: u32) {
        if self.pace.is_none_or(|known| known.at <= at) {
            let log = (f64::from(percent.max(1)) / 100.0).ln();
            self.pace = Some(ReportedPace { log, at });
        }
    }

    /// Returns whether the endpoint has reported a pace.
    pub(crate) fn is_reported(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns the factor on times by the pace, which tends to 1 as the pace ages.
    pub(crate) fn pace_factor(&self, now: Millis) -> f64 {
        self.pace.map_or(1.0, |pace| {
            let half_lives = now.since(pace.at).as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
            (pace.log * 0.5_f64.powf(half_lives)).exp()
        })
    }

    /// Returns the factor on times by the learned speed, from 0.25 to 4.
    pub(crate) fn learned_factor(&self) -> f64 {
        if self.is_reported() { self.relative.exp() } else { 1.0 }
    }

    /// Returns the factor on the time that work takes at the endpoint now.
    pub(crate) fn time_factor(&self, now: Millis) -> f64 {
        self.pace_factor(now) * self.learned_factor()
    }

    /// Returns the weight as a home. It follows the learned speed in steps.
    pub(crate) fn home_weight(&self) -> f64 {
        if self.is_reported() { (f64::from(self.home_level) * HOME_STEP).exp2() } else { 1.0 }
    }

    pub(crate) fn weights(&self, now: Millis) -> EndpointWeights {
        EndpointWeights {
            pace_factor: self.pace_factor(now),
            speed: 1.0 / self.learned_factor(),
            samples: self.samples,
            home_weight: self.home_weight(),
        }
    }

    /// Records the time of an own answer relative to what is usual, as a logarithm.
    pub(crate) fn record_own_sample(&mut self, now: Millis, ratio_log: f64) {
        self.own = Some((ratio_log, now));
        self.record_sample(ratio_log);
    }

    /// Returns the newest own sample in percent of the usual time, and when it was taken.
    pub(crate) fn own_sample(&self) -> Option<(u32, Millis)> {
        self.own.map(|(log, at)| ((log.exp() * 100.0).clamp(1.0, 10_000.0) as u32, at))
    }

    /// Records the time of an answer relative to what is usual, as a logarithm.
    pub(crate) fn record_sample(&mut self, ratio_log: f64) {
        let bound = MAX_RATIO.ln();
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_SAMPLE_WEIGHT);
        self.mean += weight * (ratio_log.clamp(-bound, bound) - self.mean);
    }

    /// Returns the logarithm of its times relative to the usual ones, as far as the samples show a
    /// difference; none without samples.
    pub(crate) fn estimate(&self) -> Option<f64> {
        let samples = f64::from(self.samples);
        (self.samples > 0).then(|| self.mean * samples / (samples + PRIOR_SAMPLES))
    }

    /// Sets the median estimate of the pool, to which its learned speed is relative.
    pub(crate) fn set_median(&mut self, median: f64) {
        let bound = MAX_RATIO.ln();
        self.relative = self.estimate().map_or(0.0, |own| (own - median).clamp(-bound, bound));
        let level = -self.relative / std::f64::consts::LN_2 / HOME_STEP;
        if (level - f64::from(self.home_level)).abs() > HOME_HYSTERESIS {
            self.home_level = level.round() as i32;
        }
    }
}

impl CallKind {
    /// Returns the kind of a call with a prompt of `tokens` that are not cached, sent to an endpoint
    /// that ran `active` requests.
    pub(crate) fn new(tokens: u64, active: u32, slots: f64) -> Self {
        let size = (tokens / FIRST_SIZE).checked_ilog2().map_or(0, |log| log as usize + 1);
        let load = (f64::from(active) / slots.max(1.0) * (LOADS - 1) as f64) as usize;
        Self { size: size.min(SIZES - 1) as u8, load: load.min(LOADS - 1) as u8 }
    }
}

impl UsualTimes {
    /// Returns the usual time, in milliseconds, of a call without a prompt at an endpoint that is
    /// hardly loaded; 0 until it is known.
    pub(crate) fn work_ms(&self) -> f64 {
        let learned = self.kinds[0].iter().find(|usual| usual.samples >= MIN_KIND_SAMPLES);
        learned.map_or(0.0, |usual| usual.mean.exp())
    }

    /// Records the time to the first part of a call at an endpoint whose pace had this factor. Returns
    /// the logarithm of its ratio to the usual time, once that is known.
    pub(crate) fn record(&mut self, kind: CallKind, time: Millis, pace_factor: f64) -> Option<f64> {
        let usual = &mut self.kinds[usize::from(kind.size)][usize::from(kind.load)];
        let log = ((time.0 as f64).max(0.5) / pace_factor).ln();
        let ratio = (usual.samples >= MIN_KIND_SAMPLES).then_some(log - usual.mean);
        usual.samples = usual.samples.saturating_add(1);
        let weight = (1.0 / f64::from(usual.samples)).max(MIN_KIND_WEIGHT);
        usual.mean += weight * (log - usual.mean);
        ratio
    }
}

/// Returns the median of the estimates of all endpoints; 0 if there is none.
pub(crate) fn median(mut estimates: Vec<f64>) -> f64 {
    if estimates.is_empty() {
        return 0.0;
    }
    let middle = estimates.len() / 2;
    *estimates.select_nth_unstable_by(middle, f64::total_cmp).1
}
