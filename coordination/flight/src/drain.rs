//! A planned stop: the process turns not ready, closes its listener, and waits for the requests in
//! flight.

use serde::{Deserialize, Serialize};
use sill_base::{Machine, Millis, Promise, assert_promise};

/// Delays and timeouts of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainCfg {
    /// Time between turning not ready and closing the listener, in which a load balancer can
    /// notice it.
    #[serde(rename = "notice")]
    pub close_delay: Millis,
    /// How long requests in flight may take to finish, counted from the start of the stop.
    #[serde(rename = "limit")]
    pub timeout: Millis,
    /// Exits without waiting for requests in flight, to show that the checks detect it; set by
    /// tests only.
    #[doc(hidden)]
    pub cuts_in_flight: bool,
}

/// An event during a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainEvent {
    /// A stop was requested; the second request forces the exit.
    Stop,
    /// The driver polled the number of requests in flight.
    Tick {
        /// Number of requests in flight.
        in_flight: u64,
    },
}

/// An action for the driver of a planned stop to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainAction {
    /// Report not ready to load balancers; requests that still arrive are served.
    #[serde(rename = "NotReady")]
    MarkNotReady,
    /// Accept no new connections or requests.
    #[serde(rename = "Close")]
    CloseListener,
    /// End the process.
    Exit {
        /// Number of requests that are cut off.
        cut: u64,
        /// Whether the exit was forced by the timeout or a second stop request.
        forced: bool,
    },
}

/// The state machine of one process's planned stop.
#[derive(Debug)]
pub struct Drain {
    cfg: DrainCfg,
    state: DrainState,
    in_flight: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrainState {
    Serving,
    NotReady { since: Millis },
    Draining { since: Millis },
    Stopped,
}

impl Drain {
    /// Makes the state machine of a process that serves.
    pub fn new(cfg: DrainCfg) -> Self {
        Self { cfg, state: DrainState::Serving, in_flight: 0 }
    }

    fn exit(&mut self, forced: bool, out: &mut Vec<DrainAction>) {
        assert_promise!(
            Promise::GracefulStop,
            forced || self.in_flight == 0,
            "an unforced stop exits with {} requests in flight",
            self.in_flight
        );
        self.state = DrainState::Stopped;
        out.push(DrainAction::Exit { cut: self.in_flight, forced });
    }
}

impl Machine for Drain {
    type Action = DrainAction;
    type Event = DrainEvent;

    fn step(&mut self, now: Millis, event: DrainEvent, out: &mut Vec<DrainAction>) {
        if let DrainEvent::Tick { in_flight } = event {
            self.in_flight = in_flight;
        }
        match (self.state, event) {
            (DrainState::Serving, DrainEvent::Stop) => {
                self.state = DrainState::NotReady { since: now };
                out.push(DrainAction::MarkNotReady);
            }
            (DrainState::NotReady { .. } | DrainState::Draining { .. }, DrainEvent::Stop) => {
                self.exit(true, out);
            }
            (DrainState::NotReady { since }, DrainEvent::Tick { .. })
                if now.since(since) >= self.cfg.close_delay =>
            {
                self.state = DrainState::Draining { since };
                out.push(DrainAction::CloseListener);
            }
            (DrainState::Draining { .. }, DrainEvent::Tick { in_flight })
                if in_flight == 0 || self.cfg.cuts_in_flight =>
            {
                self.exit(false, out);
            }
            (DrainState::Draining { since }, DrainEvent::Tick { .. })
                if now.since(since) >= self.cfg.timeout =>
            {
                self.exit(true, out);
            }
            _ => {}
        }
    }
}
