//! A bounded queue of log lines with one writer.
//!
//! Whoever reads the standard output may stop reading. Written directly, the next line would then
//! hold up the request that it tells of; here lines are dropped and counted instead, those that tell
//! of successes first.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, Instant};

use log::{Level, Record};
use sill_base::Millis;

/// Lines that wait; at 300 bytes they take 2 MB.
const LINES: usize = 8192;

/// Lines that wait from which on successes are dropped, so that failures still find room.
const LINES_OF_SUCCESS: usize = LINES / 2;

/// Pause after a write, so that many lines share one: a wake-up for each line costs more processor
/// time than the line.
const PAUSE: Millis = Millis(25);

/// How often [`LogQueue::flush`] looks whether all is written.
const LOOK: Millis = Millis(5);

/// Takes lines without ever waiting. Clones share it.
#[derive(Debug, Clone)]
pub struct LogQueue {
    lines: SyncSender<String>,
    counts: Arc<Counts>,
}

/// What waits and what was dropped.
#[derive(Debug, Default)]
pub struct Counts {
    waiting: AtomicUsize,
    /// Lines that wait, or that the writer has taken and not written yet.
    unwritten: AtomicUsize,
    dropped_successes: AtomicU64,
    dropped_failures: AtomicU64,
}

impl LogQueue {
    /// Starts the writer.
    ///
    /// # Errors
    ///
    /// Fails when its thread can't be started.
    pub fn start<W>(out: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, waiting) = mpsc::sync_channel(LINES);
        let counts = Arc::<Counts>::default();
        let queue = Self { lines, counts: counts.clone() };
        let run = move || write_all(out, &waiting, &counts);
        thread::Builder::new().name("log-writer".to_owned()).spawn(run)?;
        Ok(queue)
    }

    /// Adds the line of a record, or drops and counts it.
    pub fn add(&self, record: &Record<'_>) {
        let is_success = record.level() > Level::Warn;
        self.add_line(record.args().to_string(), is_success);
    }

    /// Adds a line, or drops and counts it.
    pub fn add_line(&self, mut line: String, is_success: bool) {
        let counts = &self.counts;
        if is_success && counts.waiting.load(Ordering::Relaxed) >= LINES_OF_SUCCESS {
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

    /// Waits until all lines are written, `patience` at most. The writer ends with the process; without
    /// this, the lines of a process's last moment, which tell why it ended, would never be seen.
    pub fn flush(&self, patience: Millis) {
        let until = Instant::now() + Duration::from(patience);
        while self.counts.unwritten.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(LOOK.into());
        }
    }
}

/// Writes lines until the queue's last sender is gone.
fn write_all<W>(mut out: W, lines: &Receiver<String>, counts: &Counts)
where
    W: Write,
{
    while let Ok(first) = lines.recv() {
        let mut text = first;
        let mut taken = 1;
        for line in lines.try_iter().take(LINES) {
            text.push_str(&line);
            taken += 1;
        }
        counts.waiting.fetch_sub(taken, Ordering::Relaxed);
        if let Some(line) = counts.dropped() {
            text.push_str(&line);
        }
        // Nobody is left to be told that the output is gone.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        counts.unwritten.fetch_sub(taken, Ordering::Relaxed);
        thread::sleep(PAUSE.into());
    }
}

impl Counts {
    fn dropped(&self) -> Option<String> {
        let successes = self.dropped_successes.swap(0, Ordering::Relaxed);
        let failures = self.dropped_failures.swap(0, Ordering::Relaxed);
        (successes + failures > 0).then(|| {
            let at = Millis::wall();
            format!("at={at} level=WARN event=log_lines_dropped successes={successes} failures={failures}\n")
        })
    }
}
