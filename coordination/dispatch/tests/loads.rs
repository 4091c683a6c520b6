//! Loads of endpoints, passed on between many entry instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sill_base::{Millis, Name};
use sill_dispatch::{
    EndpointLoads, Placement, PlacementDecision, PlacementRequest, Pool, PoolCfg, Prompt,
    PromptPart,
};
use sill_route::Outcome;
use sill_wire::Incarnation;
use sill_wire::link::{EndpointFact, EndpointState, LoadWord};

const SLOTS: u32 = 24;

fn word(endpoint: &str, born: u64, running: u32, age: u64) -> LoadWord {
    let born = Incarnation(born);
    LoadWord { endpoint: endpoint.into(), born, running, queued: 0, age: Millis(age) }
}

fn fact(endpoint: &Name, born: u64) -> EndpointFact {
    EndpointFact {
        endpoint: endpoint.clone(),
        born: Incarnation(born),
        service: "desk".into(),
        domain: "a".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        slots: SLOTS,
        sequence: 1,
        state: EndpointState::Ready,
        reclaimable: false,
        leaves_in: None,
        age: Millis::ZERO,
    }
}

fn pool(seed: u64) -> Pool {
    let (service, domain) = ("desk".into(), "a".into());
    Pool::new(PoolCfg { service, domain, is_engine: true, cache_tokens: 500_000, seed })
}

/// Where a call went that was answered by `e1`.
fn place() -> Placement {
    Placement {
        endpoint: "e1".into(),
        incarnation: Incarnation(3),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        fresh_tokens: 0,
        sent_at: Millis(1000),
        reason: String::new(),
    }
}

#[test]
fn the_newest_load_is_told_once_to_each_reader() {
    let mut loads = EndpointLoads::default();
    loads.record(Millis(1000), vec![word("e1", 0, 5, 100), word("e2", 0, 7, 0)]);
    let (seen, told) = loads.newer_than(Millis(1000), 0);
    assert_eq!(told.len(), 2);
    assert!(loads.newer_than(Millis(1000), seen).1.is_empty());
    // An older word comes later, through another entry instance.
    loads.record(Millis(1050), vec![word("e1", 0, 1, 300)]);
    assert!(loads.newer_than(Millis(1050), seen).1.is_empty());
    loads.record(Millis(1100), vec![word("e1", 0, 9, 0)]);
    let (_, told) = loads.newer_than(Millis(1150), seen);
    assert_eq!(told, [word("e1", 0, 9, 50)]);
}

#[test]
fn a_frozen_or_false_word_has_a_bounded_effect() {
    // An entry instance freezes and tells loads of long ago, an endpoint has started again, or a word names
    // an endpoint that nobody knows. None of them may make a busy endpoint look idle.
    struct Case {
        name: &'static str,
        word: LoadWord,
    }
    let cases = [
        Case { name: "older than what it told here", word: word("e1", 3, 0, 500) },
        Case { name: "of an earlier life", word: word("e1", 2, 0, 0) },
        Case { name: "of an unknown endpoint", word: word("e9", 3, 0, 0) },
    ];
    for Case { name, word } in cases {
        let mut pool = pool(1);
        pool.update_endpoint(Millis(1000), &fact(&"e1".into(), 3));
        let place = place();
        pool.record_load(Millis(1200), &place, 20, 0);
        pool.record_remote_load(Millis(1300), &word);
        let told: Vec<LoadWord> = pool.recent_loads(Millis(1300), Millis(600)).collect();
        assert_eq!(told, [LoadWord { age: Millis(100), ..self::word("e1", 3, 20, 0) }], "{name}");
    }
    let mut loads = EndpointLoads::default();
    loads.record(Millis(5000), vec![word("e1", 0, 5, 4000)]);
    assert!(loads.newer_than(Millis(5000), 0).1.is_empty(), "it is too old to say anything");
    loads.record(Millis(5000), vec![word("e1", 0, 5, 0)]);
    loads.record(Millis(6500), Vec::new());
    assert!(loads.newer_than(Millis(6500), 0).1.is_empty(), "it has become too old");
}

#[test]
fn an_endpoint_that_refuses_as_full_is_full_whatever_load_it_tells() {
    // An endpoint refuses a call and names its load in the same answer. Taken for idle, it would get the
    // caller's next try, and refuse that as well.
    let mut pool = pool(1);
    pool.update_endpoint(Millis(1000), &fact(&"e1".into(), 3));
    let place = place();
    pool.record_load(Millis(1200), &place, 2, 0);
    pool.mark_full(Millis(1200), &place);
    let told: Vec<LoadWord> = pool.recent_loads(Millis(1200), Millis(600)).collect();
    assert_eq!(told, [LoadWord { queued: SLOTS, ..word("e1", 3, SLOTS, 0) }]);
}

