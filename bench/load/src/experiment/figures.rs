//! Measurements of one run.

use hdrhistogram::Histogram;
use serde::Serialize;
use sill_base::Millis;
use sill_wire::Priority;

use super::model::Micros;
use super::traffic::Mix;

/// Target for the mean time between tokens of an answer, in microseconds.
const BETWEEN_TOKENS_TARGET_US: Micros = 29_000;

/// Length of a span of the timeline in microseconds.
const SPAN_US: Micros = 10_000_000;

/// Recomputed tokens, by the reason why the cache of the chosen endpoint did not have them.
#[derive(Debug, Default, Clone, Copy, Serialize)]
pub struct Recompute {
    /// Another endpoint had them cached.
    pub elsewhere: u64,
    /// No endpoint had them cached any more.
    pub evicted: u64,
    /// The request was moved away from a reclaimed endpoint.
    pub reclaim: u64,
}

/// Counts of one span of the timeline.
#[derive(Debug, Default, Clone, Copy, Serialize)]
pub struct Span {
    /// New requests, without retries.
    pub arrived: u64,
    /// Complete answers.
    pub answered: u64,
    /// Complete answers within both latency targets.
    pub in_time: u64,
    /// Refusals and caller timeouts.
    pub refused: u64,
    /// Requests without an answer after the last attempt.
    pub lost: u64,
    /// Longest time to first token in milliseconds.
    pub worst_ttft_ms: u64,
    /// Slots in use, summed over samples.
    pub used_slots: u64,
    /// Slots of all endpoints that are up, summed over samples.
    pub slots: u64,
    /// Highest number of running and queued requests at an endpoint, in percent of its slots.
    pub fullest: u64,
}

/// Measurements of one run.
#[derive(Debug)]
pub struct Figures {
    mix: Mix,
    /// Times to first token in microseconds.
    pub ttft: Histogram<u64>,
    /// Mean time between tokens of each answer in microseconds.
    pub between: Histogram<u64>,
    /// Timeline of the run.
    pub spans: Vec<Span>,
    /// Recomputed tokens by cause.
    pub recompute: Recompute,
    /// Prompt tokens of all attempts whose prefill started.
    pub prompt_tokens: u64,
    /// Prompt tokens not found in the cache.
    pub computed_tokens: u64,
    /// Refusals by priority: low, normal, high.
    pub refused: [u64; 3],
    /// Price of all endpoints over the run in currency units.
    pub fleet_cost: f64,
    /// Mean time of one routing decision in microseconds.
    pub decision_us: f64,
}

/// Measurements in one row of a table.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the variant that was run.
    pub name: String,
    /// Recomputed tokens by cause.
    pub recompute: Recompute,
    /// Recomputed tokens in total.
    pub recomputed: u64,
    /// Median time to first token in milliseconds.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to first token in milliseconds.
    pub ttft_p95_ms: f64,
    /// 95th percentile of the time between tokens in milliseconds.
    pub between_p95_ms: f64,
    /// Complete answers.
    pub answered: u64,
    /// Complete answers within both latency targets.
    pub in_time: u64,
    /// Refusals and caller timeouts.
    pub refused: u64,
    /// Requests without an answer after the last attempt.
    pub lost: u64,
    /// Cost of the fleet per 1,000 answers within the latency targets, in currency units.
    pub cost_per_1000: f64,
    /// Mean time of one routing decision in microseconds.
    pub decision_us: f64,
}

impl Figures {
    /// Creates empty measurements for a run of `length`.
    pub fn new(mix: Mix, length: Millis) -> Self {
        const MAX_TIME_US: Micros = 3_600_000_000;
        let times = || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("valid bounds");
        Self {
            mix,
            ttft: times(),
            between: times(),
            spans: vec![Span::default(); (length.0 * 1000 / SPAN_US) as usize + 1],
            recompute: Recompute::default(),
            prompt_tokens: 0,
            computed_tokens: 0,
            refused: [0; 3],
            fleet_cost: 0.0,
            decision_us: 0.0,
        }
    }

