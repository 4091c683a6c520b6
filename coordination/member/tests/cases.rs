//! Single decisions of the membership core, as tables of cases.

mod sim;

use sill_base::{Machine, Millis, Name};
use sill_member::{Action, Event, MemberCfg, Members, Report, START, Weakening};
use sill_wire::member::{EntryInfo, MemberReply, RelayedAnnouncement};
use sill_wire::{Announcement, Incarnation};
use sim::{Faults, Sim, announcement};

const CALM: Faults = Faults { rate: 0.0, loss: 0.0, inner_cuts: false };

/// A time at which the core counts as settled without peers.
const SETTLED: u64 = 10_000;

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
    core.step(START + Millis(now), event, &mut out);
    out
}

/// Ticks up to a time, and leaves all questions without an answer.
fn tick_until(core: &mut Members, from: u64, to: u64) -> Vec<Action> {
    (from..=to).step_by(200).flat_map(|now| step(core, now, Event::Tick)).collect()
}

fn said(life: u64, sequence: u64, leaving: Option<Millis>) -> Announcement {
    Announcement { sequence, leaving, ..announcement(1, "a".into(), Incarnation(life)) }
}

fn is_used(actions: &[Action]) -> bool {
    let ready = |a: &Action| matches!(a, Action::Use { announcement, .. } if announcement.leaving.is_none());
    actions.iter().any(ready)
}

struct Life {
    what: &'static str,
    first: Announcement,
    then: Announcement,
    is_used: bool,
    is_reported: bool,
}

/// An endpoint was reclaimed and its name taken by a new one, while an announcement of the former
/// is still under way or its process still runs. A user would notice requests that are sent to an
/// address where nobody answers any more.
#[test]
fn only_the_highest_life_that_is_not_leaving_is_used() {
    let table = [
        Life {
            what: "the next announcement",
            first: said(5, 1, None),
            then: said(5, 2, None),
            is_used: true,
            is_reported: false,
        },
        Life {
            what: "a late copy",
            first: said(5, 2, None),
            then: said(5, 1, None),
            is_used: false,
            is_reported: false,
        },
        Life {
            what: "ready again in a life that is leaving",
            first: said(5, 1, Some(Millis(9000))),
            then: said(5, 2, None),
            is_used: false,
            is_reported: false,
        },
        Life {
            what: "back in a new life after leaving",
            first: said(5, 1, Some(Millis(9000))),
            then: said(6, 1, None),
            is_used: true,
            is_reported: false,
        },
        Life {
            what: "an old life",
            first: said(5, 1, None),
            then: said(4, 99, None),
            is_used: false,
            is_reported: true,
        },
        Life {
            what: "another endpoint with the same name and incarnation",
            first: said(5, 1, None),
            then: Announcement { address: "10.9.9.9:1".into(), ..said(5, 2, None) },
            is_used: false,
            is_reported: true,
        },
    ];
    for case in table {
        let mut core = core(Weakening::None);
        tick_until(&mut core, 0, SETTLED);
        step(&mut core, SETTLED + 1, Event::Announced(case.first));
        let actions = step(&mut core, SETTLED + 2, Event::Announced(case.then));
        assert_eq!(is_used(&actions), case.is_used, "{}", case.what);
        let is_claim = |a: &Action| matches!(a, Action::Report(Report::NameClaimedTwice { .. }));
        assert_eq!(actions.iter().any(is_claim), case.is_reported, "{}", case.what);
    }
}

struct Answer {
    what: &'static str,
    age: u64,
    under_way: u64,
    weakening: Weakening,
    is_used: bool,
}

