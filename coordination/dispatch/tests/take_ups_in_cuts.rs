//! Streams that break and are taken up at an entry instance that is out of step while a version joins
//! or a route moves, in virtual time.

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Millis, Name};
use sill_dispatch::streams::{
    ASKED, HOLDERS, KnownStream, StreamOrigins, TakeUp, VersionHistory, decide, holders, is_single,
};
use sill_dispatch::{Inquiry, RouteHistory, RouteTable};
use sill_tree::{Document, Route, Service, Share};
use sill_wire::control::Revision;
use sill_wire::streams::{
    ConfirmVersionsReply, EntryPeer, FindStreamReply, StreamOrigin, VersionView,
};
use sill_wire::{Incarnation, RequestKey};

const STEP: Millis = Millis(10);
const DOMAINS: usize = 3;

/// The control instance that leads; those of the other domains follow it.
const LEADER: usize = 1;

/// When the instances that are out of step lose contact.
const CUT_AT: Millis = Millis(2000);
const END: Millis = Millis(7000);

/// How long a control instance holds a poll, and when it counts as lost.
const POLL_WAIT: Millis = Millis(250);
const POLL_TIMEOUT: Millis = Millis(850);
const RETRY_PAUSE: Millis = Millis(100);

/// Time for an endpoint's first heartbeat to get to the leader, and to the other control instances.
const NEWS_TO_LEADER: Millis = Millis(200);
const NEWS_TO_OTHERS: Millis = Millis(1000);

/// Time after which a control instance without contact knows that it has no leader.
const ELECTION_TIMEOUT: Millis = Millis(1000);

const RECORD_RETRY: Millis = Millis(600);
const STREAM_INTERVAL: u64 = 30;

/// How long a caller tries to take its stream up.
const PATIENCE: Millis = Millis(2500);

const OLD: &str = "desk";
const NEW: &str = "annex";

/// What changes while instances are out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    None,
    /// A second version joins the service.
    Version,
    /// The route moves to another service of the same version.
    Service,
}

/// How instances are out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// No message gets through to the others, or from them.
    Both,
    /// What they send is lost.
    Outbound,
    /// What is sent to them is lost.
    Inbound,
    /// A part of the messages is lost.
    Lossy,
    /// They stand still, and find old messages in their sockets.
    Standstill,
    /// Their processes end and don't come back; connections to them are refused.
    Dead,
    /// Their machines end.
    Gone,
}

/// Who is out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Out {
    One,
    /// Half of the entry instances, in all failure domains.
    Half,
    /// A failure domain with its control instance.
    Domain,
}

/// Which instance a stream breaks at, and where it is taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// From an instance in step to one that isn't.
    IntoFault,
    /// From any instance, that may be dead, to one in step.
    InStep,
    /// From an instance that is out of step, which alone hears the news, to one in step.
    OutOfFault,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    entries: usize,
    change: Change,
    fault: Fault,
    out: Out,
    way: Way,
    /// When the change happens, and when the fault ends.
    changes_at: Millis,
    fault_ends_at: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Node {
    Entry(usize),
    Control(usize),
}

struct Poll {
    sent_at: Millis,
    arrived: bool,
    /// What the control instance knew when it replied, and whether it had a leader.
    reply: Option<(bool, bool)>,
    is_lost: bool,
}

struct Entry {
    polls: [Option<Poll>; 2],
    paused_until: [Millis; 2],
    knows_change: bool,
    versions: VersionHistory,
    routes: RouteHistory,
    origins: StreamOrigins,
    /// Records that wait in its sockets.
    waiting: Vec<(StreamOrigin, Name)>,
}

struct Stream {
    number: usize,
    software: &'static str,
    service: &'static str,
    broken_at: Millis,
    next_try: Millis,
    at: usize,
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    taken_up: usize,
    joined: usize,
    /// Those that went on at the first try, and later.
    at_once: usize,
    later: usize,
}

