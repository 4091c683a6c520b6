//! The paths to endpoints, in virtual time.

use std::net::SocketAddr;

use sill_base::{Millis, Set};
use sill_dispatch::{Doubt, Path, PathChange, PathRequest, Paths, Reconnection, TICK};

/// Time from the start of a cut within which requests take a path that works.
const LEARNING_TIME: Millis = Millis(1200);

/// Time from the end of a cut within which own connections are used again.
const RETURN_TIME: Millis = Millis(2500);

fn address(endpoint: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8000 + endpoint as u16))
}

/// What happens to requests on own connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// They are answered.
    None,
    /// Kept connections are silent, new ones are not accepted.
    Hang,
    /// All connections are accepted, and silent.
    AcceptAndHang,
    /// Connections are refused.
    Refuse,
    /// Connections are accepted and reset.
    AcceptAndReset,
}

impl Cut {
    fn accepts(self) -> bool {
        matches!(self, Self::None | Self::AcceptAndHang | Self::AcceptAndReset)
    }
}

/// An entry instance with endpoints, some of which are cut off.
struct World {
    now: Millis,
    paths: Paths,
    cut: Cut,
    cut_endpoints: usize,
    endpoints: usize,
    /// The number of the first endpoint; earlier ones have ended.
    first: usize,
    /// Whether another entry instance reaches the endpoints.
    has_relay: bool,
    /// Requests that wait for an answer: the endpoint, and when they are given up.
    waiting: Vec<(usize, Millis)>,
    changes: Vec<PathChange>,
}

/// How a request went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    Answered,
    InTunnel,
    Lost,
    Refused,
}