/// A peer's answer lies in a full buffer for seconds, so the endpoint that it calls ready may be
/// long gone. A user would notice a request that waits for a dead endpoint.
#[test]
fn the_time_under_way_counts_as_age() {
    let table = [
        Answer {
            what: "a fresh answer",
            age: 500,
            under_way: 10,
            weakening: Weakening::None,
            is_used: true,
        },
        Answer {
            what: "an old fact",
            age: 11_000,
            under_way: 10,
            weakening: Weakening::None,
            is_used: false,
        },
        Answer {
            what: "an answer that was long under way",
            age: 9500,
            under_way: 800,
            weakening: Weakening::None,
            is_used: false,
        },
        Answer {
            what: "the same, with the time under way left out",
            age: 9500,
            under_way: 800,
            weakening: Weakening::TransitIgnored,
            is_used: true,
        },
    ];
    for case in table {
        let mut core = core(case.weakening);
        let asked = tick_until(&mut core, 0, 0);
        let id = asked.iter().find_map(|a| match a {
            Action::Ask { id, .. } => Some(*id),
            _ => None,
        });
        let age = Millis(case.age);
        let reply = MemberReply {
            from: entry("e2"),
            settled: true,
            entries: Vec::new(),
            heartbeats: Vec::new(),
            endpoints: vec![RelayedAnnouncement { announcement: said(1, 1, None), age }],
            loads: Vec::new(),
            leaving: Vec::new(),
            summaries: Vec::new(),
        };
        let answered =
            Event::Answered { id: id.expect("a question to the seed"), reply: Box::new(reply) };
        let actions = step(&mut core, case.under_way, answered);
        assert_eq!(is_used(&actions), case.is_used, "{}", case.what);
    }
}

/// The platform takes an endpoint back. A user would notice requests that are cut off because an
/// entry instance still sent them there.
#[test]
fn leaving_is_known_by_every_entry_of_the_domain_within_a_second() {
    for (entries, loss) in [(8, 0.0), (36, 0.0), (36, 0.02)] {
        let mut sim = Sim::new(3, entries, 20, 1, Faults { loss, ..CALM });
        sim.run(Millis(20_000), Millis::ZERO).expect("nothing breaks");
        sim.reclaim(7, Millis(30_000));
        sim.run_until(sim.now + Millis(1000)).expect("nothing breaks");
        for node in &sim.nodes {
            let core = node.core.as_ref().expect("it runs");
            let knows = core.is_leaving("m7", Incarnation(1));
            assert!(knows, "{} of {entries} does not know", node.info.name);
        }
    }
}

/// A whole failure domain is reclaimed. A user of that domain would notice refusals although other
/// domains have free endpoints.
#[test]
fn endpoints_of_other_domains_are_offered_once_the_own_domain_has_none() {
    let mut sim = Sim::new(5, 9, 12, 3, CALM);
    sim.run(Millis(20_000), Millis::ZERO).expect("nothing breaks");
    let foreign = |sim: &Sim, node: usize| {
        let node = &sim.nodes[node];
        node.router.values().filter(|a| a.domain != node.info.domain).count()
    };
    assert_eq!(foreign(&sim, 0), 0, "no foreign endpoint is needed");
    for endpoint in (0..12).step_by(3) {
        sim.reclaim(endpoint, Millis(3500));
    }
    sim.run_until(sim.now + Millis(3300)).expect("nothing breaks");
    assert!(foreign(&sim, 0) > 0, "endpoints of other domains are needed");
    sim.run_until(sim.now + Millis(30_000)).expect("nothing breaks");
    assert_eq!(foreign(&sim, 0), 0, "the own ones are back");
}

/// A process is stopped for seconds and goes on, as by a SIGSTOP or a move of its machine, while an
/// endpoint leaves. A user would notice a request sent by the stopped entry to an endpoint that is
/// gone.
#[test]
fn a_frozen_entry_uses_nothing_before_it_has_asked() {
    let mut sim = Sim::new(9, 6, 6, 1, CALM);
    sim.run(Millis(20_000), Millis::ZERO).expect("nothing breaks");
    sim.freeze(0, Millis(4000));
    sim.reclaim(3, Millis(60_000));
    sim.run_until(sim.now + Millis(8000)).expect("nothing breaks");
    let core = sim.nodes[0].core.as_ref().expect("it runs");
    assert!(core.is_leaving("m3", Incarnation(1)));
    assert_eq!(core.ready().len(), 5);
}

/// Entry instances must name the same home for a key, or a resent request would not be found.
#[test]
fn all_entries_of_a_domain_name_the_same_home_for_a_key() {
    let mut sim = Sim::new(11, 12, 4, 1, CALM);
    sim.run(Millis(30_000), Millis::ZERO).expect("nothing breaks");
    for key in ["case-1", "case-2", "case-3"] {
        let homes = sim.nodes.iter().map(|node| {
            let core = node.core.as_ref().expect("it runs");
            core.home_for(node.local(sim.now), key).expect("a home").name
        });
        let mut homes: Vec<Name> = homes.collect();
        homes.dedup();
        assert_eq!(homes.len(), 1, "{key}: {homes:?}");
    }
}
