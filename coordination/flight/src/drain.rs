//! A planned stop: not ready first, then the listener closes, then all in flight finish.

use serde::{Deserialize, Serialize};
use sill_base::{Machine, Millis, Promise, keep};

/// Time limits of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainCfg {
    /// Between turning not ready and closing the listener, so that a balancer can notice.
    #[serde(rename = "notice")]
    pub close_delay: Millis,
    /// The longest wait for requests in flight, from the start of the stop.
    #[serde(rename = "limit")]
    pub timeout: Millis,
    /// Ends without waiting, to show that the checks find it; set by tests only.
    #[doc(hidden)]
    pub cuts_in_flight: bool,
}

/// What happens during a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainEvent {
    /// The stop was asked for, or asked for again.
    Stop,
    /// Time went by.
    Tick {
        /// Requests in flight.
        in_flight: u64,
    },
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainAction {
    /// Tell the balancer that no request should come; those that come are served.
    #[serde(rename = "NotReady")]
    MarkNotReady,
    /// Take no new connection or request.
    #[serde(rename = "Close")]
    CloseListener,
    /// End the process.
    Exit {
        /// Requests that are cut off.
        cut: u64,
        /// Whether the stop had to be cut short.
        forced: bool,
    },
}

/// The stop of one process.
#[derive(Debug)]
pub struct Drain {
    cfg: DrainCfg,
    state: State,
    in_flight: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    Notice { since: Millis },
    Draining { since: Millis },
    Over,
}

impl Drain {
    /// Makes one that serves.
    pub fn new(cfg: DrainCfg) -> Self {
        Self { cfg, state: State::Serving, in_flight: 0 }
    }

    fn exit(&mut self, forced: bool, out: &mut Vec<DrainAction>) {
        keep!(
            Promise::GracefulStop,
            forced || self.in_flight == 0,
            "{} requests in flight at the end of a stop",
            self.in_flight
        );
        self.state = State::Over;
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
            (State::Serving, DrainEvent::Stop) => {
                self.state = State::Notice { since: now };
                out.push(DrainAction::MarkNotReady);
            }
            (State::Notice { .. } | State::Draining { .. }, DrainEvent::Stop) => {
                self.exit(true, out);
            }
            (State::Notice { since }, DrainEvent::Tick { .. })
                if now.since(since) >= self.cfg.close_delay =>
            {
                self.state = State::Draining { since };
                out.push(DrainAction::CloseListener);
            }
            (State::Draining { .. }, DrainEvent::Tick { in_flight })
                if in_flight == 0 || self.cfg.cuts_in_flight =>
            {
                self.exit(false, out);
            }
            (State::Draining { since }, DrainEvent::Tick { .. })
                if now.since(since) >= self.cfg.timeout =>
            {
                self.exit(true, out);
            }
            _ => {}
        }
    }
}
