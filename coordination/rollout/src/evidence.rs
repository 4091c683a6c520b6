//! Evidence on one endpoint: how much better its answers fit a bad version than one that is like the
//! version in force.

use std::collections::VecDeque;
use std::f64::consts::SQRT_2;

use sill_base::Millis;
use sill_wire::rollout::Durations;

use crate::slices::Tally;

/// Upper bound on the evidence of one endpoint in one slice. A crash ends all requests that it runs
/// at once, so a single slice must not decide a vote.
const SLICE_CAP: f64 = 2.5;

/// Increase of the probability to fail that tells a bad version; bad ones fail by 0.2 or more.
const FAILURE_STEP: f64 = 0.1;

/// Lower bound on the probability to fail of the version in force, so that one failed answer of the
/// candidate decides nothing where the version in force had none.
const MIN_FAILURE_RATE: f64 = 0.01;

/// Upper bound, which keeps the sum with [`FAILURE_STEP`] below 1.
const MAX_FAILURE_RATE: f64 = 0.85;

/// Probability to fail of the version in force while it has no answers to compare with.
pub(crate) const UNKNOWN_FAILURE_RATE: f64 = 0.05;

/// Part of the answers that are slow for a good and for a bad version. By definition at most 0.1 of
/// those of the version in force are, and more than half of those of one that is four times slower.
const SLOW_RATES: (f64, f64) = (0.1, 0.5);

/// Buckets above that of the median from which on a duration is slow. The middle of a bucket that is
/// three higher is 2.83 times as long, of two higher 2.0 times; the bound is 2.5.
const SLOW_BUCKETS: u8 = 3;

/// Answers of the version in force in all strata, merged likewise, from which the probability to
/// fail is estimated. It counts as much for a stratum as this number of its own answers: one failed
/// answer of 30 would hide a candidate that fails by 0.1 more.
pub(crate) const RATE_ANSWERS: u64 = 60;

/// Answers without which times are not compared.
pub(crate) const MIN_REFERENCE: u64 = 8;

/// Lower bound on the part of answers that have ended, by which those that have are weighted: the
/// longest answers are few, and one must not count for all others.
const MIN_ENDED: f64 = 0.2;

/// Slices that evidence is summed over, besides all: 0.8, 2 and 4 s. Versions that turn bad later
/// have to make up for earlier good answers otherwise.
pub(crate) const WINDOWS: [u64; 3] = [4, 10, 20];

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Measure {
    Failures,
    FirstParts,
    Pauses,
}

pub(crate) const MEASURES: [Measure; 3] = [Measure::Failures, Measure::FirstParts, Measure::Pauses];

/// The evidence on one endpoint for the requests of one cell.
#[derive(Debug, Default)]
pub(crate) struct Track {
    pub answers: u64,
    pub series: [Series; MEASURES.len()],
}

/// Evidence of one measure.
#[derive(Debug, Default)]
pub(crate) struct Series {
    /// Answers that were compared.
    pub compared: u64,
    /// Those of them that failed or were slow.
    pub adverse: u64,
    /// The sum over all slices.
    pub total: f64,
    /// The highest sum over the newest slices, of any number of them.
    pub against: f64,
    /// Number of slices with evidence against the endpoint.
    pub slices_against: u32,
    /// Slices and their evidence, the newest last.
    recent: VecDeque<(u64, f64)>,
}

/// Evidence of one slice.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Sample {
    pub compared: u64,
    pub adverse: u64,
    pub evidence: f64,
}

/// What answers of the candidate in one stratum are compared with.
#[derive(Debug)]
pub(crate) struct Reference {
    failure_rate: f64,
    /// The lowest bucket of slow times to the first part.
    slow_first: Option<u8>,
    /// The lowest bucket of slow pauses.
    slow_pause: Option<u8>,
}

impl Reference {
    /// Creates it from answers in the stratum and the probability to fail in all strata. Times are
    /// compared with fresh answers only.
    pub fn new(tally: &Tally, overall: f64, is_fresh: bool) -> Self {
        let slow_from = |durations: &Durations| {
            let is_known = is_fresh && durations.total() >= MIN_REFERENCE;
            is_known.then(|| slow_from(durations)).flatten()
        };
        Self {
            failure_rate: failure_rate(tally, overall),
            slow_first: slow_from(&tally.first),
            slow_pause: slow_from(&tally.pauses),
        }
    }

