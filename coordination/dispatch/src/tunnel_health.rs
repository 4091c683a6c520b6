//! Whether tunnels through other entry instances work.

use sill_base::Millis;

/// Ticks without an answer in any tunnel, while requests wait for one, until no more are sent in
/// tunnels.
const SILENT_TUNNEL_TICKS: u32 = 20;

/// Interval at which tunnels are opened without a request while no path works.
const TUNNEL_CHECK_INTERVAL: Millis = Millis(200);

/// Time after which a tunnel that opens lets requests into silent tunnels again, unless one is
/// answered before; doubled each time.
const MIN_REOPEN_INTERVAL: Millis = Millis(4000);

/// Upper bound for that time.
const MAX_REOPEN_INTERVAL: Millis = Millis(16_000);

/// What an entry instance believes of all tunnels through other entry instances.
///
/// Tunnels count as silent only while requests wait in them, as a service without calls gets no
/// answers either. Requests that are not sent can't find out when that is over, so tunnels are opened
/// without a request meanwhile.
#[derive(Debug)]
pub struct TunnelHealth {
    /// Requests in tunnels whose answers have not begun.
    waiting: u32,
    /// Ticks without an answer in any tunnel while there were any of these.
    quiet: u32,
    /// When a tunnel is opened next without a request.
    next_check: Millis,
    /// From when on a tunnel that opens lets requests in again.
    next_reopen: Millis,
    reopen_interval: Millis,
    /// Whether the next request that may try a path does so in a tunnel.
    is_trial_due: bool,
}

impl Default for TunnelHealth {
    fn default() -> Self {
        Self {
            waiting: 0,
            quiet: 0,
            next_check: Millis::ZERO,
            next_reopen: Millis::ZERO,
            reopen_interval: MIN_REOPEN_INTERVAL,
            is_trial_due: true,
        }
    }
}

impl TunnelHealth {
    /// Records that a request is sent in a tunnel.
    pub const fn record_sent(&mut self) {
        self.waiting += 1;
    }

    /// Records that the answer to a request has begun, or that it has ended without one.
    pub const fn record_end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns whether requests in tunnels are not answered.
    pub const fn are_silent(&self) -> bool {
        self.quiet >= SILENT_TUNNEL_TICKS
    }

    /// Counts a tick; returns whether tunnels have become silent.
    pub const fn tick(&mut self) -> bool {
        if self.waiting == 0 {
            return false;
        }
        self.quiet += 1;
        self.quiet == SILENT_TUNNEL_TICKS
    }

    /// Forgets an earlier silence, which may be long over.
    pub const fn forget_silence(&mut self) {
        self.record_heard();
    }

    /// Records bytes that arrived in a tunnel; returns whether tunnels were silent.
    pub const fn record_heard(&mut self) -> bool {
        (self.next_reopen, self.reopen_interval) = (Millis::ZERO, MIN_REOPEN_INTERVAL);
        let were_silent = self.are_silent();
        self.quiet = 0;
        were_silent
    }

    /// Records that a tunnel has opened; returns whether silent ones are used again for it.
    pub fn record_opened(&mut self, now: Millis) -> bool {
        let is_reopened = self.are_silent() && self.next_reopen <= now;
        if is_reopened {
            self.quiet = 0;
            self.next_reopen = now + self.reopen_interval;
            self.reopen_interval =
                (self.reopen_interval + self.reopen_interval).min(MAX_REOPEN_INTERVAL);
        }
        is_reopened
    }

    /// Returns whether a request that tries a path does so in a tunnel, which it does in turn with
    /// own connections.
    pub const fn take_trial(&mut self) -> bool {
        let is_due = self.is_trial_due;
        self.is_trial_due = !is_due;
        is_due
    }

    /// Returns whether a tunnel is to be opened now without a request; `has_relay` is whether another
    /// entry instance offers tunnels that has not failed lately.
    pub fn take_check(&mut self, now: Millis, has_relay: bool) -> bool {
        let is_due = (!has_relay || self.are_silent()) && self.next_check <= now;
        if is_due {
            self.next_check = now + TUNNEL_CHECK_INTERVAL;
        }
        is_due
    }
}
