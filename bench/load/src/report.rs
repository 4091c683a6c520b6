//! What came of a load.

use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::exchange::{Ending, Exchange};

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Points of a distribution, as shares of the requests.
const QUANTILES: [f64; 12] =
    [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999, 1.0];

/// Counts and times while a load runs.
#[derive(Debug, Clone)]
pub struct Record {
    /// Answers by their ending.
    pub counts: Counts,
    ttft: Histogram<u64>,
    gap: Histogram<u64>,
    total: Histogram<u64>,
}

/// Answers by their ending.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were sent.
    pub sent: u64,
    /// Whole and right answers.
    pub whole: u64,
    /// Accepted, but the rest of the answer is missing.
    pub cut: u64,
    /// Accepted, but something else came.
    pub wrong: u64,
    /// Refused and certified as not run.
    pub not_run: u64,
    /// Refused without that.
    pub refused: u64,
    /// Without any answer.
    pub no_answer: u64,
    /// Tokens of all answers.
    pub tokens: u64,
}

/// The report as it is written to a file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Answers by their ending.
    pub counts: Counts,
    /// How long the load ran, in seconds.
    pub seconds: f64,
    /// Time to the first token of streamed answers.
    pub ttft: Times,
    /// Time between two pieces of streamed answers.
    pub between_tokens: Times,
    /// Time to the end of whole answers.
    pub total: Times,
}

/// A distribution of times.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// How many there are.
    pub count: u64,
    /// Their mean in milliseconds.
    pub mean_ms: f64,
    /// Points of the distribution.
    pub points: Vec<Point>,
}

/// A point of a distribution.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The share of times that are no longer.
    pub quantile: f64,
    /// The time in milliseconds.
    pub ms: f64,
}

impl Record {
    /// Makes an empty record.
    ///
    /// # Errors
    ///
    /// Fails when the histograms can't be made.
    pub fn new() -> Result<Self> {
        let times = || Histogram::new_with_bounds(1, LONGEST_US, 3);
        Ok(Self { counts: Counts::default(), ttft: times()?, gap: times()?, total: times()? })
    }

    /// Takes in what came of a request.
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
        let note = |times: &mut Histogram<u64>, time: Duration| {
            times.saturating_record(time.as_micros() as u64);
        };
        if let Some(ttft) = exchange.ttft {
            note(&mut self.ttft, ttft);
        }
        for gap in &exchange.gaps {
            note(&mut self.gap, *gap);
        }
        if exchange.ending == Ending::Whole {
            note(&mut self.total, exchange.total);
        }
    }

    /// Adds another record.
    ///
    /// # Errors
    ///
    /// Fails when the histograms don't fit each other.
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

    /// Returns the report.
    pub fn report(&self, length: Duration) -> Report {
        Report {
            counts: self.counts,
            seconds: length.as_secs_f64(),
            ttft: Times::of(&self.ttft),
            between_tokens: Times::of(&self.gap),
            total: Times::of(&self.total),
        }
    }
}

impl Times {
    fn of(times: &Histogram<u64>) -> Self {
        let point =
            |quantile| Point { quantile, ms: times.value_at_quantile(quantile) as f64 / 1000.0 };
        Self {
            count: times.len(),
            mean_ms: times.mean() / 1000.0,
            points: QUANTILES.map(point).to_vec(),
        }
    }

    /// Returns the time of a point in milliseconds.
    pub fn at(&self, quantile: f64) -> f64 {
        self.points.iter().find(|p| p.quantile == quantile).map_or(0.0, |p| p.ms)
    }

    fn line(&self) -> String {
        format!(
            "p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms, max {:.2} ms ({} times)",
            self.at(0.5),
            self.at(0.95),
            self.at(0.99),
            self.at(1.0),
            self.count
        )
    }
}

impl Report {
    /// Returns the number of accepted requests that were not answered whole.
    pub fn broken(&self) -> u64 {
        self.counts.cut + self.counts.wrong
    }

    /// Returns the report for people.
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
            self.ttft.line(),
            self.between_tokens.line(),
            self.total.line(),
        )
    }
}
