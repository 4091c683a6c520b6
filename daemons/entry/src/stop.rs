//! A planned stop of the daemon.

use std::future::Future;
use std::sync::atomic::Ordering;

use sill_base::{Machine, Millis, event};
use sill_flight::drain::{Drain, DrainAction, DrainCfg, DrainEvent};

use crate::daemon::Entry;
use crate::handoff;

/// How often the number of requests in flight is checked during a stop.
const DRAIN_POLL_INTERVAL: Millis = Millis(20);

impl Entry {
    /// Stops as planned: marks the instance as not ready, closes the listener, then waits for the
    /// requests in flight.
    pub async fn stop(self) {
        self.stop_unless_forced(Millis::ZERO, std::future::pending()).await;
    }

    /// Stops as planned for a signal received `signal_age` ago, but ends at once if `second_signal`
    /// completes first. Returns the number of requests that were cut off.
    pub async fn stop_unless_forced<F>(self, signal_age: Millis, second_signal: F) -> u64
    where
        F: Future<Output = ()>,
    {
        let shared = &self.shared;
        // The sender of the signal measures its kill timeout from when it sent the signal.
        let limit = shared.cfg.drain_limit - signal_age;
        let cfg = DrainCfg {
            close_delay: shared.cfg.drain_notice,
            timeout: limit,
            cuts_in_flight: false,
        };
        let mut drain = Drain::new(cfg);
        let mut actions = Vec::new();
        let mut event = DrainEvent::Stop;
        let mut second_signal = std::pin::pin!(second_signal);
        event!(Info, "stop_begun", name = shared.cfg.name, late_ms = signal_age);
        loop {
            drain.step(shared.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    DrainAction::MarkNotReady => {
                        shared.is_stopping.store(true, Ordering::Relaxed);
                        handoff::schedule_before_limit(shared, limit);
                    }
                    DrainAction::CloseListener => {
                        shared.is_closing.store(true, Ordering::Relaxed);
                        self.server.pause().await;
                    }
                    DrainAction::Exit { cut, forced } => {
                        event!(
                            Info,
                            "stop_ended",
                            name = shared.cfg.name,
                            cut = cut,
                            forced = forced
                        );
                        self.shutdown(!forced).await;
                        return cut;
                    }
                }
            }
            event = tokio::select! {
                () = &mut second_signal => DrainEvent::Stop,
                () = tokio::time::sleep(DRAIN_POLL_INTERVAL.into()) => {
                    let in_flight = shared.metrics.in_flight.get().max(0) as u64;
                    DrainEvent::Tick { in_flight }
                }
            };
        }
    }

    async fn shutdown(self, gracefully: bool) {
        self.server.stop(gracefully).await;
        self.peer_server.stop();
        // Dropping the runtime would block, which is not allowed inside another runtime.
        self.runtime.shutdown_background();
    }
}
