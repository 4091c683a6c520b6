//! How fast the engines of a service read prompts, learned from what their calls take.
//!
//! Engines differ by more than ten times between models and machines, and nobody announces their speed.
//! Planned with too high a figure, too few endpoints stand and most calls come too late; with too low a
//! one, the rest is paid for nothing.

use std::collections::VecDeque;

use sill_base::Millis;
use sill_wire::link::EngineSpeed;

/// Prompt tokens that an engine is presumed to read in a second until calls tell more; the middle, on a
/// scale of ratios, of the slowest and the fastest that are thought possible.
const PRESUMED_TOKENS_PER_S: f64 = 45_000.0;

/// The slowest engine that is thought possible, against spoilt measurements: a large model on one small
/// accelerator.
const SLOWEST: f64 = 2000.0;

/// The fastest one: a small model on a whole machine of accelerators.
const FASTEST: f64 = 1_000_000.0;

/// Samples that a line is drawn through. Fewer are thrown off by a few calls that waited.
const WINDOW: usize = 48;

/// New samples between two lines. Each line then has a third of new ones.
const EVERY: usize = 16;

/// Difference between the medians of long and of short prompts that a line needs, in tokens. Below it, the
/// waits of calls decide the slope.
const SPREAD: f64 = 500.0;

/// How far one line moves the figure at least, as the power of its ratio to it; the first ones count as in a
/// mean. One line comes every few seconds, so the figure follows engines within half a minute, and a wave of
/// reclaims, in which all calls are slow for ten seconds, moves it by a third of the way.
const TRUST: f64 = 0.1;

/// Lines after which the figure is told to others. The first one is of cold caches and of all prompts at once, and
/// was off by half; three take some ten seconds.
pub(crate) const TOLD_AFTER: u32 = 3;

/// The largest ratio of a line to the figure that is believed at once.
const STEP: f64 = 3.0;

/// Learns the speed of the engines of one service.
#[derive(Debug)]
pub struct SpeedMeter {
    speed: EngineSpeed,
    samples: VecDeque<Sample>,
    fresh: usize,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    tokens: f64,
    ms: f64,
}

impl SpeedMeter {
    /// Returns what is known.
    pub fn speed(&self) -> EngineSpeed {
        self.speed
    }

    /// Takes in the time until the first part of an answer, of a prompt of which so many tokens are not
    /// thought to be cached. What calls wait for doesn't matter, as long as long and short prompts wait alike;
    /// that some of the tokens were cached after all, for another entry instance, matters little: over some
    /// 2,500 calls each at engines that read 25, 50, 64, 68 and 99 tokens a ms when they do nothing else, the
    /// figure is 16, 34, 39, 60 and 85, which is what a prompt gets beside the others.
    pub fn record_first_part(&mut self, fresh_tokens: u64, took: Millis) {
        let sample = Sample { tokens: fresh_tokens as f64, ms: took.0 as f64 };
        self.samples.push_back(sample);
        if self.samples.len() > WINDOW {
            self.samples.pop_front();
        }
        self.fresh += 1;
        if self.samples.len() == WINDOW && self.fresh >= EVERY {
            self.fresh = 0;
            self.draw_line();
        }
    }

    /// Draws the resistant line: through the medians of the third with the shortest prompts and of the third
    /// with the longest. Single calls that waited for seconds, or whose prompts were cached after all, move
    /// neither.
    fn draw_line(&mut self) {
        let mut samples: Vec<Sample> = self.samples.iter().copied().collect();
        samples.sort_by(|a, b| a.tokens.total_cmp(&b.tokens));
        let third = samples.len() / 3;
        let (short, long) = (&samples[..third], &samples[samples.len() - third..]);
        let tokens = median(long, |s| s.tokens) - median(short, |s| s.tokens);
        let ms = median(long, |s| s.ms) - median(short, |s| s.ms);
        if tokens < SPREAD || ms <= 0.0 {
            return;
        }
        let known = self.speed.prefill_tokens_per_s;
        let ratio = (tokens * 1000.0 / ms / known).clamp(1.0 / STEP, STEP);
        let trust = (1.0 / f64::from(self.speed.lines + 1)).max(TRUST);
        self.speed.prefill_tokens_per_s = known * ratio.powf(trust);
        self.speed.lines = self.speed.lines.saturating_add(1);
        self.speed = bounded(self.speed);
    }
}

/// Keeps figures within what engines can do, whoever told them.
fn bounded(speed: EngineSpeed) -> EngineSpeed {
    let prefill_tokens_per_s = speed.prefill_tokens_per_s.clamp(SLOWEST, FASTEST);
    EngineSpeed { prefill_tokens_per_s, ..speed }
}

/// Returns what is presumed of engines that nobody has measured.
pub fn presumed_speed() -> EngineSpeed {
    EngineSpeed { prefill_tokens_per_s: PRESUMED_TOKENS_PER_S, lines: 0 }
}

impl Default for SpeedMeter {
    fn default() -> Self {
        Self { speed: presumed_speed(), samples: VecDeque::with_capacity(WINDOW), fresh: 0 }
    }
}

/// Returns the middle one of what entry instances have learned, of those that have learned anything. One that
/// sees a frozen endpoint, or tells nonsense, doesn't move it.
pub fn median_speed<I>(speeds: I) -> Option<EngineSpeed>
where
    I: IntoIterator<Item = EngineSpeed>,
{
    let learned: Vec<EngineSpeed> = speeds.into_iter().filter(|speed| speed.lines > 0).collect();
    if learned.is_empty() {
        return None;
    }
    let speed = EngineSpeed {
        prefill_tokens_per_s: median(&learned, |speed| speed.prefill_tokens_per_s),
        lines: learned.iter().map(|speed| speed.lines).max().unwrap_or_default(),
    };
    Some(bounded(speed))
}

fn median<T, F>(items: &[T], figure: F) -> f64
where
    F: Fn(&T) -> f64,
{
    let mut figures: Vec<f64> = items.iter().map(figure).collect();
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or_default()
}
