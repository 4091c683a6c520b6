//! The fleet through reclaims, refused starts and changing demand, in virtual time.

use std::collections::BTreeMap;

use sill_base::{Machine, Millis, Name};
use sill_fleet::{Action, Event, Fleet, FleetCfg, Offer, OfferKey, ServiceTarget, StartId};
use sill_tree::Placement;

const SLOTS: u32 = 8;

/// A platform that grants starts in some failure domains, and instances that boot at once.
struct World {
    now: Millis,
    fleet: Fleet,
    instances: BTreeMap<Name, OfferKey>,
    refusing: Vec<Name>,
    starts: u32,
    stops: u32,
    asked: Vec<OfferKey>,
    loads: Vec<Name>,
    demand: u32,
}

fn key(domain: &str, reclaimable: bool) -> OfferKey {
    OfferKey { domain: domain.into(), class: "gpu".into(), reclaimable }
}

fn offers(prices: &[(&str, u64, u64)]) -> Vec<Offer> {
    let of = |domain: &str, price, reclaimable| Offer {
        key: key(domain, reclaimable),
        price,
        slots: SLOTS,
        reclaims_per_1000h: if reclaimable { 20 } else { 0 },
    };
    prices.iter().flat_map(|(d, cheap, dear)| [of(d, *cheap, true), of(d, *dear, false)]).collect()
}

impl World {
    fn new(megabytes: u64) -> Self {
        let mut world = Self {
            now: Millis(1),
            fleet: Fleet::new(FleetCfg::default()),
            instances: BTreeMap::new(),
            refusing: Vec::new(),
            starts: 0,
            stops: 0,
            asked: Vec::new(),
            loads: Vec::new(),
            demand: 48,
        };
        let target = ServiceTarget {
            service: "desk".into(),
            version: "1".into(),
            megabytes,
            min_instances: 2,
            price_cap: None,
            placement: Placement::default(),
        };
        world.hear(Event::LeadershipGained { term: 1 });
        world.hear(Event::Settings(vec![target]));
        let prices = [("a", 300, 1000), ("b", 310, 1000), ("c", 320, 1000), ("d", 330, 1000)];
        world.hear(Event::Offers(offers(&prices)));
        world
    }

    fn hear(&mut self, event: Event) {
        let mut out = Vec::new();
        self.fleet.step(self.now, event, &mut out);
        for action in out {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start { id, key, .. } => {
                self.asked.push(key.clone());
                if key.reclaimable && self.refusing.contains(&key.domain) {
                    return self.hear(Event::StartRefused { id });
                }
                self.starts += 1;
                let instance = Name::from(format!("i{}", self.starts));
                self.instances.insert(instance.clone(), key);
                self.hear(Event::StartGranted { id, instance });
            }
            Action::Stop { instance, .. } => {
                self.stops += 1;
                self.instances.remove(&instance);
                self.hear(Event::InstanceGone { instance });
            }
            Action::LoadModel { instance, .. } => self.loads.push(instance),
            Action::Drain { .. } => {}
        }
    }

    fn announce(&mut self, instance: &Name, leaving: Option<Millis>) {
        let event = Event::Announcement {
            instance: instance.clone(),
            key: self.instances[instance].clone(),
            service: "desk".into(),
            loaded: leaving.is_none() && (self.loads.is_empty() || self.loads.contains(instance)),
            running: 0,
            leaving,
        };
        self.hear(event);
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = self.now + Millis::from_secs(1);
            self.hear(Event::Demand { service: "desk".into(), slots: self.demand });
            for instance in self.instances.keys().cloned().collect::<Vec<_>>() {
                self.announce(&instance, None);
            }
            self.hear(Event::Tick);
        }
    }

    fn slots_without(&self, lost: &str) -> u32 {
        let left = self.instances.values().filter(|k| k.domain.as_str() != lost);
        left.count() as u32 * SLOTS
    }

    fn check_survives(&self, what: &str) {
        for lost in ["a", "b", "c", "d"] {
            let left = self.slots_without(lost);
            assert!(left >= self.demand, "{what}: without {lost} {left} slots are left");
        }
    }
}

#[test]
fn demand_is_carried_with_any_domain_lost_and_nothing_flaps() {
    let mut world = World::new(0);
    world.run(60);
    world.check_survives("after the start");
    let starts = world.starts;
    for round in 0..60 {
        world.demand = if round % 2 == 0 { 48 } else { 40 };
        world.run(20);
    }
    assert_eq!((world.starts, world.stops), (starts, 0), "a swinging demand moved instances");
}

/// The platform takes back all reclaimable instances of a failure domain with seconds of warning
/// and refuses new ones there. Without replacements elsewhere callers would see late answers once
/// the next domain goes.
#[test]
fn a_reclaimed_domain_is_replaced_elsewhere_at_once_and_refused_offers_are_left_alone() {
    let mut world = World::new(0);
    world.run(60);
    world.refusing.push("a".into());
    world.asked.clear();
    let lost: Vec<Name> = world
        .instances
        .iter()
        .filter(|(_, k)| k.domain.as_str() == "a")
        .map(|(n, _)| n.clone())
        .collect();
    assert!(!lost.is_empty());
    for instance in &lost {
        world.announce(instance, Some(Millis(20_000)));
        assert!(!world.asked.is_empty(), "the notice alone must order a replacement");
    }
    for instance in lost {
        world.instances.remove(&instance);
        world.hear(Event::InstanceGone { instance });
    }
    world.run(30);
    world.check_survives("after the wave");
    world.asked.clear();
    world.run(300);
    let refused = world.asked.iter().filter(|k| **k == key("a", true)).count();
    assert!(refused <= 8, "a refused offer was asked for {refused} times in 300 s");
}

#[test]
fn scale_in_waits_for_the_minimum_stay_and_keeps_the_need_carried() {
    let mut world = World::new(0);
    world.run(60);
    let before = world.instances.len();
    world.demand = 16;
    world.run(600);
    assert_eq!(world.instances.len(), before, "stopped before the minimum stay");
    world.run(900);
    assert!(world.instances.len() < before, "never scaled in");
    world.check_survives("after the scale-in");
}

/// The store gives weights at a limited rate; loads of ten endpoints at once would all be late.
#[test]
fn weight_loads_go_one_after_another_and_none_twice() {
    let mut world = World::new(20_000);
    world.loads.push("none".into());
    world.run(5);
    let first = world.loads.len();
    assert!(first <= 2, "{first} loads in 5 s, though one takes 10 s");
    world.run(200);
    let mut loads = world.loads.clone();
    loads.sort();
    let all = loads.len();
    loads.dedup();
    assert_eq!(loads.len(), all, "an endpoint was told to load twice");
    assert_eq!(all - 1, world.instances.len(), "each instance loads once");
}

/// The leader dies right after it asked for instances, before any announced itself. A successor that
/// knew nothing of them would start the whole fleet a second time.
#[test]
fn a_new_leader_counts_the_starts_that_the_log_has() {
    let mut world = World::new(0);
    world.run(60);
    let mut successor = World::new(0);
    successor.now = world.now;
    for (i, key) in world.instances.values().enumerate() {
        let id = StartId { term: 1, sequence: i as u64 + 1 };
        successor.hear(Event::StartLogged { id, key: key.clone(), service: "desk".into() });
    }
    successor.hear(Event::LeadershipGained { term: 2 });
    successor.hear(Event::Demand { service: "desk".into(), slots: successor.demand });
    successor.hear(Event::Tick);
    assert_eq!(successor.starts, 0, "started a second time: {:?}", successor.asked);
}