impl World {
    fn new(endpoints: usize) -> Self {
        Self {
            now: Millis(60_000),
            paths: Paths::default(),
            cut: Cut::None,
            cut_endpoints: endpoints,
            endpoints,
            first: 0,
            has_relay: true,
            waiting: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn cut_of(&self, endpoint: usize) -> Cut {
        if endpoint < self.cut_endpoints { self.cut } else { Cut::None }
    }

    /// Sends one request; kept connections are used if the path is direct.
    fn send(&mut self, endpoint: usize, may_repeat: bool) -> Sent {
        let (address, cut) = (address(endpoint), self.cut_of(endpoint));
        let req = PathRequest { address, may_repeat, may_try: true, has_relay: self.has_relay };
        match self.paths.choose(self.now, req) {
            Path::None => Sent::Refused,
            Path::Tunnel => self.send_in_tunnel(endpoint),
            Path::Trial if !cut.accepts() => {
                self.paths.record_connect_failed(self.now, address, self.cut == Cut::Refuse);
                self.send_in_tunnel(endpoint)
            }
            Path::Trial if may_repeat && cut != Cut::None => {
                match cut {
                    Cut::AcceptAndReset => self.paths.record_reset(self.now, address),
                    _ => self.paths.record_unanswered(self.now, address),
                }
                self.send_in_tunnel(endpoint)
            }
            Path::Direct | Path::Trial => self.send_direct(endpoint),
        }
    }

    fn send_in_tunnel(&mut self, endpoint: usize) -> Sent {
        if !self.has_relay {
            self.paths.record_no_tunnel(self.now, address(endpoint));
            return Sent::Refused;
        }
        self.paths.record_tunnel(self.now, address(endpoint), true);
        Sent::InTunnel
    }

    fn send_direct(&mut self, endpoint: usize) -> Sent {
        let (address, now) = (address(endpoint), self.now);
        match self.cut_of(endpoint) {
            Cut::None => {
                self.paths.record_sent(address, false);
                self.paths.record_answered(now, address, now);
                self.paths.record_end(address, true);
                Sent::Answered
            }
            Cut::Hang | Cut::AcceptAndHang => {
                self.paths.record_sent(address, false);
                self.waiting.push((endpoint, now + Millis(1500)));
                Sent::Lost
            }
            Cut::Refuse => {
                self.paths.record_connect_failed(now, address, self.cut == Cut::Refuse);
                self.send_in_tunnel(endpoint)
            }
            Cut::AcceptAndReset => {
                self.paths.record_reset(now, address);
                Sent::Lost
            }
        }
    }

    /// Lets one tick pass, and carries out the checks that are due.
    fn tick(&mut self) {
        self.now = self.now + TICK;
        for (endpoint, until) in std::mem::take(&mut self.waiting) {
            let address = address(endpoint);
            if !matches!(self.cut_of(endpoint), Cut::Hang | Cut::AcceptAndHang) {
                self.paths.record_answered(self.now, address, self.now);
                self.paths.record_end(address, true);
            } else if self.now >= until || self.paths.is_stuck(address) {
                self.paths.record_end(address, false);
            } else {
                self.waiting.push((endpoint, until));
            }
        }
        for address in self.paths.tick(self.now) {
            let endpoint = usize::from(address.port()) - 8000;
            let cut = self.cut_of(endpoint);
            match cut {
                Cut::AcceptAndReset => self.paths.record_reset(self.now, address),
                _ if cut.accepts() => self.paths.record_connected(self.now, address),
                _ => {
                    self.paths.record_connect_failed(self.now, address, self.cut == Cut::Refuse);
                    if self.has_relay {
                        self.paths.record_tunnel(self.now, address, false);
                    }
                }
            }
        }
        self.changes.extend(self.paths.take_changes());
    }

    /// Sends a request to each endpoint in turn for a while, one in a tick; returns how they went.
    fn run(&mut self, span: Millis, may_repeat: bool) -> Vec<Sent> {
        let until = self.now + span;
        let mut sent = Vec::new();
        while self.now < until {
            let endpoint = self.first + (self.now.0 / TICK.0) as usize % self.endpoints;
            sent.push(self.send(endpoint, may_repeat));
            self.tick();
        }
        sent
    }
}

fn count(sent: &[Sent], which: Sent) -> usize {
    sent.iter().filter(|one| **one == which).count()
}

/// An instance whose connections fail does not notice it, and its requests are lost.
#[test]
fn requests_take_tunnels_soon_after_a_cut_and_own_connections_soon_after_its_end() {
    struct Case {
        cut: Cut,
        cut_endpoints: usize,
        may_repeat: bool,
        /// Requests that may be lost in twelve seconds of the cut, as they try whether it is over.
        lost: usize,
        return_time: Millis,
    }
    let cases = [
        Case {
            cut: Cut::Hang,
            cut_endpoints: 6,
            may_repeat: true,
            lost: 0,
            return_time: RETURN_TIME,
        },
        Case {
            cut: Cut::Hang,
            cut_endpoints: 6,
            may_repeat: false,
            lost: 0,
            return_time: RETURN_TIME,
        },
        Case {
            cut: Cut::Refuse,
            cut_endpoints: 6,
            may_repeat: false,
            lost: 0,
            return_time: RETURN_TIME,
        },
        Case {
            cut: Cut::Refuse,
            cut_endpoints: 3,
            may_repeat: true,
            lost: 0,
            return_time: RETURN_TIME,
        },
        Case {
            cut: Cut::AcceptAndHang,
            cut_endpoints: 6,
            may_repeat: true,
            lost: 0,
            return_time: RETURN_TIME,
        },
        Case {
            cut: Cut::AcceptAndHang,
            cut_endpoints: 6,
            may_repeat: false,
            lost: 2,
            return_time: Millis(9000),
        },
        Case {
            cut: Cut::AcceptAndReset,
            cut_endpoints: 6,
            may_repeat: true,
            lost: 0,
            return_time: RETURN_TIME,
        },
        Case {
            cut: Cut::AcceptAndReset,
            cut_endpoints: 6,
            may_repeat: false,
            lost: 0,
            return_time: Millis(9000),
        },
    ];
    for Case { cut, cut_endpoints, may_repeat, lost, return_time } in cases {
        let name = format!("{cut:?} of {cut_endpoints}, may_repeat={may_repeat}");
        let mut world = World::new(6);
        world.run(Millis(2000), may_repeat);
        (world.cut, world.cut_endpoints) = (cut, cut_endpoints);
        world.run(LEARNING_TIME, may_repeat);
        // Endpoints that are asked for the first time are learned of meanwhile.
        world.run(LEARNING_TIME, may_repeat);
        let sent = world.run(Millis(12_000), may_repeat);
        assert!(count(&sent, Sent::Lost) <= lost, "{name}: {sent:?}");
        assert!(count(&sent, Sent::InTunnel) >= sent.len() * cut_endpoints / 6 - lost, "{name}");
        assert_eq!(world.paths.is_cut_off(), cut_endpoints == 6, "{name}");
        world.cut = Cut::None;
        world.run(return_time, may_repeat);
        let sent = world.run(Millis(2000), may_repeat);
        assert_eq!(count(&sent, Sent::Answered), sent.len(), "{name}: {:?}", world.changes);
        assert_eq!(world.paths.lost_count(), 0, "{name}");
        assert!(!world.paths.is_cut_off(), "{name}");
    }
}

/// All endpoints are replaced during a cut. An instance that concludes from the end of those it knew that
/// it is connected again loses requests to the new ones.
#[test]
fn an_instance_stays_cut_off_when_the_endpoints_end_that_it_knew() {
    struct Case {
        cut: Cut,
        may_repeat: bool,
        /// Requests that may be lost, as they try whether the cut is over.
        lost: usize,
        return_time: Millis,
    }
    let case = |cut, may_repeat, lost, return_time| Case { cut, may_repeat, lost, return_time };
    let cases = [
        case(Cut::Hang, true, 0, RETURN_TIME),
        case(Cut::Hang, false, 0, RETURN_TIME),
        case(Cut::Refuse, true, 0, RETURN_TIME),
        case(Cut::Refuse, false, 0, RETURN_TIME),
        case(Cut::AcceptAndHang, true, 0, RETURN_TIME),
        case(Cut::AcceptAndHang, false, 1, Millis(9000)),
        case(Cut::AcceptAndReset, true, 0, RETURN_TIME),
        case(Cut::AcceptAndReset, false, 1, Millis(9000)),
    ];
    for Case { cut, may_repeat, lost, return_time } in cases {
        let name = format!("{cut:?}, may_repeat={may_repeat}");
        let mut world = World::new(6);
        world.run(Millis(2000), may_repeat);
        (world.cut, world.cut_endpoints) = (cut, usize::MAX);
        world.run(LEARNING_TIME + LEARNING_TIME, may_repeat);
        world.changes.clear();
        for _ in 0..6 {
            world.paths.forget(address(world.first));
            world.first += 1;
            world.run(Millis(200), may_repeat);
        }
        assert!(world.paths.is_cut_off(), "{name}: {:?}", world.changes);
        let sent = world.run(Millis(6000), may_repeat);
        assert!(count(&sent, Sent::Lost) <= lost, "{name}: {sent:?}");
        assert!(world.paths.is_cut_off(), "{name}");
        let is_end = |change: &PathChange| matches!(change, PathChange::Reconnected(_));
        assert!(!world.changes.iter().any(is_end), "{name}: {:?}", world.changes);
        world.cut = Cut::None;
        world.run(return_time, may_repeat);
        let sent = world.run(Millis(2000), may_repeat);
        assert_eq!(count(&sent, Sent::Answered), sent.len(), "{name}: {:?}", world.changes);
        assert!(!world.paths.is_cut_off(), "{name}");
    }
}

/// Endpoints that nobody reaches have ended; what is believed of this instance must not outlive them.
#[test]
fn an_instance_is_not_cut_off_by_the_end_of_endpoints_that_nobody_reaches() {
    let mut paths = Paths::default();
    let now = Millis(60_000);
    (0..2).for_each(|endpoint| paths.record_connect_failed(now, address(endpoint), true));
    assert!(paths.is_cut_off());
    (0..2).for_each(|endpoint| paths.forget(address(endpoint)));
    assert!(!paths.is_cut_off());
    assert_eq!(
        paths.take_changes().last(),
        Some(&PathChange::Reconnected(Reconnection::EndpointsEnded))
    );
}

/// A request at an endpoint that has ended fails late, and its path is checked for good.
#[test]
fn paths_to_endpoints_that_have_ended_are_not_checked_for_good() {
    let mut paths = Paths::default();
    let now = Millis(60_000);
    let alive: Set<SocketAddr> = [address(1)].into_iter().collect();
    paths.record_sent(address(0), true);
    paths.record_sent(address(1), true);
    paths.forget(address(0));
    paths.record_connect_failed(now, address(0), true);
    paths.record_connect_failed(now, address(2), true);
    paths.record_connect_failed(now, address(1), true);
    paths.record_end(address(0), false);
    paths.record_end(address(1), false);
    paths.retain(&alive);
    let checked: Vec<SocketAddr> =
        (1..100).flat_map(|tick| paths.tick(now + Millis(tick * TICK.0))).collect();
    assert!(checked.iter().all(|at| *at == address(1)), "{checked:?}");
    assert!(checked.len() > 10, "the other one is checked: {checked:?}");
}

/// Requests wait for their whole deadlines although no entry instance reaches an endpoint.
#[test]
fn requests_are_refused_once_no_path_has_worked_for_a_while() {
    for cut in [Cut::Hang, Cut::AcceptAndHang, Cut::Refuse] {
        let mut world = World::new(4);
        world.run(Millis(1000), true);
        (world.cut, world.has_relay) = (cut, false);
        world.run(Millis(3000), true);
        let sent = world.run(Millis(5000), true);
        assert!(count(&sent, Sent::Refused) >= sent.len() * 8 / 10, "{cut:?}: {sent:?}");
        world.cut = Cut::None;
        world.run(RETURN_TIME, true);
        let sent = world.run(Millis(1000), true);
        assert_eq!(count(&sent, Sent::Answered), sent.len(), "{cut:?}: {:?}", world.changes);
    }
}

/// A request in a tunnel once waited for long, and much later an instance that is cut off refuses calls.
#[test]
fn an_earlier_silence_of_tunnels_is_not_held_against_them() {
    let mut paths = Paths::default();
    paths.record_tunnel_sent();
    (1..40).for_each(|number| _ = paths.tick(Millis(number * TICK.0)));
    paths.record_tunnel_end();
    assert_eq!(paths.take_changes(), [PathChange::TunnelsSilent]);
    let now = Millis(600_000);
    (0..2).for_each(|endpoint| paths.record_connect_failed(now, address(endpoint), true));
    assert!(paths.is_cut_off());
    let req =
        PathRequest { address: address(0), may_repeat: false, may_try: false, has_relay: true };
    assert_eq!(paths.choose(now, req), Path::Tunnel);
}

/// One endpoint that is silent for a second must not be taken for a cut, nor requests to others
/// be moved.
#[test]
fn a_silent_endpoint_does_not_make_the_other_paths_doubtful() {
    let mut world = World::new(4);
    world.run(Millis(1000), true);
    (world.cut, world.cut_endpoints) = (Cut::AcceptAndHang, 1);
    let sent = world.run(Millis(1000), true);
    assert_eq!(count(&sent, Sent::Lost) + count(&sent, Sent::Answered), sent.len(), "{sent:?}");
    world.cut = Cut::None;
    world.run(TICK + TICK, true);
    let sent = world.run(Millis(1000), true);
    assert_eq!(count(&sent, Sent::Answered), sent.len(), "{:?}", world.changes);
    assert!(!world.changes.contains(&PathChange::CutOff), "{:?}", world.changes);
}

/// After a pause of the process its requests have waited for long by the clock, but their endpoints
/// were not silent.
#[test]
fn a_pause_of_the_process_is_not_taken_for_silence() {
    let mut paths = Paths::default();
    (0..4).for_each(|endpoint| paths.record_sent(address(endpoint), endpoint > 1));
    let checks = paths.tick(Millis(1000));
    assert!(checks.is_empty());
    // The process was paused for 20 s.
    let checks = paths.tick(Millis(21_000));
    assert!(checks.is_empty(), "{checks:?}");
    assert!(!paths.is_cut_off());
    (0..4).for_each(|endpoint| paths.record_heard(Millis(21_001), address(endpoint), Millis(1)));
    assert!(paths.take_changes().is_empty());
}

/// Endpoints that have ended are not reached by others either. Requests to them must not be sent
/// through other entry instances again and again.
#[test]
fn an_endpoint_that_nobody_reaches_is_not_asked_for_in_tunnels() {
    let mut paths = Paths::default();
    let (now, address) = (Millis(5000), address(0));
    paths.record_connect_failed(now, address, true);
    paths.record_no_tunnel(now, address);
    let req = PathRequest { address, may_repeat: true, may_try: true, has_relay: true };
    assert_eq!(paths.choose(now + TICK, req), Path::Direct);
    assert_eq!(paths.lost_count(), 0);
    assert_eq!(paths.take_changes(), [PathChange::Doubted(address, Doubt::Connect)]);
    paths.forget(address);
    assert_eq!(paths.choose(now + TICK, req), Path::Direct);
}

/// The resumption of a stream tries out a path that is at fault, fails, and the stream is cut.
#[test]
fn a_resumption_does_not_try_out_paths() {
    for may_repeat in [true, false] {
        let (mut paths, address) = (Paths::default(), address(0));
        paths.record_unanswered(Millis(5000), address);
        paths.record_tunnel(Millis(5000), address, true);
        let choose = |paths: &mut Paths, may_try| {
            let req = PathRequest { address, may_repeat, may_try, has_relay: true };
            paths.choose(Millis(60_000), req)
        };
        assert_eq!(choose(&mut paths, false), Path::Tunnel);
        assert_eq!(choose(&mut paths, true), Path::Trial);
    }
}

/// Streams that pause at several endpoints are broken off as if the entry instance were cut off.
#[test]
fn pauses_of_streams_are_not_taken_for_silence() {
    struct Case {
        /// Endpoints with a request whose answer has not begun.
        unanswered: &'static [usize],
        is_cut_off: bool,
    }
    let cases = [
        Case { unanswered: &[], is_cut_off: false },
        Case { unanswered: &[1], is_cut_off: false },
        Case { unanswered: &[0, 1], is_cut_off: true },
    ];
    for Case { unanswered, is_cut_off } in cases {
        let mut paths = Paths::default();
        for endpoint in 0..3 {
            paths.record_sent(address(endpoint), false);
            paths.record_answered(Millis(1000), address(endpoint), Millis(1000));
        }
        (1..20).for_each(|number| _ = paths.tick(Millis(1000 + number * TICK.0)));
        unanswered.iter().for_each(|endpoint| paths.record_sent(address(*endpoint), false));
        (20..40).for_each(|number| _ = paths.tick(Millis(1000 + number * TICK.0)));
        assert_eq!(paths.is_cut_off(), is_cut_off, "{unanswered:?}");
        assert_eq!(paths.is_stuck(address(2)), is_cut_off, "{unanswered:?}");
    }
}

/// A model engine that computes long prompts is silent; its requests must not be broken off, nor new
/// ones take tunnels, while other endpoints are heard.
#[test]
fn requests_at_a_silent_engine_are_kept_while_others_answer() {
    let mut paths = Paths::default();
    let (engine, plain, other) = (address(0), address(1), address(2));
    paths.record_sent(engine, true);
    paths.record_sent(plain, false);
    let req = |address| PathRequest { address, may_repeat: true, may_try: true, has_relay: true };
    for number in 1..30 {
        let now = Millis(number * TICK.0);
        paths.record_heard(now, other, now);
        paths.tick(now);
        if number > 10 {
            paths.record_tunnel(now, engine, true);
            paths.record_tunnel(now, plain, true);
        }
        assert!(!paths.is_stuck(engine), "after {now} ms");
        assert_eq!(paths.is_stuck(plain), number > 10, "after {now} ms");
        assert_eq!(paths.choose(now, req(engine)), Path::Direct, "after {now} ms");
    }
}

/// All engines fall silent at once and accept connections: their requests would hang.
#[test]
fn requests_at_silent_engines_are_given_up_if_others_reach_them_and_none_is_heard() {
    let mut paths = Paths::default();
    let engines = [address(0), address(1), address(2)];
    engines.iter().for_each(|engine| paths.record_sent(*engine, true));
    (1..10).for_each(|number| _ = paths.tick(Millis(number * TICK.0)));
    assert!(paths.is_cut_off());
    assert!(!paths.is_stuck(engines[0]));
    for engine in &engines[1..] {
        paths.record_tunnel(Millis(1000), *engine, true);
    }
    assert!(paths.is_stuck(engines[0]));
}

/// The first packet of a connection is lost now and then; requests in flight must not be broken off
/// for it.
#[test]
fn one_connection_that_is_not_accepted_breaks_off_no_request() {
    let (mut paths, address) = (Paths::default(), address(0));
    paths.record_sent(address, true);
    (1..6).for_each(|number| _ = paths.tick(Millis(number * TICK.0)));
    paths.record_connect_failed(Millis(600), address, false);
    paths.record_tunnel(Millis(610), address, false);
    assert!(!paths.is_stuck(address));
    paths.record_connect_failed(Millis(900), address, false);
    assert!(paths.is_stuck(address));
}

/// A service without calls hears nothing, and one that is heard from any endpoint is not silent: neither
/// may count as a silence.
#[test]
fn silence_is_counted_while_requests_are_in_flight_and_until_any_endpoint_is_heard() {
    let mut paths = Paths::default();
    let ticks = |paths: &mut Paths, count| (0..count).for_each(|_| _ = paths.tick(Millis(1000)));
    ticks(&mut paths, 10);
    assert_eq!(paths.silence(), Millis::ZERO, "no request");
    paths.record_sent(address(0), true);
    ticks(&mut paths, 10);
    paths.record_sent(address(1), true);
    ticks(&mut paths, 2);
    assert_eq!(paths.silence(), Millis(12 * TICK.0), "a later request does not end it");
    paths.record_heard(Millis(2200), address(1), Millis::ZERO);
    assert_eq!(paths.silence(), Millis::ZERO, "one of two is heard");
    ticks(&mut paths, 3);
    paths.record_end(address(0), false);
    paths.record_end(address(1), true);
    ticks(&mut paths, 1);
    assert_eq!(paths.silence(), Millis::ZERO, "all requests have ended");
}
