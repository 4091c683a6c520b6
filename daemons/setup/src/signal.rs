//! Signals that ask a program to stop.

use eyre::Result;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The stop signals of a process.
#[derive(Debug)]
pub struct Stops {
    terminate: Signal,
    interrupt: Signal,
}

impl Stops {
    /// Starts to listen; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the handlers can't be set.
    pub fn listen() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next SIGTERM or SIGINT.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {},
            _ = self.interrupt.recv() => {},
        }
    }
}
