//! The command line of the control daemon.

use eyre::Result;
use sill_base::event;
use sill_setup::start::start_when_free;
use sill_setup::{logs, signal::StopSignals};

use crate::cfg::{CONTROL, ControlCfg};
use crate::daemon::Control;

/// Runs the daemon until it receives a signal to stop.
///
/// # Errors
///
/// Fails if a flag is invalid or the daemon can't start.
pub fn run(args: Vec<String>) -> Result<()> {
    let Some(mut values) = CONTROL.values_or_help(args)? else {
        return Ok(());
    };
    let mut stops = StopSignals::listen()?;
    let level = values.required("log-level");
    let cfg = ControlCfg::read(&mut values)?;
    logs::start(level.unwrap_or(log::LevelFilter::Info))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let started = start_when_free(&mut stops, || Control::start(cfg.clone())).await?;
        let Some(control) = started else { return Ok(()) };
        let delay = stops.next().await;
        event!(Info, "control_stops", late_ms = delay);
        control.stop().await;
        Ok(())
    })
}
