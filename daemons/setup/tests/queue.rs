//! The log queue while its output is blocked.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use parking_lot::{Condvar, Mutex};
use sill_setup::queue::LogQueue;

/// Number of lines about successes; the queue holds a third of them.
const SUCCESSES: usize = 25_000;
const FAILURES: usize = 3000;

/// An output that blocks until its gate is opened, like a pipe whose reader has stopped.
struct BlockedOutput {
    gate: Arc<(Mutex<bool>, Condvar)>,
    written_tx: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (is_open, opened) = &*self.gate;
        opened.wait_while(&mut is_open.lock(), |is_open| !*is_open);
        let _ = self.written_tx.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn read_text(written: &Receiver<Vec<u8>>) -> String {
    let mut text = Vec::new();
    while let Ok(part) = written.recv_timeout(Duration::from_secs(1)) {
        text.extend(part);
    }
    String::from_utf8(text).expect("the output is UTF-8")
}

/// Returns the number after `key` in a log line.
fn number(line: &str, key: &str) -> usize {
    let fields = line.split(' ');
    let value = fields.filter_map(|field| field.strip_prefix(key)).next();
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {key} in {line}"))
}

/// The reader of standard output stops during a burst of ten times the usual lines. No request may
/// block on that. Lines about failures must be kept before those about successes, and dropped lines
/// counted.
#[test]
fn a_blocked_output_drops_successes_before_failures_and_counts_them() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let (tx, written) = channel();
    let queue = LogQueue::start(BlockedOutput { gate: gate.clone(), written_tx: tx })
        .expect("the writer thread starts");
    for i in 0..SUCCESSES {
        queue.add_line(format!("success {i}"), true);
    }
    for i in 0..FAILURES {
        queue.add_line(format!("failure {i}"), false);
    }
    let (is_open, opened) = &*gate;
    *is_open.lock() = true;
    opened.notify_all();
    let text = read_text(&written);
    let failures = text.lines().filter(|line| line.starts_with("failure")).count();
    let successes = text.lines().filter(|line| line.starts_with("success")).count();
    assert_eq!(
        failures, FAILURES,
        "lines about failures were dropped before those about successes"
    );
    assert!(successes < SUCCESSES, "the queue has no bound: no line was dropped");
    // The writer reports dropped lines with each batch, and may have taken a batch during the
    // burst.
    let reports = text.lines().filter(|line| line.contains("event=log_lines_dropped"));
    let reports: Vec<&str> = reports.collect();
    let sum = |key: &str| reports.iter().map(|line| number(line, key)).sum::<usize>();
    assert_eq!((sum("successes="), sum("failures=")), (SUCCESSES - successes, 0), "{reports:?}");
}
