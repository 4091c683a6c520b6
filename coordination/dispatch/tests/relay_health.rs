//! Requests in tunnels that are not answered, and the choice among the entry instances that carry them.

use std::net::SocketAddr;

use sill_base::Millis;
use sill_dispatch::{RelayList, RelayStanding, TICK};
use sill_wire::link::RelayOffer;

const A: usize = 0;
const B: usize = 1;

fn relay(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], 7000 + number as u16))
}

fn endpoint(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8000 + number as u16))
}

/// An entry instance that knows of a relay in its own failure domain, and of one in another.
struct World {
    now: Millis,
    list: RelayList,
}

impl World {
    fn new() -> Self {
        let mut list = RelayList::default();
        let offer = |number, domain: &str| RelayOffer {
            entry: format!("{domain}-{number}").into(),
            domain: domain.into(),
            address: relay(number),
        };
        list.set_offers(vec![offer(A, "a"), offer(B, "b")]);
        Self { now: Millis(60_000), list }
    }

    /// Returns the relay that is asked first.
    fn first(&self, may_repeat: bool) -> SocketAddr {
        let asked = self.list.candidates(self.now, &"a".into(), &"e".into(), may_repeat, 2);
        assert_eq!(asked.len(), 2, "both are asked");
        asked[0].address
    }

    /// Lets time pass, in which only relay B is heard.
    fn pass(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.list.health.record_heard(relay(B));
            self.list.health.tick(self.now);
        }
    }
}

/// A relay that grants tunnels and has lost its own paths is asked first again and again.
#[test]
fn a_relay_through_which_nothing_is_answered_is_asked_last() {
    let mut world = World::new();
    assert_eq!(world.first(false), relay(A), "the own failure domain comes first");
    world.list.health.record_sent(relay(A), endpoint(0));
    world.pass(7);
    assert_eq!(world.first(false), relay(A));
    world.pass(1);
    assert_eq!(world.first(false), relay(B));
    world.list.health.record_end(relay(A), endpoint(0));
    world.pass(20);
    assert_eq!(world.first(false), relay(B), "a call that must not be repeated tries nothing out");
    assert_eq!(world.first(true), relay(A), "one that may be does");
    world.list.health.record_sent(relay(A), endpoint(1));
    assert_eq!(world.first(true), relay(B), "but only one at a time");
    world.list.health.record_heard(relay(A));
    assert_eq!(world.first(false), relay(A), "it is answered");
}

/// A relay that fails each time it is tried costs a call every one and a half seconds.
#[test]
fn a_relay_that_fails_again_is_tried_ever_more_rarely() {
    let mut world = World::new();
    let mut waits = Vec::new();
    for _ in 0..5 {
        world.list.health.record_failure(world.now, relay(A));
        let from = world.now;
        while world.first(true) != relay(A) {
            world.pass(1);
        }
        waits.push((world.now - from).0);
    }
    assert_eq!(waits, [1500, 3000, 6000, 12_000, 12_000]);
}

/// A single engine that computes a long prompt is taken for a relay without paths.
#[test]
fn requests_are_given_up_only_where_the_relay_is_at_fault() {
    struct Case {
        name: &'static str,
        endpoints: &'static [usize],
        is_engine: bool,
        is_other_heard: bool,
        is_stuck: bool,
    }
    let case = |name, endpoints, is_engine, is_other_heard, is_stuck| Case {
        name,
        endpoints,
        is_engine,
        is_other_heard,
        is_stuck,
    };
    let cases = [
        case("a plain endpoint", &[0], false, true, true),
        case("one engine", &[0], true, true, false),
        case("two requests at one engine", &[0, 0], true, true, false),
        case("two engines", &[0, 1], true, true, true),
        case("nobody is answered", &[0, 1], false, false, false),
    ];
    for Case { name, endpoints, is_engine, is_other_heard, is_stuck } in cases {
        let mut world = World::new();
        endpoints.iter().for_each(|at| world.list.health.record_sent(relay(A), endpoint(*at)));
        for _ in 0..8 {
            assert!(!world.list.health.is_stuck(relay(A), is_engine), "{name}");
            world.now = world.now + TICK;
            if is_other_heard {
                world.list.health.record_heard(relay(B));
            }
            world.list.health.tick(world.now);
        }
        assert_eq!(world.list.health.is_stuck(relay(A), is_engine), is_stuck, "{name}");
        endpoints.iter().for_each(|at| world.list.health.record_end(relay(A), endpoint(*at)));
        assert!(!world.list.health.is_stuck(relay(A), is_engine), "{name}: nothing waits");
    }
}

/// A relay that has heard no endpoint for a while may have lost its paths without noticing.
#[test]
fn a_relay_without_calls_of_its_own_is_asked_after_those_that_have_some() {
    let mut world = World::new();
    let health = &mut world.list.health;
    assert!(!health.record_opened(world.now, relay(B), Millis(900)));
    assert!(health.record_opened(world.now, relay(A), Millis(1100)));
    assert_eq!(world.first(false), relay(B));
    assert_eq!(world.list.standing(world.now, relay(A), true), RelayStanding::Unproven);
    world.list.health.record_failure(world.now, relay(B));
    assert_eq!(world.first(false), relay(A), "it comes before one that answers nothing");
    world.list.health.record_heard(relay(A));
    assert!(!world.list.health.record_opened(world.now, relay(A), Millis(5000)), "it was answered");
    world.list.health.record_heard(relay(B));
    world.list.set_offers(Vec::new());
    assert_eq!(world.list.standing(world.now, relay(A), true), RelayStanding::Usable);
}
