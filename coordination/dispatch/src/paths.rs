//! The network paths from an entry instance to endpoints: its own connections, or tunnels through
//! other entry instances.
//!
//! A partition is not announced. Connections hang, are reset or live on while new ones are refused,
//! and an endpoint that has ended or is slow looks the same from here. Two things tell them apart:
//! whether another entry instance reaches the endpoint at the same time, and whether any endpoint
//! answers at all.

use std::net::SocketAddr;

use sill_base::{Map, Millis, Set};

use crate::tunnel_health::TunnelHealth;

/// Length of a tick. Silence is counted in ticks and not by the clock: after a pause of the process
/// its endpoints have not been silent.
pub const TICK: Millis = Millis(100);

/// Ticks without a byte from an endpoint that has requests in flight until its path is checked.
const QUIET_TICKS: u32 = 4;

/// Ticks of silence until new requests take another path although the endpoint accepts connections.
/// An engine that computes a long prompt is as silent.
const LONG_QUIET_TICKS: u32 = 8;

/// Largest number of ticks between two checks of an endpoint that is silent but accepts connections.
const MAX_CHECK_TICKS: u32 = 64;

/// Interval at which lost paths are checked.
const CHECK_INTERVAL: Millis = Millis(500);

/// Interval at which requests that may be repeated try a path on which connections open but requests
/// got no answer. Each failure takes a retry.
const TRIAL_INTERVAL: Millis = Millis(1000);

/// Number of lost paths that are checked per interval, as partitions separate from many endpoints.
const CHECKS_PER_INTERVAL: usize = 2;

/// Time after which a request that must not run twice tries a path that fails only after connecting;
/// doubled with each failure.
const MIN_RISKY_INTERVAL: Millis = Millis(4000);

/// Upper bound for the time between such trials.
const MAX_RISKY_INTERVAL: Millis = Millis(8000);

/// How long tunnels to an endpoint are not tried after none reached it.
const TUNNEL_BACKOFF: Millis = Millis(1000);

/// Time without an answer on any path until requests are refused without an attempt.
const UNREACHABLE_AFTER: Millis = Millis(2000);

/// Number of failures to connect from which on requests in flight are given up.
const MIN_FAILURES: u32 = 2;

/// Number of endpoints whose paths must be in doubt until the other paths are as well.
const MIN_DOUBTED: usize = 2;

/// Why a path is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// Connecting fails.
    Connect,
    /// The endpoint accepts a connection and resets it before it answers.
    Reset,
    /// The endpoint does not answer requests in flight.
    Silence,
}

/// The path that a request takes to its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// The own connections; kept ones may be used.
    Direct,
    /// A new connection of its own, to find out whether the path works again.
    Trial,
    /// A tunnel, or else the own connections.
    Tunnel,
    /// No path works, so the request is not sent.
    None,
}

/// What a request allows when its path is chosen.
#[derive(Debug, Clone, Copy)]
pub struct PathRequest {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Whether the request may be sent again if it gets no answer.
    pub may_repeat: bool,
    /// Whether the request may find out whether a path works again.
    pub may_try: bool,
    /// Whether another entry instance offers tunnels.
    pub has_relay: bool,
}

/// Why an instance no longer takes itself for cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reconnection {
    /// An endpoint was heard on an own connection, or one opened where connecting had failed.
    Heard,
    /// The endpoints have ended to which paths were in doubt.
    EndpointsEnded,
}

/// A change of what is believed of the paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// The path is in doubt.
    Doubted(SocketAddr, Doubt),
    /// Another entry instance reaches the endpoint, and this one does not.
    Lost(SocketAddr, Doubt),
    /// The endpoint answers on the own connections again.
    Restored(SocketAddr),
    /// No endpoint is reached on the own connections.
    CutOff,
    /// The instance no longer takes itself for cut off.
    Reconnected(Reconnection),
    /// Requests in tunnels are not answered, so no more are sent.
    TunnelsSilent,
    /// Requests are sent in tunnels again.
    TunnelsUsable,
}

/// The state of the path to one endpoint.
#[derive(Debug, Default, Clone, Copy)]
struct EndpointPath {
    /// Requests in flight on own connections.
    waiting: u32,
    /// Those of them whose answers have not begun. A stream may pause for long.
    unanswered: u32,
    /// Ticks without a byte while there were any of these.
    unanswered_ticks: u32,
    is_engine: bool,
    /// Ticks without a byte while requests were in flight.
    quiet: u32,
    /// Ticks of silence at which the path is checked next.
    check_at_quiet: u32,
    fault: Option<Fault>,
    /// No tunnel is tried before this time.
    no_tunnel_until: Millis,
}

