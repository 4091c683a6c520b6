//! Tests of single decisions of the membership core, most of them as tables of cases.

mod sim;

use sill_base::{Machine, Millis, Name};
use sill_member::{Action, CLOCK_START, Event, MemberCfg, Members, Report, Weakening};
use sill_wire::member::{EntryInfo, MemberReply, RelayedAnnouncement};
use sill_wire::{Announcement, Incarnation};
use sim::{Faults, Sim, announcement};

const NO_FAULTS: Faults = Faults { rate: 0.0, loss: 0.0, has_inner_cuts: false };

/// Milliseconds after which a core without peers counts as settled.
const SETTLED_MS: u64 = 10_000;

fn entry(name: &str) -> EntryInfo {
    EntryInfo {
        name: name.into(),
        incarnation: Incarnation(1),
        sequence: 1,
        domain: "a".into(),
        address: format!("{name}:80").into(),
        peer_address: format!("{name}:81").into(),
        leaving: None,
    }
}

fn core(weakening: Weakening) -> Members {
    let seeds = vec![Name::from("e2:81")];
    let mut cfg = MemberCfg::new(entry("e1"), seeds, 7);
    cfg.weakening = weakening;
    Members::new(cfg)
}

fn step(core: &mut Members, now: u64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    core.step(CLOCK_START + Millis(now), event, &mut out);
    out
}

/// Ticks the core every 200 ms and replies to none of its requests.
fn tick_until(core: &mut Members, from: u64, to: u64) -> Vec<Action> {
    (from..=to).step_by(200).flat_map(|now| step(core, now, Event::Tick)).collect()
}

/// Returns an announcement of the endpoint `m1`.
fn m1(incarnation: u64, sequence: u64, leaving: Option<Millis>) -> Announcement {
    Announcement { sequence, leaving, ..announcement(1, "a".into(), Incarnation(incarnation)) }
}

/// Returns whether an action gives a ready endpoint to the router.
fn is_used(actions: &[Action]) -> bool {
    let ready = |a: &Action| matches!(a, Action::UpdateEndpoint { announcement, .. } if announcement.leaving.is_none());
    actions.iter().any(ready)
}

struct IncarnationCase {
    name: &'static str,
    first: Announcement,
    second: Announcement,
    /// Whether the second announcement is given to the router as ready.
    is_used: bool,
    /// Whether it is reported as a second claim of the name.
    is_reported: bool,
}

/// Guards against requests to an address where no endpoint is left. An endpoint was reclaimed and a
/// new one uses its name, while an announcement of the old one is still in flight or its process
/// still runs.
#[test]
fn an_old_or_leaving_incarnation_is_not_used() {
    let table = [
        IncarnationCase {
            name: "the next announcement",
            first: m1(5, 1, None),
            second: m1(5, 2, None),
            is_used: true,
            is_reported: false,
        },
        IncarnationCase {
            name: "a delayed duplicate",
            first: m1(5, 2, None),
            second: m1(5, 1, None),
            is_used: false,
            is_reported: false,
        },
        IncarnationCase {
            name: "ready again in an incarnation that is leaving",
            first: m1(5, 1, Some(Millis(9000))),
            second: m1(5, 2, None),
            is_used: false,
            is_reported: false,
        },
        IncarnationCase {
            name: "ready in a new incarnation after leaving",
            first: m1(5, 1, Some(Millis(9000))),
            second: m1(6, 1, None),
            is_used: true,
            is_reported: false,
        },
        IncarnationCase {
            name: "an old incarnation",
            first: m1(5, 1, None),
            second: m1(4, 99, None),
            is_used: false,
            is_reported: true,
        },
        IncarnationCase {
            name: "another endpoint with the same name and incarnation",
            first: m1(5, 1, None),
            second: Announcement { address: "10.9.9.9:1".into(), ..m1(5, 2, None) },
            is_used: false,
            is_reported: true,
        },
    ];
    for case in table {
        let mut core = core(Weakening::None);
        tick_until(&mut core, 0, SETTLED_MS);
        step(&mut core, SETTLED_MS + 1, Event::Announcement(case.first));
        let actions = step(&mut core, SETTLED_MS + 2, Event::Announcement(case.second));
        assert_eq!(is_used(&actions), case.is_used, "{}", case.name);
        let is_claim = |a: &Action| matches!(a, Action::Report(Report::NameClaimedTwice { .. }));
        assert_eq!(actions.iter().any(is_claim), case.is_reported, "{}", case.name);
    }
}

struct TransitCase {
    name: &'static str,
    /// Age in milliseconds that the reply states for the endpoint's announcement.
    age: u64,
    /// Milliseconds from the request to the reply.
    transit: u64,
    weakening: Weakening,
    is_used: bool,
}

