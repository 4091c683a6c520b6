//! Entry point of the `sill-entry` daemon.

use eyre::Result;
use sill_base::event;
use sill_setup::start::start_when_free;
use sill_setup::{logs, signal::StopSignals};

use crate::cfg::{ENTRY, EntryCfg};
use crate::daemon::Entry;

/// Runs the daemon until a stop signal arrives.
///
/// # Errors
///
/// Fails when a flag is invalid or the daemon cannot start.
pub fn run(args: Vec<String>) -> Result<()> {
    let Some(mut values) = ENTRY.values_or_help(args)? else {
        return Ok(());
    };
    let mut stops = StopSignals::listen()?;
    let level = values.required("log-level");
    let cfg = EntryCfg::read(&mut values)?;
    logs::start(level.unwrap_or(log::LevelFilter::Info))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let started = start_when_free(&mut stops, || Entry::start(cfg.clone())).await?;
        let Some(entry) = started else { return Ok(()) };
        let signal_delay = stops.next().await;
        let aborted = entry.stop_unless_forced(signal_delay, stops.interrupted()).await;
        if aborted > 0 {
            event!(Warn, "stop_cut", requests = aborted);
        }
        Ok(())
    })
}