/// A path that is in doubt or lost.
#[derive(Debug, Clone, Copy)]
struct Fault {
    doubt: Doubt,
    since: Millis,
    /// Whether another entry instance has reached the endpoint since.
    is_lost: bool,
    /// How often connecting has failed; a refusal counts for several time-outs.
    failures: u32,
    /// When a new connection is opened next, to find out whether that works again.
    next_check: Millis,
    /// Whether a request may find out whether the path works again.
    may_try: bool,
}

impl EndpointPath {
    fn end_unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
        if self.unanswered == 0 {
            self.unanswered_ticks = 0;
        }
    }
}

/// What an entry instance believes of its paths to endpoints.
#[derive(Debug)]
pub struct Paths {
    endpoints: Map<SocketAddr, EndpointPath>,
    fault_count: usize,
    /// Ticks without a byte on any own connection.
    quiet: u32,
    /// Those of them in which requests were in flight, without one in which none was.
    silent_ticks: u32,
    /// When an endpoint was last heard on an own connection.
    heard_at: Millis,
    /// Number of endpoints that have ended since, while only other entry instances reached them.
    ended_lost: usize,
    /// Whether a path was doubted since on which connections open. Then one that opens shows nothing.
    has_unanswered: bool,
    /// When an endpoint was last heard on any path.
    answered_at: Millis,
    next_check: Millis,
    next_trial: Millis,
    next_risky_trial: Millis,
    risky_interval: Millis,
    /// The endpoint that [`Paths::next_presumed`] returned last.
    last_presumed: Option<SocketAddr>,
    /// The endpoint that [`Paths::next_tunnel_check`] returned last.
    last_tunnel_check: Option<SocketAddr>,
    is_cut_off: bool,
    tunnels: TunnelHealth,
    changes: Vec<PathChange>,
}

impl Default for Paths {
    fn default() -> Self {
        Self {
            endpoints: Map::default(),
            fault_count: 0,
            quiet: 0,
            silent_ticks: 0,
            heard_at: Millis::ZERO,
            ended_lost: 0,
            has_unanswered: false,
            answered_at: Millis::ZERO,
            next_check: Millis::ZERO,
            next_trial: Millis::ZERO,
            next_risky_trial: Millis::ZERO,
            risky_interval: MIN_RISKY_INTERVAL,
            last_presumed: None,
            last_tunnel_check: None,
            is_cut_off: false,
            tunnels: TunnelHealth::default(),
            changes: Vec::new(),
        }
    }
}

impl Paths {
    /// Chooses the path of a request.
    pub fn choose(&mut self, now: Millis, req: PathRequest) -> Path {
        let path = self.endpoints.entry(req.address).or_default();
        let (fault, may_tunnel) = (path.fault, path.no_tunnel_until <= now);
        if fault.is_none() && !self.is_cut_off {
            return Path::Direct;
        }
        // Without a fault of its own, a path is only presumed to be broken like the others.
        let may_try = fault.is_none_or(|fault| fault.may_try && fault.is_lost);
        if may_try && self.take_trial(now, req) {
            self.record_trial(req.address);
            return Path::Trial;
        }
        let has_tunnel = req.has_relay && may_tunnel;
        if has_tunnel && !self.tunnels.are_silent() {
            return Path::Tunnel;
        }
        if self.is_unreachable(now) {
            if !self.take_trial(now, req) {
                return Path::None;
            }
            let is_in_tunnel = has_tunnel && self.tunnels.take_trial();
            return if is_in_tunnel { Path::Tunnel } else { Path::Trial };
        }
        if has_tunnel { Path::Tunnel } else { Path::Direct }
    }

    /// Returns whether requests for which no tunnel can be used are not sent, because no path has
    /// worked for a while.
    fn is_unreachable(&self, now: Millis) -> bool {
        self.is_cut_off && now - self.answered_at > UNREACHABLE_AFTER
    }

