//! A planned stop of the daemon.

use std::future::Future;
use std::sync::atomic::Ordering;

use sill_base::{Machine, Millis, event};
use sill_flight::drain::{Drain, DrainAction, DrainCfg, DrainEvent};

use crate::daemon::Entry;
use crate::handoff;

/// Time between two looks at what is in flight during a stop.
const DRAIN_POLL: Millis = Millis(20);

impl Entry {
    /// Stops as planned: not ready first, then the listener closes, then all in flight finish.
    pub async fn stop(self) {
        self.stop_unless(Millis::ZERO, std::future::pending()).await;
    }

    /// Stops as planned, for a signal that came `late` ago, but ends at once when `again` comes first.
    /// Returns what was cut off.
    pub async fn stop_unless<F>(self, late: Millis, again: F) -> u64
    where
        F: Future<Output = ()>,
    {
        let shared = &self.shared;
        // Whoever sent the signal counts from there until it kills the process.
        let limit = shared.cfg.drain_limit - late;
        let cfg = DrainCfg {
            close_delay: shared.cfg.drain_notice,
            timeout: limit,
            cuts_in_flight: false,
        };
        let mut drain = Drain::new(cfg);
        let mut actions = Vec::new();
        let mut event = DrainEvent::Stop;
        let mut again = std::pin::pin!(again);
        event!(Info, "stop_begun", name = shared.cfg.name, late_ms = late);
        loop {
            drain.step(shared.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    DrainAction::MarkNotReady => {
                        shared.is_stopping.store(true, Ordering::Relaxed);
                        handoff::before_limit(shared, limit);
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
                        self.end(!forced).await;
                        return cut;
                    }
                }
            }
            event = tokio::select! {
                () = &mut again => DrainEvent::Stop,
                () = tokio::time::sleep(DRAIN_POLL.into()) => {
                    let in_flight = shared.metrics.in_flight.get().max(0) as u64;
                    DrainEvent::Tick { in_flight }
                }
            };
        }
    }

    async fn end(self, gracefully: bool) {
        self.server.stop(gracefully).await;
        self.peer_server.stop();
        // Dropping it would block, which a caller inside another runtime may not do.
        self.runtime.shutdown_background();
    }
}