    pub(crate) fn record_arrival(&mut self, now: Micros) {
        self.span_at(now).arrived += 1;
    }

    pub(crate) fn record_active(&mut self, now: Micros, active: usize, slots: u32) {
        let percent = active as u64 * 100 / u64::from(slots);
        let span = self.span_at(now);
        span.fullest = span.fullest.max(percent);
    }

    pub(crate) fn record_load(&mut self, now: Micros, running: u32, slots: u32) {
        let span = self.span_at(now);
        span.used_slots += u64::from(running);
        span.slots += u64::from(slots);
    }

    pub(crate) fn record_first_token(&mut self, now: Micros, ttft: Micros) {
        self.ttft.saturating_record(ttft);
        let span = self.span_at(now);
        span.worst_ttft_ms = span.worst_ttft_ms.max(ttft / 1000);
    }

    pub(crate) fn record_answer(&mut self, now: Micros, ttft: Micros, between: Micros) {
        self.between.saturating_record(between);
        let in_time = (ttft as f64) < self.mix.ttft_target_ms() * 1000.0
            && between < BETWEEN_TOKENS_TARGET_US;
        let span = self.span_at(now);
        span.answered += 1;
        span.in_time += u64::from(in_time);
    }

    pub(crate) fn record_refusal(&mut self, now: Micros, priority: Priority) {
        self.refused[priority as usize] += 1;
        self.span_at(now).refused += 1;
    }

    pub(crate) fn record_loss(&mut self, now: Micros) {
        self.span_at(now).lost += 1;
    }

    pub(crate) fn record_prefill(&mut self, prompt: u64, computed: u64, recompute: Recompute) {
        self.prompt_tokens += prompt;
        self.computed_tokens += computed;
        self.recompute.elsewhere += recompute.elsewhere;
        self.recompute.evicted += recompute.evicted;
        self.recompute.reclaim += recompute.reclaim;
    }

    /// Returns the totals of the run as a row of a table.
    pub fn row(&self, name: &str) -> Row {
        let sum = |of: fn(&Span) -> u64| self.spans.iter().map(of).sum::<u64>();
        let ms = |times: &Histogram<u64>, q| times.value_at_quantile(q) as f64 / 1000.0;
        let Recompute { elsewhere, evicted, reclaim } = self.recompute;
        let in_time = sum(|s| s.in_time);
        Row {
            name: name.to_owned(),
            recompute: self.recompute,
            recomputed: elsewhere + evicted + reclaim,
            ttft_p50_ms: ms(&self.ttft, 0.5),
            ttft_p95_ms: ms(&self.ttft, 0.95),
            between_p95_ms: ms(&self.between, 0.95),
            answered: sum(|s| s.answered),
            in_time,
            refused: sum(|s| s.refused),
            lost: sum(|s| s.lost),
            cost_per_1000: self.fleet_cost * 1000.0 / in_time.max(1) as f64,
            decision_us: self.decision_us,
        }
    }

    fn span_at(&mut self, now: Micros) -> &mut Span {
        let last = self.spans.len() - 1;
        &mut self.spans[((now / SPAN_US) as usize).min(last)]
    }
}

impl Row {
    /// Column headings of the table.
    pub const HEADING: &'static str = "policy                    recomputed  elsewhere    evicted    \
        reclaim  ttft50  ttft95  token95  answered  in time  refused  lost  cost/1000";

    /// Returns the row as a line of the table, with tokens in thousands and times in milliseconds.
    pub fn line(&self) -> String {
        let k = |tokens: u64| tokens / 1000;
        format!(
            "{:<25} {:>9}k {:>9}k {:>9}k {:>9}k {:>7.0} {:>7.0} {:>8.1} {:>9} {:>8} {:>8} {:>5} {:>10.2}",
            self.name,
            k(self.recomputed),
            k(self.recompute.elsewhere),
            k(self.recompute.evicted),
            k(self.recompute.reclaim),
            self.ttft_p50_ms,
            self.ttft_p95_ms,
            self.between_p95_ms,
            self.answered,
            self.in_time,
            self.refused,
            self.lost,
            self.cost_per_1000
        )
    }
}
