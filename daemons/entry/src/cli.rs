//! The command line of the entry daemon.

use eyre::Result;
use sill_base::event;
use sill_setup::{logs, signal::StopSignals};

use crate::cfg::{ENTRY, EntryCfg};
use crate::daemon::Entry;

/// Runs the daemon until it is asked to stop.
///
/// # Errors
///
/// Fails when a flag is wrong or the daemon can't start.
pub fn run(words: Vec<String>) -> Result<()> {
    let Some(mut values) = ENTRY.values_or_help(words)? else {
        return Ok(());
    };
    let mut stops = StopSignals::listen()?;
    let level = values.required("log-level");
    let cfg = EntryCfg::read(&mut values)?;
    logs::start(level.unwrap_or(log::LevelFilter::Info))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let entry = Entry::start(cfg)?;
    runtime.block_on(async {
        let late = stops.next().await;
        let cut = entry.stop_unless_forced(late, stops.interrupted()).await;
        if cut > 0 {
            event!(Warn, "stop_cut", requests = cut);
        }
        Ok(())
    })
}
