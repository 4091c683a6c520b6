//! Starts beside a predecessor that has not ended yet.

use std::io::{self, ErrorKind};

use eyre::{Report, Result};
use sill_base::{Clock, Millis, event};

use crate::signal::StopSignals;

/// Longest time that a start waits for its predecessor; longer than a planned stop on the users'
/// platform.
const PREDECESSOR_TIMEOUT: Millis = Millis(10_000);

/// Pause between two attempts to start.
const RETRY_PAUSE: Millis = Millis(20);

/// Starts an instance once its addresses and its data folder are free.
///
/// A supervisor may start an instance while its predecessor still stops. Returns nothing if a stop
/// signal comes first.
///
/// # Errors
///
/// Fails if the instance can't start for another reason, or another process keeps what it needs.
pub async fn start_when_free<T, F>(
    stop_signals: &mut StopSignals,
    mut start: F,
) -> Result<Option<T>>
where
    F: FnMut() -> Result<T>,
{
    let clock = Clock::start();
    let mut has_waited = false;
    loop {
        let err = match start() {
            Ok(started) => return Ok(Some(started)),
            Err(err) => err,
        };
        if !is_in_use(&err) || clock.now() >= PREDECESSOR_TIMEOUT {
            return Err(err);
        }
        if !has_waited {
            event!(Warn, "start_waits", why = format!("{err:#}"));
            has_waited = true;
        }
        tokio::select! {
            _ = stop_signals.next() => return Ok(None),
            () = tokio::time::sleep(RETRY_PAUSE.into()) => {}
        }
    }
}

/// Returns whether an address or a data folder is in use.
fn is_in_use(err: &Report) -> bool {
    let mut causes = err.chain().filter_map(|cause| cause.downcast_ref::<io::Error>());
    causes.any(|cause| matches!(cause.kind(), ErrorKind::AddrInUse | ErrorKind::ResourceBusy))
}
