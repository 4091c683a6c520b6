//! Captures the log lines of the test process.

use log::{Level, LevelFilter, Log, Metadata, Record};
use parking_lot::Mutex;

static LINES: Lines = Lines(Mutex::new(Vec::new()));
static WARNINGS: Lines = Lines(Mutex::new(Vec::new()));

struct Lines(Mutex<Vec<String>>);

impl Lines {
    fn of_call(&self, id: &str) -> Vec<String> {
        let pair = format!("id={id}");
        let has_id = |line: &&String| line.split(' ').any(|word| word == pair);
        self.0.lock().iter().filter(has_id).cloned().collect()
    }
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.level() == Level::Warn {
            WARNINGS.0.lock().push(record.args().to_string());
        }
        self.0.lock().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Captures all lines from now on.
pub fn capture() {
    // Another test of the process may have set the logger already.
    let _ = log::set_logger(&LINES);
    log::set_max_level(LevelFilter::Info);
}

/// Returns the lines with the id of a call.
pub fn of_call(id: &str) -> Vec<String> {
    LINES.of_call(id)
}

/// Returns the warnings with the id of a call.
pub fn warnings_of_call(id: &str) -> Vec<String> {
    WARNINGS.of_call(id)
}

/// Returns the number of lines that contain a pair.
pub fn count(pair: &str) -> usize {
    let has_pair = |line: &&String| line.split(' ').any(|word| word == pair);
    LINES.0.lock().iter().filter(has_pair).count()
}

/// Returns the lines of an event, of all entry instances of the process.
pub fn of_event(event: &str) -> Vec<String> {
    let start = format!("event={event} ");
    LINES.0.lock().iter().filter(|line| line.starts_with(&start)).cloned().collect()
}

/// Returns the line logged at the end of an entry instance's stop.
pub fn of_stop(name: &str) -> String {
    let is_stop = |line: &&String| line.starts_with("event=gateway_stopped ");
    let is_own = |line: &&String| value(line, "name") == name;
    let lines = LINES.0.lock();
    lines.iter().filter(is_stop).find(is_own).cloned().expect("a line on the stop of this instance")
}

/// Returns the value of a key in a line; empty if the key is missing.
pub fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let mut pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs.find(|(name, _)| *name == key).map_or("", |(_, value)| value)
}