struct World {
    case: Case,
    rng: Rng,
    now: Millis,
    peers: Vec<EntryPeer>,
    tables: [RouteTable; 2],
    entries: Vec<Entry>,
    control_knows: [bool; DOMAINS],
    led_at: [Millis; DOMAINS],
    records: Vec<(Millis, usize, usize, StreamOrigin)>,
    streams: Vec<Stream>,
    counts: Counts,
}

fn table(revision: u64, service: &str) -> RouteTable {
    let mut document = Document::default();
    document.services.insert(service.into(), Service::Pool(Default::default()));
    let split = vec![Share { service: service.into(), weight: 1 }];
    let route = Route { host: "h".into(), path: "/a/".into(), split, ..Route::default() };
    document.routes.insert("told".into(), route);
    RouteTable::of(revision, &document)
}

fn key(number: usize) -> RequestKey {
    RequestKey::of(&[&number.to_le_bytes()])
}

impl World {
    fn new(case: Case, seed: u64) -> Self {
        let peers = (0..case.entries).map(|i| EntryPeer {
            entry: format!("g{i}").into(),
            domain: format!("d{}", i % DOMAINS).into(),
            address: ([10, 0, 0, i as u8], 7000).into(),
            incarnation: Incarnation(1),
        });
        let tables = [table(1, OLD), table(2, NEW)];
        let entries = (0..case.entries).map(|_| {
            let mut routes = RouteHistory::default();
            routes.record_settings(Millis::ZERO, None, &tables[0]);
            routes.record_unchanged(Millis::ZERO, Millis(1 << 40));
            Entry {
                polls: [None, None],
                paused_until: [Millis::ZERO; 2],
                knows_change: false,
                versions: VersionHistory::default(),
                routes,
                origins: StreamOrigins::default(),
                waiting: Vec::new(),
            }
        });
        Self {
            case,
            rng: random::seeded(seed),
            now: Millis::ZERO,
            peers: peers.collect(),
            entries: entries.collect(),
            tables,
            control_knows: [false; DOMAINS],
            led_at: [Millis::ZERO; DOMAINS],
            records: Vec::new(),
            streams: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn is_faulty(&self) -> bool {
        self.now >= CUT_AT && self.now < self.case.fault_ends_at
    }

    /// Returns whether a node is among those that are out of step.
    fn is_out(&self, node: Node) -> bool {
        match (self.case.out, node) {
            (Out::One, Node::Entry(i)) => i == 0,
            (Out::Half, Node::Entry(i)) => i % 2 == 0,
            (Out::Domain, Node::Entry(i)) => i % DOMAINS == 0,
            (Out::Domain, Node::Control(k)) => k == 0 && self.case.fault != Fault::Standstill,
            _ => false,
        }
    }

    fn is_dead(&self, node: Node) -> bool {
        self.is(Fault::Dead, node) || self.is(Fault::Gone, node)
    }

    fn is(&self, fault: Fault, node: Node) -> bool {
        self.case.fault == fault && self.is_faulty() && self.is_out(node)
    }

    /// Returns whether a message gets through.
    fn passes(&mut self, from: Node, to: Node) -> bool {
        if !self.is_faulty() {
            return true;
        }
        let (is_from_out, is_to_out) = (self.is_out(from), self.is_out(to));
        match self.case.fault {
            Fault::None | Fault::Standstill => true,
            Fault::Both => is_from_out == is_to_out,
            Fault::Outbound => is_to_out || !is_from_out,
            Fault::Inbound => is_from_out || !is_to_out,
            Fault::Lossy => is_from_out == is_to_out || self.rng.random_bool(0.4),
            Fault::Dead | Fault::Gone => !is_from_out && !is_to_out,
        }
    }

    fn round_trip(&mut self, a: Node, b: Node) -> bool {
        a == b || self.passes(a, b) && self.passes(b, a)
    }

    fn step_controls(&mut self) {
        for k in 0..DOMAINS {
            let (own, leader) = (Node::Control(k), Node::Control(LEADER));
            if self.round_trip(own, leader) {
                self.led_at[k] = self.now;
            }
            let first = if self.case.way == Way::OutOfFault { 0 } else { 2 };
            let lag = match k {
                _ if k == first => Millis::ZERO,
                LEADER => NEWS_TO_LEADER,
                _ => NEWS_TO_OTHERS,
            };
            let is_due = self.case.change != Change::None && self.now >= self.case.changes_at + lag;
            if is_due && !self.control_knows[k] {
                self.control_knows[k] = self.round_trip(Node::Control(first), own);
            }
        }
    }

    fn is_led(&self, k: usize) -> bool {
        self.now - self.led_at[k] < ELECTION_TIMEOUT
    }

    fn step_polls(&mut self, i: usize) {
        let entry = Node::Entry(i);
        if self.is_dead(entry) {
            return;
        }
        for slot in 0..2 {
            let k = (i + slot) % DOMAINS;
            let control = Node::Control(k);
            let stands_still = self.is(Fault::Standstill, entry);
            let Some(mut poll) = self.entries[i].polls[slot].take() else {
                if !stands_still && self.now >= self.entries[i].paused_until[slot] {
                    let arrived = self.passes(entry, control);
                    let poll = Poll { sent_at: self.now, arrived, reply: None, is_lost: !arrived };
                    self.entries[i].polls[slot] = Some(poll);
                }
                continue;
            };
            let has_news = self.control_knows[k] && !self.entries[i].knows_change;
            if poll.arrived
                && poll.reply.is_none()
                && !poll.is_lost
                && (has_news || self.now - poll.sent_at >= POLL_WAIT)
            {
                poll.reply = Some((self.control_knows[k], self.is_led(k)));
                poll.is_lost = !self.passes(control, entry);
            }
            let is_read = !stands_still && !poll.is_lost;
            if let (true, Some((knows_change, is_led))) = (is_read, poll.reply) {
                self.apply(i, knows_change, is_led, poll.sent_at);
            } else if !stands_still && self.now - poll.sent_at >= POLL_TIMEOUT {
                self.entries[i].paused_until[slot] = self.now + RETRY_PAUSE;
            } else {
                self.entries[i].polls[slot] = Some(poll);
            }
        }
    }

    fn apply(&mut self, i: usize, knows_change: bool, is_led: bool, sent_at: Millis) {
        let now = self.now;
        let entry = &mut self.entries[i];
        if knows_change && !std::mem::replace(&mut entry.knows_change, true) {
            let [before, after] = &self.tables;
            if self.case.change == Change::Service {
                entry.routes.record_settings(now, Some(before), after);
            }
        }
        if is_led {
            entry.versions.record_reply(sent_at, Millis(1 << 40));
        }
    }

    fn view(&self, i: usize) -> VersionView {
        let entry = &self.entries[i];
        let versions: &[&str] = match entry.knows_change && self.case.change == Change::Version {
            true => &["v1", "v2"],
            false => &["v1"],
        };
        let versions = versions.iter().map(|version| (*version).into()).collect();
        VersionView { versions, is_complete: entry.versions.is_complete(self.now) }
    }

    /// A stream begins at what is new, or at what alone there is, and breaks soon after.
    fn begin_stream(&mut self, number: usize) {
        let is_new = self.case.change != Change::None;
        let may_begin = |i: &usize| match self.case.way {
            Way::IntoFault => !self.is_out(Node::Entry(*i)) && self.entries[*i].knows_change,
            Way::InStep => !is_new,
            Way::OutOfFault => self.is_out(Node::Entry(*i)) && self.entries[*i].knows_change,
        };
        let able: Vec<usize> = (0..self.case.entries).filter(may_begin).collect();
        let ends: Vec<usize> = (0..self.case.entries)
            .filter(|i| self.is_out(Node::Entry(*i)) == (self.case.way == Way::IntoFault))
            .collect();
        if able.is_empty() || self.now < CUT_AT {
            return;
        }
        let carrier = able[self.rng.random_range(0..able.len())];
        let at = ends[self.rng.random_range(0..ends.len())];
        let software = if self.case.change == Change::Version { "v2" } else { "v1" };
        let service = if self.case.change == Change::Service { NEW } else { OLD };
        let origin = StreamOrigin {
            stream: key(number),
            service: service.into(),
            endpoint: "e1".into(),
            software: software.into(),
            age: Millis::ZERO,
            time_left: Millis(60_000),
        };
        let now = self.now;
        let is_replicated =
            is_new || !is_single(&self.view(carrier)) || self.is_dead(Node::Entry(carrier));
        self.entries[carrier].origins.record_own(now, &origin, [service.into()].into());
        if is_replicated && !self.is_dead(Node::Entry(carrier)) {
            for peer in holders(origin.stream, &self.peers, HOLDERS) {
                let to = self.peers.iter().position(|other| other == peer).expect("it is listed");
                if to != carrier {
                    self.records.push((now, carrier, to, origin.clone()));
                    self.records.push((now + RECORD_RETRY, carrier, to, origin.clone()));
                }
            }
        }
        let broken_at = now + Millis(self.rng.random_range(40..300));
        let stream = Stream { number, software, service, broken_at, next_try: broken_at, at };
        self.streams.push(stream);
    }

    fn step_records(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.records).into_iter().partition(|r| r.0 <= now);
        self.records = later;
        let due: Vec<(Millis, usize, usize, StreamOrigin)> = due;
        for (_, from, to, origin) in due {
            if self.passes(Node::Entry(from), Node::Entry(to)) {
                let from = self.peers[from].entry.clone();
                self.entries[to].waiting.push((origin, from));
            }
        }
        for i in 0..self.case.entries {
            // After a standstill a call may be answered before older ones have been read.
            let is_read = !self.is(Fault::Standstill, Node::Entry(i)) && self.rng.random_bool(0.7);
            if is_read {
                let entry = &mut self.entries[i];
                for (origin, from) in entry.waiting.drain(..) {
                    entry.origins.record_replica(now, &origin, &from);
                }
            }
        }
    }

    /// Asks other instances for a stream; returns what is concluded at once, as in 40 ms little else
    /// happens.
    fn look_up(&mut self, i: usize, number: usize) -> TakeUp {
        let (now, stream) = (self.now, key(number));
        let revision =
            usize::from(self.entries[i].knows_change && self.case.change == Change::Service);
        let route = self.tables[revision].find("h", "/a/b").expect("it has a route");
        let origins = self.entries[i].routes.origins(now, route, "/a/b");
        let own = self.view(i);
        if let Some(known) = self.entries[i].origins.find(now, stream) {
            return decide(Some(known), &origins, [own]);
        }
        let asked: Vec<EntryPeer> =
            holders(stream, &self.peers, ASKED).into_iter().cloned().collect();
        let EntryPeer { entry, domain, .. } = &self.peers[i];
        let mut inquiry = Inquiry::new(entry, domain, &asked, own);
        for peer in &asked {
            let j = self.peers.iter().position(|other| other == peer).expect("it is listed");
            let node = Node::Entry(j);
            let is_answered = j != i
                && !self.is(Fault::Standstill, node)
                && self.round_trip(Node::Entry(i), node);
            if self.is(Fault::Dead, node) {
                inquiry.record_end(&peer.entry);
            } else if is_answered {
                let known = self.entries[j].origins.find(now, stream);
                let origin = known.map(|known| known.origin);
                inquiry.record_reply(&peer.entry, FindStreamReply { origin, view: self.view(j) });
            }
        }
        for k in [i % DOMAINS, (i + 1) % DOMAINS] {
            if self.round_trip(Node::Entry(i), Node::Control(k)) {
                let reply = self.confirm(k);
                inquiry.record_confirmation(self.tables[revision].revision, reply);
            }
        }
        inquiry.decide(&origins)
    }

    fn confirm(&mut self, k: usize) -> ConfirmVersionsReply {
        let has_leader = self.round_trip(Node::Control(k), Node::Control(LEADER));
        let is_version = self.control_knows[k] && self.case.change == Change::Version;
        let versions: &[&str] = if is_version { &["v1", "v2"] } else { &["v1"] };
        // With a leader it has applied each revision that is in force anywhere.
        let is_moved = self.case.change == Change::Service && self.now >= self.case.changes_at;
        let revision = if is_moved && has_leader { 2 } else { 1 };
        ConfirmVersionsReply {
            has_leader,
            versions: versions.iter().map(|version| (*version).into()).collect(),
            revision: Some(Revision(revision)),
            recorded: None,
        }
    }

    fn step_streams(&mut self) {
        for index in (0..self.streams.len()).rev() {
            let Stream { number, software, service, broken_at, next_try, at } = self.streams[index];
            // Callers wait for an answer of an instance that stands still.
            if self.now < next_try || self.is(Fault::Standstill, Node::Entry(at)) {
                continue;
            }
            let is_first = next_try == broken_at;
            self.counts.taken_up += usize::from(is_first);
            let (is_over, is_right) = match self.look_up(at, number) {
                TakeUp::Known(KnownStream { origin, .. }) => {
                    (true, origin.software == software.into() && origin.service == service.into())
                }
                TakeUp::Single(single) => {
                    let drawn =
                        if self.case.change == Change::Service && self.entries[at].knows_change {
                            NEW
                        } else {
                            OLD
                        };
                    (true, single == software.into() && service == drawn)
                }
                TakeUp::Unknown => (self.now - broken_at > PATIENCE, true),
            };
            let went_on = is_over && self.now - broken_at <= PATIENCE;
            self.counts.joined += usize::from(!is_right);
            self.counts.at_once += usize::from(went_on && is_right && is_first);
            self.counts.later += usize::from(went_on && is_right && !is_first);
            if is_over {
                self.streams.swap_remove(index);
            } else {
                self.streams[index].next_try = self.now + RETRY_PAUSE;
            }
        }
    }

    fn run(mut self) -> Counts {
        let mut number = 0;
        while self.now < END {
            self.step_controls();
            (0..self.case.entries).for_each(|i| self.step_polls(i));
            self.step_records();
            if self.now.0.is_multiple_of(STREAM_INTERVAL) && self.now + PATIENCE < END {
                number += 1;
                self.begin_stream(number);
            }
            self.step_streams();
            self.now = self.now + STEP;
        }
        self.counts
    }
}

/// Plays a case with changes at several times; returns the sums.
fn play(case: Case) -> Counts {
    let mut sum = Counts::default();
    for seed in 0..u64::from(random::cases(12)) {
        let first = random::seed(1);
        let changes_at = CUT_AT + Millis(90 * (seed % 12)) + case.changes_at;
        let counts = World::new(Case { changes_at, ..case }, first + seed).run();
        sum.taken_up += counts.taken_up;
        sum.joined += counts.joined;
        sum.at_once += counts.at_once;
        sum.later += counts.later;
    }
    println!("{case:?}: {sum:?}");
    sum
}

const SIZES: [usize; 3] = [3, 14, 90];

/// Plays a fault with all numbers of entry instances; returns the cases with joined streams.
fn joined(change: Change, fault: Fault, (out, way): (Out, Way), lasts: u64) -> Vec<String> {
    let cases = SIZES.map(|entries| Case {
        entries,
        change,
        fault,
        out,
        way,
        changes_at: Millis::ZERO,
        fault_ends_at: CUT_AT + Millis(lasts),
    });
    let counts = cases.map(|case| (case, play(case)));
    for (case, counts) in &counts {
        assert!(counts.taken_up > 100, "{case:?}: {counts:?}");
    }
    let joined = counts.iter().filter(|(_, counts)| counts.joined > 0);
    joined.map(|(case, counts)| format!("{case:?}: {counts:?}")).collect()
}

fn check(joined: Vec<String>) {
    assert!(joined.is_empty(), "{}", joined.join("\n"));
}

const ONE: (Out, Way) = (Out::One, Way::IntoFault);
const DOMAIN: (Out, Way) = (Out::Domain, Way::IntoFault);

const CUTS: [Fault; 4] = [Fault::Both, Fault::Outbound, Fault::Inbound, Fault::Lossy];

/// An instance is cut off, and takes what it heard last for what is true.
#[test]
fn streams_of_a_new_version_are_not_joined_at_an_instance_that_is_cut_off() {
    check(CUTS.iter().flat_map(|cut| joined(Change::Version, *cut, ONE, 3000)).collect());
}

/// The same with a route that moves.
#[test]
fn streams_of_a_new_service_are_not_joined_at_an_instance_that_is_cut_off() {
    check(CUTS.iter().flat_map(|cut| joined(Change::Service, *cut, ONE, 3000)).collect());
}

/// Instances that are cut off together, with a control instance, confirm each other's belief.
#[test]
fn streams_are_not_joined_in_a_failure_domain_that_is_cut_off() {
    let of = |change| CUTS.iter().flat_map(move |cut| joined(change, *cut, DOMAIN, 3000));
    check([Change::Version, Change::Service].into_iter().flat_map(of).collect());
}

/// Instances wake up together, and find old replies in their sockets.
#[test]
fn streams_are_not_joined_at_instances_that_stood_still() {
    let mut all = Vec::new();
    for change in [Change::Version, Change::Service] {
        for out in [ONE, (Out::Half, Way::IntoFault), DOMAIN] {
            for lasts in [600, 1300, 2500] {
                all.extend(joined(change, Fault::Standstill, out, lasts));
            }
        }
    }
    check(all);
}

/// A version joins in a failure domain that is cut off, and nobody outside knows it.
#[test]
fn streams_of_a_version_that_joins_in_a_cut_domain_are_not_joined_outside() {
    check(joined(Change::Version, Fault::Both, (Out::Domain, Way::OutOfFault), 3000));
}

/// With nothing new, take-ups are refused although only one version can have begun them.
#[test]
fn streams_of_a_single_version_go_on_at_instances_in_step() {
    struct Part {
        fault: Fault,
        out: Out,
        /// Least part of the take-ups that goes on at the first try.
        at_once: f64,
    }
    let part = |fault, out, at_once| Part { fault, out, at_once };
    let parts = [
        part(Fault::None, Out::One, 1.0),
        part(Fault::Dead, Out::One, 1.0),
        part(Fault::Dead, Out::Domain, 1.0),
        part(Fault::Both, Out::One, 1.0),
        part(Fault::Both, Out::Domain, 1.0),
        part(Fault::Standstill, Out::Domain, 1.0),
        part(Fault::Dead, Out::Half, 1.0),
        part(Fault::Gone, Out::One, 1.0),
        part(Fault::Gone, Out::Domain, 1.0),
        part(Fault::Gone, Out::Half, 0.3),
    ];
    for Part { fault, out, at_once } in parts {
        for entries in SIZES {
            let case = Case {
                entries,
                change: Change::None,
                fault,
                out,
                way: Way::InStep,
                changes_at: Millis::ZERO,
                fault_ends_at: END,
            };
            let counts = play(case);
            assert!(counts.taken_up > 100, "{case:?}: {counts:?}");
            assert_eq!(counts.joined, 0, "{case:?}: {counts:?}");
            let part = counts.at_once as f64 / counts.taken_up as f64;
            assert!(part >= at_once, "{part:.3} of {case:?}: {counts:?}");
        }
    }
}