    pub fn compare(&self, measure: Measure, tally: &Tally) -> Sample {
        let slow = |durations: &Durations, from: Option<u8>| {
            let Some(from) = from else { return Sample::default() };
            let slow = durations.0.iter().filter(|(bucket, _)| *bucket >= from);
            let slow = slow.map(|(_, count)| u64::from(*count)).sum();
            Sample::new(durations.total(), slow, SLOW_RATES)
        };
        match measure {
            Measure::Failures => {
                let rates = (self.failure_rate, self.failure_rate + FAILURE_STEP);
                Sample::new(tally.answers, tally.failures, rates)
            }
            Measure::FirstParts => slow(&tally.first, self.slow_first),
            Measure::Pauses => slow(&tally.pauses, self.slow_pause),
        }
    }
}

impl Series {
    pub fn push(&mut self, slice: u64, sample: &Sample, is_capped: bool) {
        if sample.compared == 0 {
            return;
        }
        let cap = if is_capped { SLICE_CAP } else { f64::INFINITY };
        let evidence = sample.evidence.min(cap);
        self.compared += sample.compared;
        self.adverse += sample.adverse;
        self.total += evidence;
        self.against = (self.against + evidence).max(0.0);
        self.slices_against += u32::from(evidence > 0.0);
        self.recent.push_back((slice, evidence));
        let longest = WINDOWS[WINDOWS.len() - 1];
        while self.recent.front().is_some_and(|(first, _)| first + longest <= slice) {
            self.recent.pop_front();
        }
    }

    /// Returns the evidence of the slices after this one.
    pub fn since(&self, slice: u64) -> f64 {
        let recent = self.recent.iter().rev().take_while(|(number, _)| *number > slice);
        recent.map(|(_, evidence)| evidence).sum()
    }
}

impl Sample {
    /// Compares the hypotheses that answers fail, or are slow, with the first and with the second
    /// probability.
    fn new(compared: u64, adverse: u64, (like, worse): (f64, f64)) -> Self {
        let others = compared.saturating_sub(adverse) as f64;
        let evidence =
            adverse as f64 * (worse / like).ln() + others * ((1.0 - worse) / (1.0 - like)).ln();
        Self { compared, adverse, evidence }
    }

    pub fn add(&mut self, other: &Self) {
        self.compared += other.compared;
        self.adverse += other.adverse;
        self.evidence += other.evidence;
    }
}

/// Returns the probability that an answer in a stratum fails, given the one in all strata.
fn failure_rate(tally: &Tally, overall: f64) -> f64 {
    let weight = RATE_ANSWERS as f64;
    let rate = (tally.failures as f64 + overall * weight) / (tally.answers as f64 + weight);
    rate.clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE)
}

/// Returns the lowest bucket of durations that are slow: beyond the 90th percentile, and far beyond
/// the median.
fn slow_from(durations: &Durations) -> Option<u8> {
    let beyond_median = percentile(durations, 0.5)?.saturating_add(SLOW_BUCKETS);
    let beyond_tail = percentile(durations, 0.9)?.saturating_add(1);
    Some(beyond_median.max(beyond_tail))
}

fn percentile(durations: &Durations, part: f64) -> Option<u8> {
    let rank = (durations.total() as f64 * part).ceil().max(1.0) as u64;
    let mut sum = 0;
    let is_reached = |(_, count): &&(u8, u32)| {
        sum += u64::from(*count);
        sum >= rank
    };
    durations.0.iter().find(is_reached).map(|(bucket, _)| *bucket)
}

/// Returns the duration that this part of the answers does not exceed, interpolated in its bucket.
///
/// The answers were requested within the time `elapsed`. Of those that take half of it only half have
/// ended, so each one counts for the number of answers that it stands for.
pub(crate) fn duration_at(durations: &Durations, part: f64, elapsed: Millis) -> Option<Millis> {
    let weighted = |(bucket, count): &(u8, u32)| {
        let middle = Durations::upper_ms(*bucket) / SQRT_2.sqrt();
        let ended = 1.0 - middle / elapsed.0.max(1) as f64;
        (*bucket, f64::from(*count) / ended.max(MIN_ENDED))
    };
    let weighted: Vec<(u8, f64)> = durations.0.iter().map(weighted).collect();
    let rank = weighted.iter().map(|(_, weight)| weight).sum::<f64>() * part;
    let mut below = 0.0;
    for (bucket, weight) in weighted {
        if below + weight >= rank && weight > 0.0 {
            let shortest = Durations::upper_ms(bucket) / SQRT_2;
            let position = ((rank - below) / weight).clamp(0.0, 1.0);
            return Some(Millis((shortest * SQRT_2.powf(position)) as u64));
        }
        below += weight;
    }
    None
}
