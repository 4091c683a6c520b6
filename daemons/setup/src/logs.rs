//! Logs on standard error, one key=value line for each event.

use std::panic::{self, PanicHookInfo};
use std::{io, thread};

use eyre::Result;
use log::LevelFilter;
use sill_base::event::push_pair;
use sill_base::{Millis, event};

/// Starts logging.
///
/// # Errors
///
/// Fails when a logger was set before.
pub fn start(level: LevelFilter) -> Result<()> {
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
        .level_for("sill_net", level)
        .level_for("sill_standin", level)
        .level_for("sill_load", level)
        .level_for("sill", level)
        .chain(io::stderr())
        .apply()?;
    panic::set_hook(Box::new(log_panic));
    Ok(())
}

/// Logs a panic as one line; the usual text of several lines could not be told from forged ones.
fn log_panic(info: &PanicHookInfo<'_>) {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
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
