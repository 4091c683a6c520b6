//! Counts and latencies of a load.

use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::exchange::{Ending, Exchange};

/// Upper bound of the histograms in microseconds; longer times are recorded as this value.
const MAX_TIME_US: u64 = 600_000_000;

/// Quantiles listed in a report.
const QUANTILES: [f64; 12] =
    [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999, 1.0];

/// Counts and latency histograms of a running load.
#[derive(Debug, Clone)]
pub struct Record {
    /// Requests by outcome.
    pub counts: Counts,
    ttft: Histogram<u64>,
    gap: Histogram<u64>,
    total: Histogram<u64>,
}

/// Requests by outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers.
    pub whole: u64,
    /// Accepted, but the answer is truncated.
    pub cut: u64,
    /// Accepted, but the received data is not the expected answer.
    pub wrong: u64,
    /// Refused, certified as not run.
    pub not_run: u64,
    /// Refused without that certificate.
    pub refused: u64,
    /// No response received.
    pub no_answer: u64,
    /// Tokens received in all answers.
    pub tokens: u64,
}

/// Report of a load, as written to a JSON file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests by outcome.
    pub counts: Counts,
    /// How long the load ran, in seconds.
    pub seconds: f64,
    /// Time to first token of streamed answers.
    pub ttft: TimeDistribution,
    /// Time between consecutive chunks of streamed answers.
    pub between_tokens: TimeDistribution,
    /// Time to the end of complete and correct answers.
    pub total: TimeDistribution,
}

/// A distribution of times.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimeDistribution {
    /// Number of recorded times.
    pub count: u64,
    /// Mean in milliseconds.
    pub mean_ms: f64,
    /// Percentiles, in ascending order.
    pub points: Vec<Point>,
}

/// A percentile of a distribution.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Share of the times that are at most `ms`, between 0 and 1.
    pub quantile: f64,
    /// Time in milliseconds.
    pub ms: f64,
}

impl Record {
    /// Creates an empty record.
    ///
    /// # Errors
    ///
    /// Fails when the histograms can't be created.
    pub fn new() -> Result<Self> {
        let times = || Histogram::new_with_bounds(1, MAX_TIME_US, 3);
        Ok(Self { counts: Counts::default(), ttft: times()?, gap: times()?, total: times()? })
    }

    /// Adds the result of a request.
    pub fn add(&mut self, exchange: &Exchange) {
        let counts = &mut self.counts;
        counts.sent += 1;
        counts.tokens += u64::from(exchange.tokens);
        match exchange.ending {
            Ending::Whole => counts.whole += 1,
            Ending::Cut => counts.cut += 1,
            Ending::Wrong => counts.wrong += 1,
            Ending::Refused if exchange.not_run => counts.not_run += 1,
            Ending::Refused => counts.refused += 1,
            Ending::NoAnswer => counts.no_answer += 1,
        }
        let record_time = |times: &mut Histogram<u64>, time: Duration| {
            times.saturating_record(time.as_micros() as u64);
        };
        if let Some(ttft) = exchange.ttft {
            record_time(&mut self.ttft, ttft);
        }
        for gap in &exchange.gaps {
            record_time(&mut self.gap, *gap);
        }
        if exchange.ending == Ending::Whole {
            record_time(&mut self.total, exchange.total);
        }
    }

    /// Adds the counts and times of another record.
    ///
    /// # Errors
    ///
    /// Fails when the histograms have different bounds.
    pub fn merge(&mut self, other: &Self) -> Result<()> {
        let (counts, more) = (&mut self.counts, other.counts);
        counts.sent += more.sent;
        counts.whole += more.whole;
        counts.cut += more.cut;
        counts.wrong += more.wrong;
        counts.not_run += more.not_run;
        counts.refused += more.refused;
        counts.no_answer += more.no_answer;
        counts.tokens += more.tokens;
        self.ttft.add(&other.ttft)?;
        self.gap.add(&other.gap)?;
        self.total.add(&other.total)?;
        Ok(())
    }

    /// Returns the report of a load that ran for `length`.
    pub fn report(&self, length: Duration) -> Report {
        Report {
            counts: self.counts,
            seconds: length.as_secs_f64(),
            ttft: TimeDistribution::of(&self.ttft),
            between_tokens: TimeDistribution::of(&self.gap),
            total: TimeDistribution::of(&self.total),
        }
    }
}

impl TimeDistribution {
    fn of(times: &Histogram<u64>) -> Self {
        let point =
            |quantile| Point { quantile, ms: times.value_at_quantile(quantile) as f64 / 1000.0 };
        Self {
            count: times.len(),
            mean_ms: times.mean() / 1000.0,
            points: QUANTILES.map(point).to_vec(),
        }
    }

    /// Returns the time at a listed quantile in milliseconds, or 0 if it is not listed.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.points.iter().find(|p| p.quantile == quantile).map_or(0.0, |p| p.ms)
    }

    fn summary(&self) -> String {
        format!(
            "p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms, max {:.2} ms ({} times)",
            self.quantile_ms(0.5),
            self.quantile_ms(0.95),
            self.quantile_ms(0.99),
            self.quantile_ms(1.0),
            self.count
        )
    }
}

impl Report {
    /// Returns the number of accepted requests whose answer was truncated or wrong.
    pub fn broken(&self) -> u64 {
        self.counts.cut + self.counts.wrong
    }

    /// Returns the report as text.
    pub fn text(&self) -> String {
        let Counts { sent, whole, cut, wrong, not_run, refused, no_answer, tokens } = self.counts;
        format!(
            "sent {sent}: whole {whole}, cut {cut}, wrong {wrong}, refused not-run {not_run}, \
             refused {refused}, no answer {no_answer}\n\
             {:.1} requests/s, {:.0} tokens/s over {:.1} s\n\
             time to first token  {}\n\
             between tokens       {}\n\
             total                {}\n",
            whole as f64 / self.seconds,
            tokens as f64 / self.seconds,
            self.seconds,
            self.ttft.summary(),
            self.between_tokens.summary(),
            self.total.summary(),
        )
    }
}