/// Guards against requests to an endpoint that is long gone. A peer's reply waits in a full buffer
/// for seconds, so the ages in it are too low.
#[test]
fn the_transit_time_counts_as_age() {
    let table = [
        TransitCase {
            name: "a recent announcement in a fast reply",
            age: 500,
            transit: 10,
            weakening: Weakening::None,
            is_used: true,
        },
        TransitCase {
            name: "an old announcement in a fast reply",
            age: 11_000,
            transit: 10,
            weakening: Weakening::None,
            is_used: false,
        },
        TransitCase {
            name: "an announcement that gets too old in transit",
            age: 9500,
            transit: 800,
            weakening: Weakening::None,
            is_used: false,
        },
        TransitCase {
            name: "the same, with the transit time ignored",
            age: 9500,
            transit: 800,
            weakening: Weakening::TransitIgnored,
            is_used: true,
        },
    ];
    for case in table {
        let mut core = core(case.weakening);
        let requests = tick_until(&mut core, 0, 0);
        let id = requests.iter().find_map(|a| match a {
            Action::SendRequest { id, .. } => Some(*id),
            _ => None,
        });
        let age = Millis(case.age);
        let reply = MemberReply {
            from: entry("e2"),
            settled: true,
            entries: Vec::new(),
            heartbeats: Vec::new(),
            endpoints: vec![RelayedAnnouncement { announcement: m1(1, 1, None), age }],
            loads: Vec::new(),
            leaving: Vec::new(),
            summaries: Vec::new(),
        };
        let event = Event::PeerReply {
            id: id.expect("the first tick probes the seed"),
            reply: Box::new(reply),
        };
        let actions = step(&mut core, case.transit, event);
        assert_eq!(is_used(&actions), case.is_used, "{}", case.name);
    }
}

/// Guards against requests that are cut off because an entry instance still sends them to an
/// endpoint that the platform is about to reclaim.
#[test]
fn leaving_is_known_by_every_entry_of_the_domain_within_a_second() {
    for (entries, loss) in [(8, 0.0), (36, 0.0), (36, 0.02)] {
        let mut sim = Sim::new(3, entries, 20, 1, Faults { loss, ..NO_FAULTS });
        sim.run(Millis(20_000), Millis::ZERO).expect("all checks of the run hold");
        sim.reclaim(7, Millis(30_000));
        sim.run_until(sim.now + Millis(1000)).expect("all checks of the run hold");
        for node in &sim.nodes {
            let core = node.core.as_ref().expect("no entry instance is stopped");
            let knows = core.is_leaving("m7", Incarnation(1));
            assert!(
                knows,
                "{} of {entries} instances does not know after 1 s that m7 is leaving, loss {loss}",
                node.info.name
            );
        }
    }
}

/// Guards against refusals in a failure domain that is reclaimed as a whole, although other domains
/// have free endpoints.
#[test]
fn endpoints_of_other_domains_are_offered_once_the_own_domain_has_none() {
    let mut sim = Sim::new(5, 9, 12, 3, NO_FAULTS);
    sim.run(Millis(20_000), Millis::ZERO).expect("all checks of the run hold");
    let foreign = |sim: &Sim, node: usize| {
        let node = &sim.nodes[node];
        node.router.values().filter(|a| a.domain != node.info.domain).count()
    };
    assert_eq!(
        foreign(&sim, 0),
        0,
        "foreign endpoints in use although the own domain has free ones"
    );
    for endpoint in (0..12).step_by(3) {
        sim.reclaim(endpoint, Millis(3500));
    }
    sim.run_until(sim.now + Millis(3300)).expect("all checks of the run hold");
    assert!(foreign(&sim, 0) > 0, "no foreign endpoint in use although the own domain has none");
    sim.run_until(sim.now + Millis(30_000)).expect("all checks of the run hold");
    assert_eq!(
        foreign(&sim, 0),
        0,
        "foreign endpoints in use although those of the own domain restarted"
    );
}

/// Guards against a request to an endpoint that is gone. The process of an entry instance is frozen
/// for seconds, as by a SIGSTOP or a live migration of its machine, while the endpoint leaves.
#[test]
fn a_resumed_entry_uses_no_endpoint_before_it_has_synced() {
    let mut sim = Sim::new(9, 6, 6, 1, NO_FAULTS);
    sim.run(Millis(20_000), Millis::ZERO).expect("all checks of the run hold");
    sim.freeze(0, Millis(4000));
    sim.reclaim(3, Millis(60_000));
    sim.run_until(sim.now + Millis(8000)).expect("all checks of the run hold");
    let core = sim.nodes[0].core.as_ref().expect("no entry instance is stopped");
    assert!(core.is_leaving("m3", Incarnation(1)));
    assert_eq!(core.ready().len(), 5);
}

/// Guards against a resent request whose first run is not found: the run is recorded at the home of
/// the request's key, which must be the same for all entry instances.
#[test]
fn all_entries_of_a_domain_name_the_same_home_for_a_key() {
    let mut sim = Sim::new(11, 12, 4, 1, NO_FAULTS);
    sim.run(Millis(30_000), Millis::ZERO).expect("all checks of the run hold");
    for key in ["case-1", "case-2", "case-3"] {
        let homes = sim.nodes.iter().map(|node| {
            let core = node.core.as_ref().expect("no entry instance is stopped");
            core.home_for(node.local(sim.now), key).expect("a live instance is the home").name
        });
        let mut homes: Vec<Name> = homes.collect();
        homes.dedup();
        assert_eq!(homes.len(), 1, "the homes of {key} differ: {homes:?}");
    }
}
