//! Whether requests in tunnels through each other entry instance are answered.
//!
//! An entry instance that has lost its own paths grants tunnels until it notices, and without calls of
//! its own it does not. A tunnel that opens therefore shows less than an answer that arrives in it.

use std::net::SocketAddr;

use sill_base::{Map, Millis};

/// Ticks without a byte through a relay, while requests wait for answers there, until others are
/// preferred.
const QUIET_TICKS: u32 = 8;

/// How long others are preferred to a relay through which requests were not answered; doubled each
/// time, until one is answered.
const MIN_BACKOFF: Millis = Millis(1500);

/// Upper bound for that time.
const MAX_BACKOFF: Millis = Millis(12_000);

/// Time without a word from any endpoint after which a relay may have lost its paths and not have
/// noticed, for want of calls of its own.
const MAX_ANSWERED_AGE: Millis = Millis(1000);

/// How long others are preferred to such a relay.
const UNPROVEN_TIME: Millis = Millis(2000);

/// Number of engines that must be silent behind a relay until requests there are given up. A single one
/// may compute a long prompt.
const MIN_ENGINES: usize = 2;

/// What is known of one relay.
#[derive(Debug, Default)]
struct Relay {
    /// Endpoints of requests whose answers have not begun, with the number of these.
    waiting: Map<SocketAddr, u32>,
    /// Ticks without a byte while there were any of these.
    quiet: u32,
    /// The tick in which it was heard last.
    heard_at: Option<u64>,
    doubt: Option<Doubt>,
    /// Until when others are preferred, as it has heard no endpoint for a while.
    unproven_until: Millis,
}

/// After requests were not answered.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    until: Millis,
    backoff: Millis,
}

impl Relay {
    fn doubt(&mut self, now: Millis) {
        let backoff = self.doubt.map_or(MIN_BACKOFF, |doubt| {
            if now < doubt.until { doubt.backoff } else { doubt.backoff + doubt.backoff }
        });
        let backoff = backoff.min(MAX_BACKOFF);
        self.doubt = Some(Doubt { until: now + backoff, backoff });
    }

    const fn is_quiet(&self) -> bool {
        self.quiet >= QUIET_TICKS
    }
}

/// What an entry instance has seen of the relays that it uses.
#[derive(Debug, Default)]
pub struct RelayHealth {
    relays: Map<SocketAddr, Relay>,
    ticks: u64,
}

impl RelayHealth {
    /// Records that a request is sent to an endpoint through a relay.
    pub fn record_sent(&mut self, relay: SocketAddr, endpoint: SocketAddr) {
        *self.relays.entry(relay).or_default().waiting.entry(endpoint).or_default() += 1;
    }

    /// Records that the answer to a request has begun, or that the request has ended without one.
    pub fn record_end(&mut self, relay: SocketAddr, endpoint: SocketAddr) {
        let Some(relay) = self.relays.get_mut(&relay) else { return };
        if let Some(count) = relay.waiting.get_mut(&endpoint) {
            *count -= 1;
            if *count == 0 {
                relay.waiting.remove(&endpoint);
            }
        }
        if relay.waiting.is_empty() {
            relay.quiet = 0;
        }
    }

    /// Records bytes that arrived through a relay.
    pub fn record_heard(&mut self, relay: SocketAddr) {
        let relay = self.relays.entry(relay).or_default();
        relay.quiet = 0;
        relay.heard_at = Some(self.ticks);
        relay.doubt = None;
        relay.unproven_until = Millis::ZERO;
    }

    /// Records that a tunnel has opened through a relay, which heard an endpoint `answered_age` ago.
    /// Returns whether others are to be asked first.
    pub fn record_opened(&mut self, now: Millis, relay: SocketAddr, answered_age: Millis) -> bool {
        let relay = self.relays.entry(relay).or_default();
        // What it carries for this instance shows that its paths work.
        let is_heard = relay.heard_at.is_some_and(|at| self.ticks - at < QUIET_TICKS.into());
        let is_unproven = answered_age > MAX_ANSWERED_AGE && !is_heard;
        relay.unproven_until = if is_unproven { now + UNPROVEN_TIME } else { Millis::ZERO };
        is_unproven
    }

    /// Returns whether a relay has said lately that it has heard no endpoint for a while.
    pub fn is_unproven(&self, now: Millis, relay: SocketAddr) -> bool {
        self.relays.get(&relay).is_some_and(|relay| now < relay.unproven_until)
    }

    /// Records that a request broke off without an answer, or that another relay has reached an
    /// endpoint that this one does not.
    pub fn record_failure(&mut self, now: Millis, relay: SocketAddr) {
        self.relays.entry(relay).or_default().doubt(now);
    }

    /// Forgets a relay, unless requests wait there.
    pub fn forget(&mut self, relay: SocketAddr) {
        if let Some(known) = self.relays.get_mut(&relay) {
            known.doubt = None;
            known.unproven_until = Millis::ZERO;
            if known.waiting.is_empty() {
                self.relays.remove(&relay);
            }
        }
    }

    /// Counts a tick; returns the relays that others are preferred to from now on, because they are
    /// silent.
    pub fn tick(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.ticks += 1;
        let mut silent = Vec::new();
        for (address, relay) in &mut self.relays {
            if relay.waiting.is_empty() {
                continue;
            }
            relay.quiet += 1;
            if relay.is_quiet() {
                if relay.quiet == QUIET_TICKS {
                    silent.push(*address);
                }
                relay.doubt(now);
            }
        }
        silent
    }

    /// Returns whether other relays are to be asked first. When the time of preference is over, one
    /// request that may be sent again finds out whether this one works.
    pub fn is_doubted(&self, now: Millis, relay: SocketAddr, may_repeat: bool) -> bool {
        let Some(relay) = self.relays.get(&relay) else { return false };
        let is_on_trial = |doubt: Doubt| now < doubt.until || !may_repeat;
        relay.doubt.is_some_and(|doubt| is_on_trial(doubt) || !relay.waiting.is_empty())
    }

    /// Returns whether a request in a tunnel can't be expected to be answered, while others are answered
    /// through other relays.
    pub fn is_stuck(&self, relay: SocketAddr, is_engine: bool) -> bool {
        let Some(known) = self.relays.get(&relay).filter(|known| known.is_quiet()) else {
            return false;
        };
        let silent_from = self.ticks - u64::from(known.quiet);
        let is_heard = |other: &Relay| other.heard_at.is_some_and(|at| at >= silent_from);
        let are_others_heard =
            self.relays.iter().any(|(address, other)| *address != relay && is_heard(other));
        are_others_heard && (!is_engine || known.waiting.len() >= MIN_ENGINES)
    }
}