    /// A connection that was reset is checked again before the next request tries it.
    fn record_trial(&mut self, address: SocketAddr) {
        let path = self.endpoints.get_mut(&address);
        if let Some(fault) = path.and_then(|path| path.fault.as_mut()) {
            fault.may_try = fault.doubt == Doubt::Silence;
        }
    }

    /// Returns whether a request is to try its own connection although that failed before.
    fn take_trial(&mut self, now: Millis, req: PathRequest) -> bool {
        if !req.may_try {
            return false;
        }
        if req.may_repeat {
            let is_due = self.next_trial <= now;
            if is_due {
                self.next_trial = now + TRIAL_INTERVAL;
                self.next_risky_trial = self.next_risky_trial.max(now + MIN_RISKY_INTERVAL);
            }
            return is_due;
        }
        let is_due = self.next_risky_trial <= now;
        if is_due {
            self.risky_interval =
                (self.risky_interval + self.risky_interval).min(MAX_RISKY_INTERVAL);
            self.next_risky_trial = now + self.risky_interval;
        }
        is_due
    }

    /// Returns whether tunnels to an endpoint may be tried.
    pub fn may_tunnel(&self, now: Millis, address: SocketAddr) -> bool {
        self.endpoints.get(&address).is_none_or(|path| path.no_tunnel_until <= now)
    }

    /// Returns whether no endpoint is reached on the own connections.
    pub const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns the time since an endpoint was last heard on an own connection.
    pub fn heard_age(&self, now: Millis) -> Millis {
        now - self.heard_at
    }

    /// Returns for how long no endpoint has sent anything on an own connection although requests were
    /// in flight.
    pub const fn silence(&self) -> Millis {
        Millis(TICK.0 * self.silent_ticks as u64)
    }

    /// Returns whether own connections to an endpoint open and are not reset, as far as known.
    pub fn is_connectable(&self, address: SocketAddr) -> bool {
        let fault = self.endpoints.get(&address).and_then(|path| path.fault);
        fault.is_none_or(|fault| fault.doubt == Doubt::Silence)
    }

    /// Returns whether only other entry instances reach an endpoint.
    pub fn is_lost(&self, address: SocketAddr) -> bool {
        let fault = self.endpoints.get(&address).and_then(|path| path.fault);
        fault.is_some_and(|fault| fault.is_lost)
    }

    /// Returns the number of endpoints that only other entry instances reach.
    pub fn lost_count(&self) -> usize {
        let faults = self.endpoints.values().filter_map(|path| path.fault);
        faults.filter(|fault| fault.is_lost).count()
    }

    /// Returns whether a request in flight on an own connection can't be expected to be answered.
    ///
    /// A silent engine that accepts connections may compute a long prompt, so for engines only
    /// failures to connect count, or that others reach several endpoints and all are silent here.
    pub fn is_stuck(&self, address: SocketAddr) -> bool {
        let Some(path) = self.endpoints.get(&address) else { return false };
        let Some(fault) = path.fault.filter(|_| path.quiet >= QUIET_TICKS) else { return false };
        if self.is_cut_off && path.quiet >= LONG_QUIET_TICKS {
            return !path.is_engine || self.lost_count() >= MIN_DOUBTED;
        }
        match fault.doubt {
            // One connection may have failed because its first packet was lost.
            Doubt::Connect => fault.is_lost && (fault.failures >= MIN_FAILURES || self.is_cut_off),
            Doubt::Reset | Doubt::Silence => fault.is_lost && !path.is_engine,
        }
    }

    /// Returns whether any requests may be stuck.
    pub const fn has_faults(&self) -> bool {
        self.fault_count > 0
    }

    /// Records that a request is sent on an own connection; `is_engine` is whether the endpoint is a
    /// model engine.
    pub fn record_sent(&mut self, address: SocketAddr, is_engine: bool) {
        let path = self.endpoints.entry(address).or_default();
        path.waiting += 1;
        path.unanswered += 1;
        path.is_engine = is_engine;
    }

    /// Records that the answer to a request has begun on an own connection, which was opened at
    /// `opened_at`.
    pub fn record_answered(&mut self, now: Millis, address: SocketAddr, opened_at: Millis) {
        self.record_heard(now, address, opened_at);
        if let Some(path) = self.endpoints.get_mut(&address) {
            path.end_unanswered();
        }
    }

