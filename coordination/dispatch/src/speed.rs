//! Estimation of the prefill speed of a service's engines from the times to the first part of their
//! answers.
//!
//! Engines differ by more than ten times between models and machines, and their speed is not
//! announced. With too high a figure, too few endpoints are ordered and most calls are late; with
//! too low a figure, the surplus is paid for in vain.

use std::collections::VecDeque;

use sill_base::Millis;
use sill_wire::link::EngineSpeed;

/// Prefill speed that is presumed of an engine before any is learned; the geometric mean of the
/// slowest and the fastest.
const PRESUMED_TOKENS_PER_S: f64 = 45_000.0;

/// Lower bound on the learned speed, against distorted samples: a large model on one small
/// accelerator.
const MIN_TOKENS_PER_S: f64 = 2000.0;

/// Upper bound on the learned speed: a small model on a whole machine of accelerators.
const MAX_TOKENS_PER_S: f64 = 1_000_000.0;

/// Samples to which a line is fitted. With fewer, a few calls that were queued distort the result.
const WINDOW_SAMPLES: usize = 48;

/// New samples between two fits. A third of the samples of each fit are then new.
const NEW_SAMPLES_PER_FIT: usize = 16;

/// Least difference between the median lengths of long and short prompts for a fit, in tokens.
/// Below it, queueing decides the slope.
const MIN_SPREAD_TOKENS: f64 = 500.0;

/// Least weight of one fit, as the exponent of its ratio to the learned speed; the first fits are
/// weighted as in a mean. There is a fit every few seconds, so the speed follows the engines within
/// half a minute, and a wave of reclaims, in which all calls are slow for ten seconds, moves it by
/// a third of the way.
const MIN_FIT_WEIGHT: f64 = 0.1;

/// Fits after which the speed is reported. The first fit is of cold caches and of all prompts at
/// once, and was off by half; three take some ten seconds.
pub(crate) const MIN_REPORTED_FITS: u32 = 3;

/// Largest ratio of a fit to the learned speed that counts; a fit beyond it is clamped.
const MAX_FIT_RATIO: f64 = 3.0;

/// Learns the prefill speed of the engines of one service. The `lines` of its speed count the fits.
#[derive(Debug)]
pub struct SpeedMeter {
    speed: EngineSpeed,
    samples: VecDeque<Sample>,
    new_samples: usize,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    tokens: f64,
    ms: f64,
}

impl SpeedMeter {
    /// Returns the learned speed, or the presumed one if no fit succeeded yet.
    pub fn speed(&self) -> EngineSpeed {
        self.speed
    }

    /// Records the time until the first part of an answer, for a prompt with `fresh_tokens` tokens
    /// that are presumably not cached.
    ///
    /// Queueing does not matter as long as long and short prompts wait alike. It matters little
    /// that some of the tokens were in fact cached, for another entry instance: over some 2,500
    /// calls each to engines that read 25, 50, 64, 68 and 99 tokens per ms when they do nothing
    /// else, the result is 16, 34, 39, 60 and 85, which is the speed that a prompt gets beside
    /// others.
    pub fn record_first_part(&mut self, fresh_tokens: u64, time: Millis) {
        let sample = Sample { tokens: fresh_tokens as f64, ms: time.0 as f64 };
        self.samples.push_back(sample);
        if self.samples.len() > WINDOW_SAMPLES {
            self.samples.pop_front();
        }
        self.new_samples += 1;
        if self.samples.len() == WINDOW_SAMPLES && self.new_samples >= NEW_SAMPLES_PER_FIT {
            self.new_samples = 0;
            self.fit_line();
        }
    }

    /// Fits a resistant line through the medians of the third with the shortest prompts and the
    /// third with the longest. Single calls that were queued for seconds, or whose prompts were
    /// cached after all, move neither median.
    fn fit_line(&mut self) {
        let mut samples: Vec<Sample> = self.samples.iter().copied().collect();
        samples.sort_by(|a, b| a.tokens.total_cmp(&b.tokens));
        let third = samples.len() / 3;
        let (short, long) = (&samples[..third], &samples[samples.len() - third..]);
        let tokens = median(long, |s| s.tokens) - median(short, |s| s.tokens);
        let ms = median(long, |s| s.ms) - median(short, |s| s.ms);
        if tokens < MIN_SPREAD_TOKENS || ms <= 0.0 {
            return;
        }
        let learned = self.speed.prefill_tokens_per_s;
        let ratio = (tokens * 1000.0 / ms / learned).clamp(1.0 / MAX_FIT_RATIO, MAX_FIT_RATIO);
        let weight = (1.0 / f64::from(self.speed.fits + 1)).max(MIN_FIT_WEIGHT);
        self.speed.prefill_tokens_per_s = learned * ratio.powf(weight);
        self.speed.fits = self.speed.fits.saturating_add(1);
        self.speed = clamped(self.speed);
    }
}

/// Clamps a speed to what engines can reach, whoever reported it.
fn clamped(speed: EngineSpeed) -> EngineSpeed {
    let prefill_tokens_per_s = speed.prefill_tokens_per_s.clamp(MIN_TOKENS_PER_S, MAX_TOKENS_PER_S);
    EngineSpeed { prefill_tokens_per_s, ..speed }
}

/// Returns the speed that is presumed of engines before any is learned.
pub fn presumed_speed() -> EngineSpeed {
    EngineSpeed { prefill_tokens_per_s: PRESUMED_TOKENS_PER_S, fits: 0 }
}

impl Default for SpeedMeter {
    fn default() -> Self {
        Self {
            speed: presumed_speed(),
            samples: VecDeque::with_capacity(WINDOW_SAMPLES),
            new_samples: 0,
        }
    }
}

/// Returns the median of the speeds that entry instances have learned, ignoring those without a
/// fit. A single instance that sees a frozen endpoint or reports nonsense does not move it.
pub fn median_speed<I>(speeds: I) -> Option<EngineSpeed>
where
    I: IntoIterator<Item = EngineSpeed>,
{
    let learned: Vec<EngineSpeed> = speeds.into_iter().filter(|speed| speed.fits > 0).collect();
    if learned.is_empty() {
        return None;
    }
    let speed = EngineSpeed {
        prefill_tokens_per_s: median(&learned, |speed| speed.prefill_tokens_per_s),
        fits: learned.iter().map(|speed| speed.fits).max().unwrap_or_default(),
    };
    Some(clamped(speed))
}

fn median<T, F>(items: &[T], figure: F) -> f64
where
    F: Fn(&T) -> f64,
{
    let mut figures: Vec<f64> = items.iter().map(figure).collect();
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or_default()
}