/// Many entry instances before a few endpoints that tell their load with each answer.
struct World {
    entries: Vec<Pool>,
    passes_on: bool,
    loads: EndpointLoads,
    seen: Vec<u64>,
    running: BTreeMap<Name, u32>,
    /// Calls by when they end.
    open: BTreeMap<(Millis, u64), (usize, Placement, Name)>,
    /// How many ran at the endpoint when each call came, beyond its slots.
    waited: Vec<u32>,
}

impl World {
    fn new(entries: usize, endpoints: usize, passes_on: bool) -> Self {
        let names: Vec<Name> = (0..endpoints).map(|i| format!("e{i}").into()).collect();
        let entries = (0..entries).map(|i| {
            let mut pool = pool(i as u64);
            for name in &names {
                pool.update_endpoint(Millis(1), &fact(name, 1));
            }
            pool
        });
        let entries: Vec<Pool> = entries.collect();
        let seen = vec![0; entries.len()];
        let running = names.into_iter().map(|name| (name, 0)).collect();
        let (loads, open, waited) = (EndpointLoads::default(), BTreeMap::new(), Vec::new());
        Self { entries, passes_on, loads, seen, running, open, waited }
    }

    fn end_calls(&mut self, now: Millis) {
        while let Some(entry) = self.open.first_entry().filter(|entry| entry.key().0 <= now) {
            let (i, place, attempt) = entry.remove();
            *self.running.get_mut(&place.endpoint).expect("it is there") -= 1;
            self.entries[i].finish_attempt(now, &place, &attempt, Outcome::Finished);
        }
    }

    fn call(&mut self, now: Millis, number: u64, rng: &mut SmallRng) {
        let i = rng.random_range(0..self.entries.len());
        let parts = vec![
            PromptPart { id: format!("shared{}", rng.random_range(0..40)).into(), tokens: 600 },
            PromptPart { id: format!("own{number}").into(), tokens: 600 },
        ];
        let attempt = Name::from(format!("c{number}"));
        let ask = PlacementRequest {
            attempt: attempt.clone(),
            prompt: Arc::new(Prompt { parts, tokens: 1200, max_output_tokens: 100 }),
            deadline: now + Millis(15_000),
            exclude: Vec::new(),
        };
        let PlacementDecision::Endpoint(place) = self.entries[i].place(now, &ask) else { return };
        let running = self.running.get_mut(&place.endpoint).expect("it is there");
        self.waited.push(running.saturating_sub(SLOTS - 1));
        *running += 1;
        let running = *running;
        self.entries[i].record_first_part(now, &place, &attempt);
        self.entries[i].record_load(now, &place, running, 0);
        let takes = Millis(rng.random_range(500..2500));
        self.open.insert((now + takes, number), (i, place, attempt));
    }

    fn poll(&mut self, now: Millis, i: usize) {
        if !self.passes_on {
            return;
        }
        let words: Vec<LoadWord> = self.entries[i].recent_loads(now, Millis(600)).collect();
        self.loads.record(now, words);
        let (seen, told) = self.loads.newer_than(now, self.seen[i]);
        self.seen[i] = seen;
        told.iter().for_each(|word| self.entries[i].record_remote_load(now, word));
    }
}

/// Returns the part of calls that met an endpoint without a free slot.
fn play(passes_on: bool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut world = World::new(94, 20, passes_on);
    for number in 0..6000_u64 {
        let now = Millis(1000 + number * 5);
        world.end_calls(now);
        world.call(now, number, &mut rng);
        let polls = (0..94).filter(|i| (now.0 / 5 + i).is_multiple_of(50));
        polls.for_each(|i| world.poll(now, i as usize));
    }
    let late = world.waited.iter().filter(|waited| **waited > 0).count();
    late as f64 / world.waited.len() as f64
}

/// Ninety-four entry instances place 200 calls a second at twenty endpoints that have slots for 1.6 times as
/// many. Each has an answer from an endpoint every nine seconds only; going by that, endpoints without a free
/// slot and nearly idle ones look the same, and callers wait for their first words beside idle engines.
#[test]
fn calls_of_many_entry_instances_find_free_slots() {
    let (alone, together) = (play(false), play(true));
    println!("calls without a free slot: {alone:.3} alone, {together:.3} with loads passed on");
    assert!(together < 0.02, "{together:.3} of the calls met an endpoint without a free slot");
}