    /// Records that a request on an own connection has ended in any way; `is_answered` is whether
    /// its answer had begun.
    pub fn record_end(&mut self, address: SocketAddr, is_answered: bool) {
        let Some(path) = self.endpoints.get_mut(&address) else { return };
        path.waiting = path.waiting.saturating_sub(1);
        if !is_answered {
            path.end_unanswered();
        }
        if path.waiting == 0 {
            path.quiet = 0;
            path.check_at_quiet = QUIET_TICKS;
        }
    }

    /// Records bytes that an endpoint sent on an own connection, which was opened at `opened_at`.
    pub fn record_heard(&mut self, now: Millis, address: SocketAddr, opened_at: Millis) {
        self.answered_at = now;
        self.mark_heard(now);
        (self.quiet, self.silent_ticks) = (0, 0);
        let Some(path) = self.endpoints.get_mut(&address) else { return };
        (path.quiet, path.unanswered_ticks) = (0, 0);
        path.check_at_quiet = QUIET_TICKS;
        // A connection that lives on says nothing about new ones.
        let is_over = |fault: Fault| fault.doubt == Doubt::Silence || opened_at >= fault.since;
        if path.fault.is_some_and(is_over) {
            self.restore(now, address);
        }
        self.update_cut_off(Reconnection::Heard);
    }

    /// Records that a new connection was opened to an endpoint.
    pub fn record_connected(&mut self, now: Millis, address: SocketAddr) {
        let proves_nothing = self.is_cut_off && self.has_unanswered;
        let path = self.endpoints.get_mut(&address);
        let fault = path.and_then(|path| path.fault.as_mut());
        let doubt = fault.map(|fault| {
            fault.may_try = true;
            if proves_nothing && fault.doubt == Doubt::Connect {
                fault.doubt = Doubt::Silence;
            }
            fault.doubt
        });
        match doubt {
            Some(Doubt::Connect) => {
                self.mark_heard(now);
                self.restore(now, address);
            }
            Some(_) => {}
            None if self.is_cut_off && self.only_connecting_fails() => {
                self.mark_heard(now);
                self.update_cut_off(Reconnection::Heard);
            }
            None => {}
        }
    }

    const fn mark_heard(&mut self, now: Millis) {
        self.heard_at = now;
        (self.ended_lost, self.has_unanswered) = (0, false);
    }

    fn only_connecting_fails(&self) -> bool {
        let mut faults = self.endpoints.values().filter_map(|path| path.fault);
        !self.has_unanswered && faults.all(|fault| fault.doubt == Doubt::Connect)
    }

    /// Records that connecting to an endpoint was refused, or took too long.
    pub fn record_connect_failed(&mut self, now: Millis, address: SocketAddr, is_refused: bool) {
        self.doubt(now, address, Doubt::Connect);
        let path = self.endpoints.get_mut(&address);
        if let Some(fault) = path.and_then(|path| path.fault.as_mut()) {
            fault.failures += if is_refused { MIN_FAILURES } else { 1 };
        }
    }

    /// Records that an endpoint did not answer a request on a new connection in time.
    pub fn record_unanswered(&mut self, now: Millis, address: SocketAddr) {
        self.doubt(now, address, Doubt::Silence);
    }

    /// Records that a new connection was reset before the endpoint answered on it.
    pub fn record_reset(&mut self, now: Millis, address: SocketAddr) {
        self.doubt(now, address, Doubt::Reset);
    }

    /// Records that another entry instance has reached an endpoint: it has connected, or
    /// `has_answered`.
    pub fn record_tunnel(&mut self, now: Millis, address: SocketAddr, has_answered: bool) {
        let is_usable_again = match has_answered {
            true => {
                self.answered_at = now;
                self.tunnels.record_heard()
            }
            false => self.tunnels.record_opened(now),
        };
        if is_usable_again {
            self.changes.push(PathChange::TunnelsUsable);
        }
        let path = self.endpoints.entry(address).or_default();
        path.no_tunnel_until = Millis::ZERO;
        let Some(fault) = &mut path.fault else { return };
        if !fault.is_lost && (has_answered || fault.doubt == Doubt::Connect) {
            fault.is_lost = true;
            self.changes.push(PathChange::Lost(address, fault.doubt));
        }
    }

    /// Records that a request is sent in a tunnel.
    pub const fn record_tunnel_sent(&mut self) {
        self.tunnels.record_sent();
    }

