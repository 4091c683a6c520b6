//! Logging: each event is one line of `key=value` pairs.

use std::panic::{self, PanicHookInfo};
use std::sync::OnceLock;
use std::{io, process, thread};

use eyre::Result;
use log::LevelFilter;
use sill_base::event::push_pair;
use sill_base::{Millis, event};

use crate::queue::LogQueue;

/// The exit code of a process in which a promise (an invariant of the product) was broken.
const EXIT_BROKEN_PROMISE: i32 = 3;

/// Time-out for writing the last lines when a process ends. The writer pauses for 25 ms between two
/// writes. A reader that has stopped must not delay the exit, which a platform enforces within 500
/// ms.
const FLUSH_TIMEOUT: Millis = Millis(200);

/// The queue of log lines of a daemon; set by [`start_daemon`].
static QUEUE: OnceLock<LogQueue> = OnceLock::new();

/// Starts logging to standard error. From then on, a broken promise ends the process.
///
/// # Errors
///
/// Fails if a logger has already been set.
pub fn start(level: LevelFilter) -> Result<()> {
    start_to(level, fern::Output::stderr("\n"))
}

/// Starts logging to standard output through a bounded queue, so that logging never blocks. From
/// then on, a broken promise ends the process.
///
/// # Errors
///
/// Fails if a logger has already been set or the writer thread can't be started.
pub fn start_daemon(level: LevelFilter) -> Result<()> {
    let queue = LogQueue::start(io::stdout())?;
    let queue = QUEUE.get_or_init(|| queue);
    start_to(level, fern::Output::call(|record| queue.add(record)))
}

/// Waits up to 200 ms until all lines of a daemon's log are written; called before the process
/// exits.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FLUSH_TIMEOUT);
    }
}

fn start_to(level: LevelFilter, output: fern::Output) -> Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let text = message.to_string();
            let stamp = Millis::wall();
            let level = record.level();
            // Only the product's own lines are escaped pairs; a library may log a caller's text
            // verbatim.
            let is_product_event =
                record.target().starts_with("sill") && text.starts_with("event=");
            if is_product_event && !text.contains(['\n', '\r']) {
                out.finish(format_args!("at={stamp} level={level} {text}"));
            } else {
                // A library's free text is escaped as one value, so that it stays on one line.
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
        exit_on_broken_promise(info);
    }));
    Ok(())
}

/// Ends the process if the panic reports a broken promise. The panic alone would end only its task:
/// the other tasks would continue with an invalid state, and, if it was the task of membership or
/// settings, without these and without notice.
fn exit_on_broken_promise(info: &PanicHookInfo<'_>) {
    if panic_text(info).is_some_and(|text| text.starts_with("promise=")) {
        flush();
        process::exit(EXIT_BROKEN_PROMISE);
    }
}

fn panic_text<'a>(info: &'a PanicHookInfo<'_>) -> Option<&'a str> {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
}

/// Logs a panic as one line. The default report has several lines, which could not be distinguished
/// from forged ones.
fn log_panic(info: &PanicHookInfo<'_>) {
    let text = panic_text(info);
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
