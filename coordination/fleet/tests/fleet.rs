//! Tests of the fleet under reclaims, refused starts and changing demand, in virtual time.

use std::collections::BTreeMap;

use sill_base::{Machine, Millis, Name};
use sill_fleet::{Action, Event, Fleet, FleetCfg, Offer, OfferKey, ServiceTarget, StartId};
use sill_tree::Placement;

const SLOTS: u32 = 8;

/// A simulated platform that refuses reclaimable starts in some failure domains, and whose
/// instances boot immediately.
struct World {
    now: Millis,
    fleet: Fleet,
    instances: BTreeMap<Name, OfferKey>,
    /// Failure domains that refuse reclaimable starts.
    refusing_domains: Vec<Name>,
    starts: u32,
    stops: u32,
    /// Offers of the requested starts, including refused ones.
    requested: Vec<OfferKey>,
    /// Instances that were ordered to load weights.
    loads: Vec<Name>,
    demand: u32,
}

fn key(domain: &str, reclaimable: bool) -> OfferKey {
    OfferKey { domain: domain.into(), class: "gpu".into(), reclaimable }
}

fn offers(prices: &[(&str, u64, u64)]) -> Vec<Offer> {
    let offer = |domain: &str, price, reclaimable| Offer {
        key: key(domain, reclaimable),
        price,
        slots: SLOTS,
        reclaims_per_1000h: if reclaimable { 20 } else { 0 },
    };
    prices
        .iter()
        .flat_map(|(d, reclaimable, on_demand)| {
            [offer(d, *reclaimable, true), offer(d, *on_demand, false)]
        })
        .collect()
}

impl World {
    fn new(megabytes: u64) -> Self {
        let mut world = Self {
            now: Millis(1),
            fleet: Fleet::new(FleetCfg::default()),
            instances: BTreeMap::new(),
            refusing_domains: Vec::new(),
            starts: 0,
            stops: 0,
            requested: Vec::new(),
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
        world.handle(Event::LeadershipGained { term: 1 });
        world.handle(Event::Settings(vec![target]));
        let prices = [("a", 300, 1000), ("b", 310, 1000), ("c", 320, 1000), ("d", 330, 1000)];
        world.handle(Event::Offers(offers(&prices)));
        world
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.fleet.step(self.now, event, &mut out);
        for action in out {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start { id, key, .. } => {
                self.requested.push(key.clone());
                if key.reclaimable && self.refusing_domains.contains(&key.domain) {
                    return self.handle(Event::StartRefused { id });
                }
                self.starts += 1;
                let instance = Name::from(format!("i{}", self.starts));
                self.instances.insert(instance.clone(), key);
                self.handle(Event::StartGranted { id, instance });
            }
            Action::Stop { instance, .. } => {
                self.stops += 1;
                self.instances.remove(&instance);
                self.handle(Event::InstanceGone { instance });
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
        self.handle(event);
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = self.now + Millis::from_secs(1);
            self.handle(Event::Demand { service: "desk".into(), slots: self.demand });
            for instance in self.instances.keys().cloned().collect::<Vec<_>>() {
                self.announce(&instance, None);
            }
            self.handle(Event::Tick);
        }
    }

    fn slots_without(&self, lost: &str) -> u32 {
        let remaining = self.instances.values().filter(|k| k.domain.as_str() != lost);
        remaining.count() as u32 * SLOTS
    }

    fn assert_survives_any_loss(&self, when: &str) {
        for lost in ["a", "b", "c", "d"] {
            let slots = self.slots_without(lost);
            assert!(
                slots >= self.demand,
                "{when}: {slots} slots for a demand of {} without domain {lost}",
                self.demand
            );
        }
    }
}

/// If the plan followed every change of the demand, instances would be started and stopped in
/// turns, and each move would lose a prefix cache.
#[test]
fn capacity_survives_any_domain_loss_and_swinging_demand_moves_no_instances() {
    let mut world = World::new(0);
    world.run(60);
    world.assert_survives_any_loss("after the start");
    let starts = world.starts;
    for round in 0..60 {
        world.demand = if round % 2 == 0 { 48 } else { 40 };
        world.run(20);
    }
    assert_eq!(
        (world.starts, world.stops),
        (starts, 0),
        "starts and stops changed under a demand swinging between 40 and 48 slots"
    );
}

/// The platform reclaims all reclaimable instances of a failure domain with seconds of notice and
/// refuses new ones there. Without replacements in other domains callers get late answers after the
/// loss of the next one. Without backoff the platform receives a request for the refused offer in
/// every planning step.
#[test]
fn a_reclaimed_domain_is_replaced_at_once_and_refused_offers_back_off() {
    let mut world = World::new(0);
    world.run(60);
    world.refusing_domains.push("a".into());
    world.requested.clear();
    let lost: Vec<Name> = world
        .instances
        .iter()
        .filter(|(_, k)| k.domain.as_str() == "a")
        .map(|(n, _)| n.clone())
        .collect();
    assert!(!lost.is_empty(), "no instance runs in domain a");
    for instance in &lost {
        world.announce(instance, Some(Millis(20_000)));
        assert!(
            !world.requested.is_empty(),
            "the reclaim notice to {instance} requested no replacement"
        );
    }
    for instance in lost {
        world.instances.remove(&instance);
        world.handle(Event::InstanceGone { instance });
    }
    world.run(30);
    world.assert_survives_any_loss("after the wave");
    world.requested.clear();
    world.run(300);
    let refused = world.requested.iter().filter(|k| **k == key("a", true)).count();
    assert!(
        refused <= 8,
        "a refused offer was requested {refused} times in 300 s, at most 8 expected"
    );
}

/// Scaling in too early makes instances flap; scaling in too far leaves too few slots after the
/// loss of a failure domain.
#[test]
fn scale_in_waits_for_the_minimum_stay_and_keeps_enough_capacity() {
    let mut world = World::new(0);
    world.run(60);
    let before = world.instances.len();
    world.demand = 16;
    world.run(600);
    assert_eq!(
        world.instances.len(),
        before,
        "instances were stopped before the minimum stay of 600 s"
    );
    world.run(900);
    assert!(
        world.instances.len() < before,
        "still {before} instances 1500 s after the demand fell to 16 slots"
    );
    world.assert_survives_any_loss("after the scale-in");
}

/// The weights store has a limited rate. If ten endpoints load at once, all of them are ready late.
#[test]
fn weight_loads_are_sequential_and_never_repeated() {
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
    assert_eq!(loads.len(), all, "an endpoint was ordered to load the same weights twice");
    assert_eq!(
        all - 1,
        world.instances.len(),
        "the number of loads differs from the number of instances"
    );
}

/// The leader crashes after it requested instances and before any of them announced itself. A
/// successor that ignored these requests would start all instances a second time.
#[test]
fn a_new_leader_repeats_no_start_from_the_log() {
    let mut world = World::new(0);
    world.run(60);
    let mut successor = World::new(0);
    successor.now = world.now;
    for (i, key) in world.instances.values().enumerate() {
        let id = StartId { term: 1, sequence: i as u64 + 1 };
        successor.handle(Event::StartLogged { id, key: key.clone(), service: "desk".into() });
    }
    successor.handle(Event::LeadershipGained { term: 2 });
    successor.handle(Event::Demand { service: "desk".into(), slots: successor.demand });
    successor.handle(Event::Tick);
    assert_eq!(
        successor.starts, 0,
        "the new leader started instances a second time: {:?}",
        successor.requested
    );
}