    /// Records that the answer to a request in a tunnel has begun, or that the request has ended
    /// without one.
    pub const fn record_tunnel_end(&mut self) {
        self.tunnels.record_end();
    }

    /// Records bytes that arrived in a tunnel.
    pub fn record_tunnel_heard(&mut self, now: Millis) {
        self.answered_at = now;
        if self.tunnels.record_heard() {
            self.changes.push(PathChange::TunnelsUsable);
        }
    }

    /// Returns an endpoint to which a tunnel is to be opened without a request, to find out whether
    /// tunnels work again; `has_relay` is whether another entry instance offers tunnels that has not
    /// failed lately.
    pub fn next_tunnel_check(&mut self, now: Millis, has_relay: bool) -> Option<SocketAddr> {
        if !self.is_cut_off || !self.tunnels.take_check(now, has_relay) {
            return None;
        }
        let endpoints = self.endpoints.iter().filter(|(_, path)| path.no_tunnel_until <= now);
        let addresses = endpoints.map(|(address, _)| *address);
        let checked = next_after(self.last_tunnel_check, addresses)?;
        self.last_tunnel_check = Some(checked);
        Some(checked)
    }

    /// Records that no other entry instance reaches an endpoint either, so the path is not at fault.
    pub fn record_no_tunnel(&mut self, now: Millis, address: SocketAddr) {
        self.endpoints.entry(address).or_default().no_tunnel_until = now + TUNNEL_BACKOFF;
    }

    /// Forgets an endpoint that has ended. If others reached it until then and this instance did not,
    /// that says something of this instance, and stays known until an endpoint is heard.
    pub fn forget(&mut self, address: SocketAddr) {
        if let Some(path) = self.endpoints.get_mut(&address) {
            let fault = path.fault.take();
            self.fault_count -= usize::from(fault.is_some());
            let heard_at = self.heard_at;
            let was_lost = fault.is_some_and(|fault| fault.is_lost && fault.since >= heard_at);
            self.ended_lost += usize::from(was_lost);
            if path.waiting == 0 {
                self.endpoints.remove(&address);
            }
        }
        self.update_cut_off(Reconnection::EndpointsEnded);
    }

    /// Forgets the endpoints that are not among `alive`. Requests that end after their endpoint has
    /// ended may have doubted its path again. Returns the addresses of those that were known.
    pub fn retain(&mut self, alive: &Set<SocketAddr>) -> Vec<SocketAddr> {
        let known = self.endpoints.keys().copied();
        let ended: Vec<SocketAddr> = known.filter(|address| !alive.contains(address)).collect();
        ended.iter().for_each(|address| self.forget(*address));
        ended
    }

    /// Counts silence; called once in a [`TICK`]. Returns the endpoints to be connected to.
    pub fn tick(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut checks = Vec::new();
        let mut silent = Vec::new();
        self.quiet += 1;
        let is_waiting = self.endpoints.values().any(|path| path.waiting > 0);
        self.silent_ticks = if is_waiting { self.silent_ticks + 1 } else { 0 };
        if self.tunnels.tick() {
            self.changes.push(PathChange::TunnelsSilent);
        }
        for (address, path) in &mut self.endpoints {
            if path.waiting == 0 {
                continue;
            }
            path.quiet += 1;
            path.unanswered_ticks += u32::from(path.unanswered > 0);
            if path.quiet >= path.check_at_quiet.max(QUIET_TICKS) {
                path.check_at_quiet = path.quiet + path.quiet.min(MAX_CHECK_TICKS);
                checks.push(*address);
            }
            // An engine may be silent for long, but not all endpoints at once.
            let is_silent = !path.is_engine || self.quiet >= LONG_QUIET_TICKS;
            let ticks = if self.is_cut_off { path.quiet } else { path.unanswered_ticks };
            let is_long = ticks >= LONG_QUIET_TICKS;
            if is_long && is_silent && path.fault.is_none() {
                silent.push(*address);
            }
        }
        for address in silent {
            self.doubt(now, address, Doubt::Silence);
        }
        self.check_faults(now, &mut checks);
        checks
    }

