//! Logs, one key=value line for each event.

use std::panic::{self, PanicHookInfo};
use std::sync::OnceLock;
use std::{io, process, thread};

use eyre::Result;
use log::LevelFilter;
use sill_base::event::push_pair;
use sill_base::{Millis, event};

use crate::queue::LogQueue;

/// The exit code of a process that found a promise broken.
const EXIT_BROKEN_PROMISE: i32 = 3;

/// Time for which the end of a process waits for its last lines. The writer pauses for 25 ms between two
/// writes; a reader that has stopped must not hold up the end, which a platform enforces within 500 ms.
const LAST_LINES: Millis = Millis(200);

/// The queue of a daemon.
static QUEUE: OnceLock<LogQueue> = OnceLock::new();

/// Starts logging on standard error. From now on a broken promise ends the process.
///
/// # Errors
///
/// Fails when a logger was set before.
pub fn start(level: LevelFilter) -> Result<()> {
    start_to(level, fern::Output::stderr("\n"))
}

/// Starts logging on standard output, through a bounded queue that never holds up the caller.
///
/// # Errors
///
/// Fails when a logger was set before or the writer can't be started.
pub fn start_daemon(level: LevelFilter) -> Result<()> {
    let queue = LogQueue::start(io::stdout())?;
    let queue = QUEUE.get_or_init(|| queue);
    start_to(level, fern::Output::call(|record| queue.add(record)))
}

/// Has a daemon's last lines written, before its process ends.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(LAST_LINES);
    }
}

fn start_to(level: LevelFilter, output: fern::Output) -> Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let text = message.to_string();
            let stamp = Millis::wall();
            let level = record.level();
            // Only our own lines are escaped pairs; a library may log a caller's text as it came.
            let is_ours = record.target().starts_with("sill") && text.starts_with("event=");
            if is_ours && !text.contains(['\n', '\r']) {
                out.finish(format_args!("at={stamp} level={level} {text}"));
            } else {
                // A library's free text becomes one escaped value, so that it stays one line.
                let mut line = String::new();
                push_pair(&mut line, "target", record.target());
                push_pair(&mut line, "text", &text);
                out.finish(format_args!("at={stamp} level={level} event=library{line}"));
            }
        })
        .level(LevelFilter::Warn)
        .level_for("sill_base", level)
        .level_for("sill_entry", level)
        .level_for("sill_control", level)
        .level_for("sill_gateway", level)
        .level_for("sill_platform", level)
        .level_for("sill_net", level)
        .level_for("sill_setup", level)
        .level_for("sill_standin", level)
        .level_for("sill_load", level)
        .level_for("sill", level)
        .chain(output)
        .apply()?;
    panic::set_hook(Box::new(|info| {
        log_panic(info);
        end_on_broken_promise(info);
    }));
    Ok(())
}

/// Ends the process when a promise is broken. A panic alone ends only its task; the rest would go on
/// with a state that is wrong, and without membership or settings if it was their task, silently.
fn end_on_broken_promise(info: &PanicHookInfo<'_>) {
    if text_of(info).is_some_and(|text| text.starts_with("promise=")) {
        flush();
        process::exit(EXIT_BROKEN_PROMISE);
    }
}

fn text_of<'a>(info: &'a PanicHookInfo<'_>) -> Option<&'a str> {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
}

/// Logs a panic as one line; the usual text of several lines could not be told from forged ones.
fn log_panic(info: &PanicHookInfo<'_>) {
    let text = text_of(info);
    let thread = thread::current();
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    event!(
        Error,
        "panic",
        thread = thread.name().unwrap_or("unnamed"),
        place = place,
        text = text.unwrap_or_default()
    );
}
