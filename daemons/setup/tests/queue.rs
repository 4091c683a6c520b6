//! Log lines while nobody reads them.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use parking_lot::{Condvar, Mutex};
use sill_setup::queue::LogQueue;

/// Lines of a burst; the queue holds a third of them.
const BURST: usize = 25_000;
const FAILURES: usize = 3000;

/// An output that stands still until it is opened, as a pipe whose reader has stopped.
struct Stuck {
    gate: Arc<(Mutex<bool>, Condvar)>,
    written: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (is_open, opened) = &*self.gate;
        opened.wait_while(&mut is_open.lock(), |is_open| !*is_open);
        let _ = self.written.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn read(written: &Receiver<Vec<u8>>) -> String {
    let mut text = Vec::new();
    while let Ok(part) = written.recv_timeout(Duration::from_secs(1)) {
        text.extend(part);
    }
    String::from_utf8(text).expect("text")
}

/// Returns the number that follows a key.
fn number(line: &str, key: &str) -> usize {
    let words = line.split(' ');
    let value = words.filter_map(|word| word.strip_prefix(key)).next();
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {key} in {line}"))
}

/// The reader of the standard output stops, and ten times the usual lines come. No request may wait for
/// that; what tells of failures is kept before what tells of successes, and the loss is told.
#[test]
fn lines_are_dropped_and_counted_and_failures_stay() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let (tx, written) = channel();
    let queue = LogQueue::start(Stuck { gate: gate.clone(), written: tx }).expect("it starts");
    for i in 0..BURST {
        queue.add_line(format!("success {i}"), true);
    }
    for i in 0..FAILURES {
        queue.add_line(format!("failure {i}"), false);
    }
    let (is_open, opened) = &*gate;
    *is_open.lock() = true;
    opened.notify_all();
    let text = read(&written);
    let failures = text.lines().filter(|line| line.starts_with("failure")).count();
    let successes = text.lines().filter(|line| line.starts_with("success")).count();
    assert_eq!(failures, FAILURES, "failures were dropped before successes");
    assert!(successes < BURST, "a queue without a bound");
    // The writer tells what was dropped with each batch, and may have taken one during the burst.
    let told = text.lines().filter(|line| line.contains("event=log_lines_dropped"));
    let told: Vec<&str> = told.collect();
    let sum = |key: &str| told.iter().map(|line| number(line, key)).sum::<usize>();
    assert_eq!((sum("successes="), sum("failures=")), (BURST - successes, 0), "{told:?}");
}
