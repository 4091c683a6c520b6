//! Cuts from all endpoints beside standstills of the entry instance, of the one that carries its
//! tunnels, and of endpoints, in virtual time.

use std::net::SocketAddr;

use sill_base::Millis;
use sill_dispatch::{Path, PathRequest, Paths, RelayList, TICK};
use sill_wire::link::RelayOffer;

const ENDPOINTS: usize = 6;

/// Calls that arrive in each tick.
const CALLS_PER_TICK: usize = 2;

/// Time that a caller waits.
const DEADLINE: Millis = Millis(1500);

/// Time after the start of a cut from which on calls are to be served.
const CONTACT_TIME: Millis = Millis(3000);

/// Time after the end of a standstill from which on calls are to be served again.
const RETURN_TIME: Millis = Millis(500);

/// Time in which an instance that has calls notices that it is cut off.
const LEARNING_TIME: Millis = Millis(1200);

/// Part of the calls that is to be served at an instance that is cut off.
const SERVED: f64 = 0.97;

/// Time for an answer on a path that failed before.
const TRIAL_TIMEOUT: Millis = Millis(300);

/// Time for another entry instance to open a tunnel.
const TUNNEL_TIMEOUT: Millis = Millis(400);

/// Time for a connection to open.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// Time of silence after which the instance that carries tunnels takes itself for cut off, if it has
/// callers of its own.
const HELPER_LEARNS: Millis = Millis(800);

/// Time until control instances have passed on that tunnels are offered, or no longer.
const OFFER_LAG: Millis = Millis(500);

/// Time without a report after which control instances withdraw an offer.
const OFFER_TTL: Millis = Millis(1500);

/// Attempts at one call.
const MAX_SENDS: usize = 5;

/// Attempts at one call of which each may have run.
const MAX_RUNS: usize = 2;

fn address(endpoint: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8000 + endpoint as u16))
}

fn offer() -> RelayOffer {
    RelayOffer { entry: "helper".into(), domain: "a".into(), address: relay_address() }
}

fn relay_address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], 7000))
}

/// What a cut does to the instance's own connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// New ones are not accepted, open ones are silent.
    Hang,
    /// All are accepted, and silent.
    AcceptAndHang,
    /// New ones are refused.
    Refuse,
    /// New ones are accepted and reset.
    AcceptAndReset,
}

const CUTS: [Cut; 4] = [Cut::Hang, Cut::AcceptAndHang, Cut::Refuse, Cut::AcceptAndReset];

/// Who stands still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Still {
    Nobody,
    Instance,
    Helper,
    Endpoints,
    HelperAndEndpoints,
}

/// When no calls arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Quiet {
    Never,
    /// From the start of the cut to the end of the standstill.
    FromCut,
    /// From when the instance knows of the cut to the end of the standstill.
    OnceCutOff,
}

/// A span of time during which something holds.
#[derive(Debug, Clone, Copy)]
struct Span {
    from: Millis,
    to: Millis,
}

impl Span {
    fn contains(self, now: Millis) -> bool {
        self.from <= now && now < self.to
    }
}

#[derive(Debug, Clone, Copy)]
struct Case {
    cut: Cut,
    may_repeat: bool,
    still: Still,
    /// The standstill, counted from the start of the cut.
    after: Millis,
    span: Millis,
    quiet: Quiet,
    /// Whether the instance that carries tunnels has callers, and so notices that it is cut off.
    helper_has_callers: bool,
}

impl Case {
    fn standstill(&self) -> Span {
        let from = CUT_AT + self.after;
        let to = if self.still == Still::Nobody { from } else { from + self.span };
        Span { from, to }
    }
}

const CUT_AT: Millis = Millis(62_000);

const CUT_SPAN: Millis = Millis(15_000);

/// A step of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// It is placed next.
    Start,
    /// It waits for a connection on its own path; its request is tried as a trial or not.
    Connecting { is_trial: bool, until: Millis },
    /// It waits for an answer on an own connection.
    Direct { until: Option<Millis> },
    /// It waits for a tunnel.
    Opening { until: Millis },
    /// It waits for an answer in a tunnel.
    Tunnel,
}

/// A call in flight.
#[derive(Debug, Clone, Copy)]
struct Call {
    sent_at: Millis,
    endpoint: usize,
    step: Step,
    sends: usize,
    runs: usize,
}

/// An entry instance that loses its own connections, and one that carries tunnels.
struct World {
    now: Millis,
    case: Case,
    paths: Paths,
    relays: RelayList,
    /// Whether control instances offer the helper's tunnels.
    is_offered: bool,
    calls: Vec<Call>,
    /// When tunnels that are only asked for as a check are answered, and their endpoints.
    checks: Vec<(Millis, usize)>,
    served: Vec<(Millis, bool)>,
    next: usize,
}