    /// Adds paths that could not be connected on, if their check is due.
    fn check_faults(&mut self, now: Millis, checks: &mut Vec<SocketAddr>) {
        if (self.fault_count == 0 && !self.is_cut_off) || now < self.next_check {
            return;
        }
        let is_due = |fault: &Fault| fault.doubt != Doubt::Silence && fault.next_check <= now;
        let faults = self.endpoints.iter().filter_map(|(address, path)| {
            path.fault.filter(is_due).map(|fault| (fault.next_check, *address))
        });
        let mut due: Vec<(Millis, SocketAddr)> = faults.collect();
        due.sort_unstable();
        for (_, address) in due.into_iter().take(CHECKS_PER_INTERVAL) {
            if let Some(path) = self.endpoints.get_mut(&address)
                && let Some(fault) = &mut path.fault
            {
                fault.next_check = now + CHECK_INTERVAL;
            }
            self.next_check = now + CHECK_INTERVAL;
            checks.push(address);
        }
        if self.is_cut_off {
            self.next_check = now + CHECK_INTERVAL;
            checks.extend(self.next_presumed());
        }
    }

    /// Returns an endpoint whose path is only presumed to be broken, another one each time.
    fn next_presumed(&mut self) -> Option<SocketAddr> {
        let presumed = self.endpoints.iter().filter(|(_, path)| path.fault.is_none());
        let addresses = presumed.map(|(address, _)| *address);
        self.last_presumed = next_after(self.last_presumed, addresses);
        self.last_presumed
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.changes)
    }

    fn doubt(&mut self, now: Millis, address: SocketAddr, doubt: Doubt) {
        let path = self.endpoints.entry(address).or_default();
        match &mut path.fault {
            // Whether connecting works again can be found out without a request.
            Some(fault) if doubt == Doubt::Connect => {
                fault.doubt = doubt;
                fault.may_try = false;
            }
            Some(_) => return,
            None => {
                let next_check = now + CHECK_INTERVAL;
                let may_try = doubt == Doubt::Silence;
                path.fault = Some(Fault {
                    doubt,
                    since: now,
                    is_lost: false,
                    failures: 0,
                    next_check,
                    may_try,
                });
                self.fault_count += 1;
                self.has_unanswered |= doubt != Doubt::Connect;
                if self.fault_count == 1 {
                    self.next_trial = now + TRIAL_INTERVAL;
                    self.risky_interval = MIN_RISKY_INTERVAL;
                    self.next_risky_trial = now + MIN_RISKY_INTERVAL;
                }
                self.changes.push(PathChange::Doubted(address, doubt));
            }
        }
        self.update_cut_off(Reconnection::Heard);
    }

    /// Takes a path for sound again. The partition may be over, so the others are tried soon.
    fn restore(&mut self, now: Millis, address: SocketAddr) {
        let Some(path) = self.endpoints.get_mut(&address) else { return };
        path.fault = None;
        (path.quiet, path.unanswered_ticks) = (0, 0);
        self.fault_count -= 1;
        self.changes.push(PathChange::Restored(address));
        let faults = self.endpoints.values_mut().filter_map(|path| path.fault.as_mut());
        faults.for_each(|fault| fault.next_check = now);
        (self.next_check, self.next_trial, self.next_risky_trial) = (now, now, now);
        self.risky_interval = MIN_RISKY_INTERVAL;
        self.update_cut_off(Reconnection::Heard);
    }

    /// Takes all paths for broken once several are in doubt and nothing was heard since.
    fn update_cut_off(&mut self, why: Reconnection) {
        let is_cut_off = self.fault_count + self.ended_lost >= MIN_DOUBTED && {
            let faults = self.endpoints.values().filter_map(|path| path.fault);
            let doubted = faults.filter(|fault| fault.since >= self.heard_at).count();
            doubted + self.ended_lost >= MIN_DOUBTED
        };
        if std::mem::replace(&mut self.is_cut_off, is_cut_off) != is_cut_off {
            if is_cut_off {
                self.tunnels.forget_silence();
            }
            let change = match is_cut_off {
                true => PathChange::CutOff,
                false => PathChange::Reconnected(why),
            };
            self.changes.push(change);
        }
    }
}

/// Returns the address that follows `last` in the order of addresses, or else the first one.
fn next_after<I>(last: Option<SocketAddr>, addresses: I) -> Option<SocketAddr>
where
    I: Iterator<Item = SocketAddr>,
{
    let (later, earlier): (Vec<SocketAddr>, Vec<SocketAddr>) =
        addresses.partition(|at| Some(*at) > last);
    later.into_iter().min().or(earlier.into_iter().min())
}
