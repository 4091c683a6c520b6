//! Random runs of the router with late, repeated and lost messages. Each choice is checked.

mod support;

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Map, Millis, Name};
use sill_route::{Choice, Outcome, Policy};
use sill_wire::endpoint::CacheEvent;
use sill_wire::{Announcement, Incarnation, Load, Priority, Role};

use support::{CheckedRouter, endpoint, request};

const STEPS: u64 = 400;
const ENDPOINTS: usize = 6;

/// Endpoints that run, leave, die and restart, and a network that delays, repeats and loses
/// messages.
struct World {
    rng: Rng,
    now: Millis,
    /// The current announcement of each endpoint.
    endpoints: Vec<Announcement>,
    /// Announcements to be delivered later, also if they were delivered already.
    delayed: Vec<Announcement>,
    /// Endpoint and name of each request in flight.
    in_flight: Vec<(Name, Name)>,
    /// Sequence number of the next cache event, by endpoint.
    next_events: Map<Name, u64>,
    checked: CheckedRouter,
}

impl World {
    fn new(seed: u64, policy: Policy) -> Self {
        let endpoints =
            (0..ENDPOINTS).map(|i| endpoint(&format!("e{i}"), ["a", "b"][i % 2])).collect();
        Self {
            rng: random::seeded(seed),
            now: Millis(1_000_000),
            endpoints,
            delayed: Vec::new(),
            in_flight: Vec::new(),
            next_events: Map::default(),
            checked: CheckedRouter::with_policy(None, policy),
        }
    }

    fn step(&mut self, number: u64) {
        self.now = self.now + Millis(self.rng.random_range(0..300));
        let index = self.rng.random_range(0..ENDPOINTS);
        match self.rng.random_range(0..20) {
            0..6 => self.announce(index),
            6..8 => self.deliver_delayed(),
            8 => self.restart(index),
            9 => self.remove(index),
            10 => self.cache_events(index),
            11..16 => self.request(number),
            _ => self.end(),
        }
    }

    fn announce(&mut self, index: usize) {
        let running = self.rng.random_range(0..3);
        let age = Millis(self.rng.random_range(0..2000));
        let leaving = self.rng.random_bool(0.1).then_some(Millis(3000));
        let role = if self.rng.random_bool(0.1) { Role::Standby } else { Role::Mixed };
        let endpoint = &mut self.endpoints[index];
        endpoint.sequence += 1;
        endpoint.leaving = endpoint.leaving.or(leaving);
        endpoint.role = role;
        endpoint.load = Load { running, age, ..Load::default() };
        let announcement = endpoint.clone();
        if self.rng.random_bool(0.3) {
            self.delayed.push(announcement.clone());
        }
        if self.rng.random_bool(0.9) {
            self.checked.announce(self.now, &announcement);
        }
    }

    fn deliver_delayed(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.delayed.len());
        let announcement = self.delayed.swap_remove(index);
        self.checked.announce(self.now, &announcement);
    }

    fn restart(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.incarnation = Incarnation(endpoint.incarnation.0 + 1);
        endpoint.sequence = 0;
        endpoint.leaving = None;
        self.next_events.remove(&endpoint.name);
    }

    fn remove(&mut self, index: usize) {
        let removed = self.endpoints[index].clone();
        self.checked.remove(self.now, &removed);
    }

    fn cache_events(&mut self, index: usize) {
        let name = self.endpoints[index].name.clone();
        if self.endpoints[index].sequence == 0 || self.checked.router.endpoint_count() == 0 {
            return;
        }
        let next = self.next_events.entry(name.clone()).or_insert(1);
        *next += self.rng.random_range(0..3);
        let sequence = *next;
        let block = self.rng.random_range(0..4u64) << 32 | self.rng.random_range(0..8u64);
        *next += 1;
        let event = match self.rng.random_range(0..3) {
            0 => CacheEvent::Stored { block },
            1 => CacheEvent::Dropped { block },
            _ => CacheEvent::Cleared,
        };
        if self.checked.has_announcement(&name) {
            self.checked.publish_cache_events(self.now, &name, sequence, vec![event]);
        }
    }

    fn request(&mut self, number: u64) {
        let length = self.rng.random_range(0..12);
        let mut req = request(number, self.rng.random_range(0..4), length);
        req.priority =
            [Priority::Low, Priority::Normal, Priority::High][self.rng.random_range(0..3)];
        if self.rng.random_bool(0.2) {
            req.exclude.push(self.endpoints[self.rng.random_range(0..ENDPOINTS)].name.clone());
        }
        if let Choice::Endpoint(chosen) = self.checked.send(self.now, &req) {
            self.in_flight.push((chosen.endpoint, req.request));
        }
    }

    fn end(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_flight.len());
        let (endpoint, request) = self.in_flight.swap_remove(index);
        let outcome =
            [Outcome::Finished, Outcome::Cancelled, Outcome::Failed][self.rng.random_range(0..3)];
        self.checked.end(self.now, &endpoint, &request, outcome);
    }
}

/// Reclaims, restarts, late copies and lost cache events happen in any order. A bug in their
/// handling would send a request to an endpoint that is known to be removed, isn't ready or is
/// above its load bound.
#[test]
fn random_events_do_not_lead_to_forbidden_choices() {
    for case in 0..u64::from(random::cases(64)) {
        let seed = random::seed(1) + case;
        for policy in [Policy::Cost, Policy::LeastLoaded, Policy::PrefixOnly, Policy::Random] {
            let mut world = World::new(seed, policy);
            for number in 0..STEPS {
                world.step(number);
                let violations = &world.checked.violations;
                assert!(
                    violations.is_empty(),
                    "rules broken with seed {seed}, step {number}, policy {policy:?}: {violations:?}"
                );
            }
        }
    }
}