impl World {
    fn new(case: Case) -> Self {
        let mut relays = RelayList::default();
        relays.set_offers(vec![offer()]);
        Self {
            is_offered: true,
            now: CUT_AT - Millis(2000),
            case,
            paths: Paths::default(),
            relays,
            calls: Vec::new(),
            checks: Vec::new(),
            served: Vec::new(),
            next: 0,
        }
    }

    fn is_cut(&self) -> bool {
        Span { from: CUT_AT, to: CUT_AT + CUT_SPAN }.contains(self.now)
    }

    fn is_still(&self, who: Still) -> bool {
        let both = self.case.still == Still::HelperAndEndpoints && who != Still::Instance;
        (self.case.still == who || both) && self.case.standstill().contains(self.now)
    }

    /// Returns whether the helper takes itself for cut off from endpoints.
    fn helper_is_cut_off(&self) -> bool {
        let span = self.case.standstill();
        let knows = Span { from: span.from + HELPER_LEARNS, to: span.to };
        self.case.helper_has_callers
            && matches!(self.case.still, Still::Endpoints | Still::HelperAndEndpoints)
            && knows.contains(self.now)
    }

    /// Takes the list of offers from control instances, which is sent when it has changed.
    fn update_offers(&mut self) {
        let Span { from, to } = self.case.standstill();
        let lost_after = match self.case.still {
            Still::Helper => OFFER_TTL,
            Still::Endpoints | Still::HelperAndEndpoints if self.case.helper_has_callers => {
                HELPER_LEARNS + OFFER_LAG
            }
            _ => to - from,
        };
        let is_lost = Span { from: from + lost_after, to: to + OFFER_LAG }.contains(self.now);
        let is_offered = !(is_lost && lost_after < to - from);
        if std::mem::replace(&mut self.is_offered, is_offered) != is_offered {
            let offers = if is_offered { vec![offer()] } else { Vec::new() };
            self.relays.set_offers(offers);
        }
    }

    fn accepts(&self) -> bool {
        !self.is_cut() || matches!(self.case.cut, Cut::AcceptAndHang | Cut::AcceptAndReset)
    }

    fn answers(&self) -> bool {
        !self.is_cut() && !self.is_still(Still::Endpoints)
    }

    fn end(&mut self, call: Call, is_served: bool) {
        self.served.push((call.sent_at, is_served));
    }

    /// Places a call and begins its next attempt; returns it if it goes on.
    fn start(&mut self, mut call: Call) -> Option<Call> {
        while call.sends < MAX_SENDS {
            call.endpoint = self.next % ENDPOINTS;
            self.next += 1;
            call.sends += 1;
            let may_repeat = self.case.may_repeat && call.runs + 1 < MAX_RUNS;
            let has_relay = self.relays.has_usable(self.now);
            let at = address(call.endpoint);
            let req = PathRequest { address: at, may_repeat, may_try: true, has_relay };
            match self.paths.choose(self.now, req) {
                Path::None => {}
                Path::Direct => return Some(self.connect(call, false)),
                Path::Trial => return Some(self.connect(call, true)),
                Path::Tunnel => return Some(self.open_tunnel(call)),
            }
        }
        self.end(call, false);
        None
    }

    fn connect(&mut self, mut call: Call, is_trial: bool) -> Call {
        let until = match self.accepts() || self.case.cut == Cut::Refuse {
            true => self.now,
            false => self.now + CONNECT_TIMEOUT,
        };
        call.step = Step::Connecting { is_trial, until };
        call
    }

    fn open_tunnel(&mut self, mut call: Call) -> Call {
        let until = match self.is_still(Still::Helper) && self.relays.is_offered(relay_address()) {
            true => self.now + TUNNEL_TIMEOUT,
            false => self.now,
        };
        call.step = Step::Opening { until };
        call
    }

    /// Records the end of an attempt to open a tunnel; returns whether it has opened.
    fn tunnel_opens(&mut self, endpoint: usize) -> bool {
        if self.is_still(Still::Helper) || self.helper_is_cut_off() {
            self.relays.record_failure(self.now, relay_address());
            return false;
        }
        self.relays.record_success(relay_address());
        self.paths.record_tunnel(self.now, address(endpoint), false);
        true
    }

    fn call_gets_tunnel(&mut self, call: &Call) -> bool {
        self.relays.is_offered(relay_address()) && self.tunnel_opens(call.endpoint)
    }

    fn send(&mut self, mut call: Call, is_trial: bool) -> Call {
        let may_repeat = self.case.may_repeat && call.runs + 1 < MAX_RUNS;
        self.paths.record_sent(address(call.endpoint), false);
        call.runs += 1;
        let until = (is_trial && may_repeat).then(|| self.now + TRIAL_TIMEOUT);
        call.step = Step::Direct { until };
        call
    }

