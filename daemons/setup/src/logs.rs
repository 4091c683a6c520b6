//! Logs on standard error, one key=value line for each event.

use std::io;

use eyre::Result;
use log::LevelFilter;
use sill_base::Millis;
use sill_base::event::push_pair;

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
            if text.starts_with("event=") && !text.contains(['\n', '\r']) {
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
    Ok(())
}
