//! A bounded queue of log lines with one writer.
//!
//! The reader of standard output may stop reading. A line written directly would then block the
//! request that it reports on. The queue drops and counts lines instead, those about successes
//! first.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, Instant};

use log::{Level, Record};
use sill_base::Millis;

/// Capacity of the queue in lines; at 300 bytes per line it takes 2 MB.
const MAX_LINES: usize = 8192;

/// Number of waiting lines from which on lines about successes are dropped, which leaves room for
/// failures.
const SUCCESS_DROP_THRESHOLD_LINES: usize = MAX_LINES / 2;

/// Pause after a write, so that many lines share one write: a wake-up for each line costs more
/// processor time than the line itself.
const WRITE_PAUSE: Millis = Millis(25);

/// Interval at which [`LogQueue::flush`] checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Millis = Millis(5);

/// A bounded queue that accepts log lines without blocking. Clones share the queue.
#[derive(Debug, Clone)]
pub struct LogQueue {
    lines: SyncSender<String>,
    counts: Arc<Counts>,
}

/// Numbers of waiting, unwritten and dropped lines.
#[derive(Debug, Default)]
pub struct Counts {
    waiting: AtomicUsize,
    /// Lines in the queue, and lines that the writer has taken but not written yet.
    unwritten: AtomicUsize,
    dropped_successes: AtomicU64,
    dropped_failures: AtomicU64,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes its lines to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start<W>(out: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, rx) = mpsc::sync_channel(MAX_LINES);
        let counts = Arc::<Counts>::default();
        let queue = Self { lines, counts: counts.clone() };
        let run = move || write_lines(out, &rx, &counts);
        thread::Builder::new().name("log-writer".to_owned()).spawn(run)?;
        Ok(queue)
    }

    /// Adds the line of a record, or drops and counts it. Records less severe
    /// than `Warn` count as successes.
    pub fn add(&self, record: &Record<'_>) {
        let is_success = record.level() > Level::Warn;
        self.add_line(record.args().to_string(), is_success);
    }

    /// Adds a line, or drops and counts it if the queue is too full.
    pub fn add_line(&self, mut line: String, is_success: bool) {
        let counts = &self.counts;
        if is_success && counts.waiting.load(Ordering::Relaxed) >= SUCCESS_DROP_THRESHOLD_LINES {
            counts.dropped_successes.fetch_add(1, Ordering::Relaxed);
            return;
        }
        line.push('\n');
        counts.waiting.fetch_add(1, Ordering::Relaxed);
        counts.unwritten.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line)
        {
            counts.waiting.fetch_sub(1, Ordering::Relaxed);
            counts.unwritten.fetch_sub(1, Ordering::Relaxed);
            counts.dropped_failures.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines are written, or for `timeout`. The writer thread ends with the
    /// process; without a flush, the last lines, which say why the process ended, would be lost.
    pub fn flush(&self, timeout: Millis) {
        let deadline = Instant::now() + Duration::from(timeout);
        while self.counts.unwritten.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL.into());
        }
    }
}

/// Writes lines until all senders of the queue have been dropped.
fn write_lines<W>(mut out: W, lines: &Receiver<String>, counts: &Counts)
where
    W: Write,
{
    while let Ok(first) = lines.recv() {
        let mut text = first;
        let mut line_count = 1;
        for line in lines.try_iter().take(MAX_LINES) {
            text.push_str(&line);
            line_count += 1;
        }
        counts.waiting.fetch_sub(line_count, Ordering::Relaxed);
        if let Some(line) = counts.take_dropped_report() {
            text.push_str(&line);
        }
        // If the output is closed, there is nowhere left to report it.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        counts.unwritten.fetch_sub(line_count, Ordering::Relaxed);
        thread::sleep(WRITE_PAUSE.into());
    }
}

impl Counts {
    /// Returns a log line with the numbers of dropped lines, if any, and resets them.
    fn take_dropped_report(&self) -> Option<String> {
        let successes = self.dropped_successes.swap(0, Ordering::Relaxed);
        let failures = self.dropped_failures.swap(0, Ordering::Relaxed);
        (successes + failures > 0).then(|| {
            let at = Millis::wall();
            format!("at={at} level=WARN event=log_lines_dropped successes={successes} failures={failures}\n")
        })
    }
}