    /// Ends an attempt of unknown outcome; the call is sent again if it may be.
    fn retry(&mut self, mut call: Call) -> Option<Call> {
        if !self.case.may_repeat || call.runs >= MAX_RUNS {
            self.end(call, false);
            return None;
        }
        call.step = Step::Start;
        self.start(call)
    }

    /// Takes a call one step on; returns it if it has not ended.
    fn advance(&mut self, mut call: Call) -> Option<Call> {
        let at = address(call.endpoint);
        let is_late = self.now - call.sent_at >= DEADLINE;
        match call.step {
            Step::Start => self.start(call),
            Step::Connecting { is_trial, until } if self.now >= until => {
                if self.accepts() {
                    self.paths.record_connected(self.now, at);
                    return Some(self.send(call, is_trial));
                }
                let is_refused = self.case.cut == Cut::Refuse;
                self.paths.record_connect_failed(self.now, at, is_refused);
                let has_relay = self.relays.has_usable(self.now);
                match has_relay && (!is_trial || self.case.may_repeat) {
                    true => Some(self.open_tunnel(call)),
                    false => self.start(call),
                }
            }
            Step::Direct { until } => {
                if self.answers() {
                    self.paths.record_answered(self.now, at, self.now);
                    self.paths.record_end(at, true);
                    self.end(call, true);
                    return None;
                }
                if self.is_cut() && self.case.cut == Cut::AcceptAndReset {
                    self.paths.record_end(at, false);
                    self.paths.record_reset(self.now, at);
                    return self.retry(call);
                }
                let is_stuck = self.case.may_repeat && self.paths.is_stuck(at);
                let is_over = until.is_some_and(|until| self.now >= until);
                if !is_late && !is_stuck && !is_over {
                    return Some(call);
                }
                self.paths.record_end(at, false);
                if is_over && !is_late {
                    self.paths.record_unanswered(self.now, at);
                }
                match is_late {
                    true => {
                        self.end(call, false);
                        None
                    }
                    false => self.retry(call),
                }
            }
            Step::Opening { until } if self.now >= until => match self.call_gets_tunnel(&call) {
                true => {
                    self.paths.record_tunnel_sent();
                    call.runs += 1;
                    call.step = Step::Tunnel;
                    Some(call)
                }
                false if self.accepts() => Some(self.send(call, false)),
                false => self.start(call),
            },
            Step::Tunnel => {
                let is_answered = !self.is_still(Still::Helper) && !self.is_still(Still::Endpoints);
                if is_answered {
                    self.paths.record_tunnel(self.now, at, true);
                }
                if is_answered || is_late {
                    self.paths.record_tunnel_end();
                    self.end(call, is_answered);
                    return None;
                }
                Some(call)
            }
            Step::Connecting { .. } | Step::Opening { .. } => Some(call),
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        if self.is_still(Still::Instance) {
            return;
        }
        let to = self.case.standstill().to;
        let is_quiet = match self.case.quiet {
            Quiet::Never => false,
            Quiet::FromCut => Span { from: CUT_AT - Millis(200), to }.contains(self.now),
            Quiet::OnceCutOff => Span { from: CUT_AT + LEARNING_TIME, to }.contains(self.now),
        };
        for _ in 0..if is_quiet { 0 } else { CALLS_PER_TICK } {
            let (sent_at, endpoint) = (self.now, 0);
            self.calls.push(Call { sent_at, endpoint, step: Step::Start, sends: 0, runs: 0 });
        }
        for call in std::mem::take(&mut self.calls) {
            let call = self.advance(call);
            self.calls.extend(call);
        }
        self.update_offers();
        let checks = self.paths.tick(self.now);
        for address in checks {
            self.check(usize::from(address.port()) - 8000);
        }
        let has_relay = self.relays.has_usable(self.now);
        if let Some(address) = self.paths.next_tunnel_check(self.now, has_relay) {
            self.check_tunnel(usize::from(address.port()) - 8000);
        }
        let (due, later) = self.checks.iter().partition(|(at, _)| *at <= self.now);
        self.checks = later;
        let due: Vec<(Millis, usize)> = due;
        due.into_iter().for_each(|(_, endpoint)| _ = self.tunnel_opens(endpoint));
    }

    /// Opens a connection, or a tunnel if that fails.
    fn check(&mut self, endpoint: usize) {
        let at = address(endpoint);
        match self.case.cut {
            _ if !self.is_cut() => self.paths.record_connected(self.now, at),
            Cut::AcceptAndHang => self.paths.record_connected(self.now, at),
            Cut::AcceptAndReset => {
                self.paths.record_reset(self.now, at);
                self.check_tunnel(endpoint);
            }
            Cut::Refuse | Cut::Hang => {
                self.paths.record_connect_failed(self.now, at, self.case.cut == Cut::Refuse);
                self.check_tunnel(endpoint);
            }
        }
    }

    fn check_tunnel(&mut self, endpoint: usize) {
        let relays = self.relays.check_candidates(self.now, &"e".into(), 1);
        if relays.is_empty() || !self.paths.may_tunnel(self.now, address(endpoint)) {
            return;
        }
        let wait = if self.is_still(Still::Helper) { TUNNEL_TIMEOUT } else { Millis::ZERO };
        self.checks.push((self.now + wait, endpoint));
    }

    /// Plays the whole case; returns how many calls were served of those that should be.
    fn run(mut self) -> (usize, usize) {
        let ended = CUT_AT + CUT_SPAN;
        while self.now < ended {
            self.tick();
        }
        // Without calls, and while the instance stands still, it can't notice the cut.
        let is_unaware = self.case.quiet == Quiet::FromCut || self.case.still == Still::Instance;
        let wait = if is_unaware { LEARNING_TIME } else { RETURN_TIME };
        let from = (CUT_AT + CONTACT_TIME).max(self.case.standstill().to + wait);
        let is_judged = |(at, _): &&(Millis, bool)| *at >= from && *at + DEADLINE < ended;
        let judged: Vec<&(Millis, bool)> = self.served.iter().filter(is_judged).collect();
        (judged.iter().filter(|(_, is_served)| *is_served).count(), judged.len())
    }
}

fn check(cases: &[Case]) {
    let mut failures = Vec::new();
    for case in cases {
        let (served, all) = World::new(*case).run();
        assert!(all > 100, "{case:?}: too few calls: {all}");
        if (served as f64) < SERVED * all as f64 {
            failures.push(format!("{served} of {all}: {case:?}"));
        }
    }
    let count = failures.len();
    assert_eq!(count, 0, "{count} of {} cases:\n{}", cases.len(), failures.join("\n"));
}

fn cases_of(still: Still, quiet: Quiet, helper_has_callers: bool) -> Vec<Case> {
    let mut cases = Vec::new();
    for cut in CUTS {
        for may_repeat in [true, false] {
            for after in [0, 300, 700, 900, 1500, 2000, 3000] {
                for span in [1000, 2000, 2400, 3000, 4000] {
                    let (after, span) = (Millis(after), Millis(span));
                    let case =
                        Case { cut, may_repeat, still, after, span, quiet, helper_has_callers };
                    cases.push(case);
                }
            }
        }
    }
    cases
}

/// The simulated cut itself fails calls.
#[test]
fn calls_are_served_in_tunnels_while_nobody_stands_still() {
    check(&cases_of(Still::Nobody, Quiet::Never, true));
}

/// Endpoints answer nobody for a moment, and an instance that is cut off refuses all calls until the
/// cut is over.
#[test]
fn calls_are_served_in_tunnels_after_endpoints_stood_still() {
    check(&cases_of(Still::Endpoints, Quiet::Never, true));
}

/// The same if the entry instance that carries tunnels has no callers and does not notice it.
#[test]
fn calls_are_served_by_an_idle_helper_after_endpoints_stood_still() {
    let cases = cases_of(Still::Endpoints, Quiet::Never, false);
    let (repeatable, _): (Vec<Case>, Vec<Case>) = cases.into_iter().partition(|c| c.may_repeat);
    check(&repeatable);
}

/// The same for calls that must not be repeated, few of which find out that endpoints answer again.
#[test]
fn calls_that_must_not_be_repeated_are_served_by_an_idle_helper_after_endpoints_stood_still() {
    let cases = cases_of(Still::Endpoints, Quiet::Never, false);
    let (_, once): (Vec<Case>, Vec<Case>) = cases.into_iter().partition(|c| c.may_repeat);
    check(&once);
}

/// The entry instance that carries tunnels stands still, and no other tunnel is asked for until the
/// cut is over.
#[test]
fn calls_are_served_in_tunnels_after_the_helper_stood_still() {
    check(&cases_of(Still::Helper, Quiet::Never, true));
    check(&cases_of(Still::HelperAndEndpoints, Quiet::Never, true));
}

/// An instance that stood still itself takes the time for silence.
#[test]
fn calls_are_served_in_tunnels_after_the_instance_stood_still() {
    check(&cases_of(Still::Instance, Quiet::Never, true));
}

/// A service without calls is taken for one that nobody reaches.
#[test]
fn calls_are_served_in_tunnels_after_a_quiet_time() {
    for quiet in [Quiet::FromCut, Quiet::OnceCutOff] {
        check(&cases_of(Still::Helper, quiet, true));
        check(&cases_of(Still::Endpoints, quiet, true));
    }
}
