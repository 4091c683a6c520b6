//! Random runs of the router against late, repeated and lost messages, checked at each choice.

mod support;

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Map, Millis, Name};
use sill_route::{Choice, Outcome, Policy};
use sill_wire::endpoint::CacheEvent;
use sill_wire::{Announcement, Incarnation, Load, Priority, Role};

use support::{Checked, ask, endpoint};

const STEPS: u64 = 400;
const ENDPOINTS: usize = 6;

/// Endpoints that live, leave, die and come back, and a network that delays and repeats.
struct World {
    rng: Rng,
    now: Millis,
    lives: Vec<Announcement>,
    delayed: Vec<Announcement>,
    running: Vec<(Name, Name)>,
    events: Map<Name, u64>,
    run: Checked,
}

impl World {
    fn new(seed: u64, policy: Policy) -> Self {
        let lives = (0..ENDPOINTS).map(|i| endpoint(&format!("e{i}"), ["a", "b"][i % 2])).collect();
        Self {
            rng: random::seeded(seed),
            now: Millis(1_000_000),
            lives,
            delayed: Vec::new(),
            running: Vec::new(),
            events: Map::default(),
            run: Checked::with_policy(None, policy),
        }
    }

    fn step(&mut self, number: u64) {
        self.now = self.now + Millis(self.rng.random_range(0..300));
        let chosen = self.rng.random_range(0..ENDPOINTS);
        match self.rng.random_range(0..20) {
            0..6 => self.announce(chosen),
            6..8 => self.deliver_late(),
            8 => self.restart(chosen),
            9 => self.go(chosen),
            10 => self.cache_events(chosen),
            11..16 => self.request(number),
            _ => self.end(),
        }
    }

    fn announce(&mut self, chosen: usize) {
        let running = self.rng.random_range(0..3);
        let age = Millis(self.rng.random_range(0..2000));
        let leaving = self.rng.random_bool(0.1).then_some(Millis(3000));
        let role = if self.rng.random_bool(0.1) { Role::Standby } else { Role::Mixed };
        let life = &mut self.lives[chosen];
        life.sequence += 1;
        life.leaving = life.leaving.or(leaving);
        life.role = role;
        life.load = Load { running, age, ..Load::default() };
        let said = life.clone();
        if self.rng.random_bool(0.3) {
            self.delayed.push(said.clone());
        }
        if self.rng.random_bool(0.9) {
            self.run.announce(self.now, &said);
        }
    }

    fn deliver_late(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let late = self.rng.random_range(0..self.delayed.len());
        let said = self.delayed.swap_remove(late);
        self.run.announce(self.now, &said);
    }

    fn restart(&mut self, chosen: usize) {
        let life = &mut self.lives[chosen];
        life.incarnation = Incarnation(life.incarnation.0 + 1);
        life.sequence = 0;
        life.leaving = None;
        self.events.remove(&life.name);
    }

    fn go(&mut self, chosen: usize) {
        let gone = self.lives[chosen].clone();
        self.run.leave(self.now, &gone);
    }

    fn cache_events(&mut self, chosen: usize) {
        let name = self.lives[chosen].name.clone();
        if self.lives[chosen].sequence == 0 || self.run.router.endpoint_count() == 0 {
            return;
        }
        let next = self.events.entry(name.clone()).or_insert(1);
        *next += self.rng.random_range(0..3);
        let sequence = *next;
        let block = self.rng.random_range(0..4u64) << 32 | self.rng.random_range(0..8u64);
        *next += 1;
        let event = match self.rng.random_range(0..3) {
            0 => CacheEvent::Stored { block },
            1 => CacheEvent::Dropped { block },
            _ => CacheEvent::Cleared,
        };
        if self.run.knows(&name) {
            self.run.cache(self.now, &name, sequence, vec![event]);
        }
    }

    fn request(&mut self, number: u64) {
        let length = self.rng.random_range(0..12);
        let mut ask = ask(number, self.rng.random_range(0..4), length);
        ask.priority =
            [Priority::Low, Priority::Normal, Priority::High][self.rng.random_range(0..3)];
        if self.rng.random_bool(0.2) {
            ask.exclude.push(self.lives[self.rng.random_range(0..ENDPOINTS)].name.clone());
        }
        if let Choice::Endpoint(chosen) = self.run.send(self.now, &ask) {
            self.running.push((chosen.endpoint, ask.request));
        }
    }

    fn end(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let ended = self.rng.random_range(0..self.running.len());
        let (endpoint, request) = self.running.swap_remove(ended);
        let outcome =
            [Outcome::Finished, Outcome::Cancelled, Outcome::Failed][self.rng.random_range(0..3)];
        self.run.end(self.now, &endpoint, &request, outcome);
    }
}

/// Reclaims, restarts, late copies and lost cache events come in any order. Whatever came, a
/// request goes only to an endpoint that is alive as far as was heard, ready and not overfull.
#[test]
fn choices_keep_all_rules() {
    for case in 0..u64::from(random::cases(64)) {
        let seed = random::seed(1) + case;
        for policy in [Policy::Cost, Policy::LeastLoaded, Policy::PrefixOnly, Policy::Random] {
            let mut world = World::new(seed, policy);
            for number in 0..STEPS {
                world.step(number);
                let broken = &world.run.violations;
                assert!(broken.is_empty(), "seed {seed}, step {number}, {policy:?}: {broken:?}");
            }
        }
    }
}
