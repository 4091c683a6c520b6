//! Loads of endpoints, as a control instance passes them on between the entry instances that follow it.

use sill_base::{Map, Millis, Name};
use sill_wire::Incarnation;
use sill_wire::link::LoadWord;

/// Loads in one answer, the newest. Were there more endpoints than that, an entry instance with a
/// tenth of a core would spend it on them.
const TOLD: usize = 64;

/// How long a load is passed on. What ran at an endpoint a second ago says little of now.
const LASTS: Millis = Millis(1000);

/// The newest load of each endpoint.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    known: Map<Name, Known>,
    /// Counts what was taken in.
    last: u64,
}

#[derive(Debug)]
struct Known {
    born: Incarnation,
    running: u32,
    queued: u32,
    at: Millis,
    number: u64,
}

impl EndpointLoads {
    /// Takes in what endpoints told an entry instance.
    pub fn record(&mut self, now: Millis, words: Vec<LoadWord>) {
        self.known.retain(|_, known| now - known.at < LASTS);
        for word in words {
            let at = now - word.age;
            let is_news = self.known.get(&word.endpoint).is_none_or(|known| at > known.at);
            if !is_news || word.age >= LASTS {
                continue;
            }
            self.last += 1;
            let LoadWord { endpoint, born, running, queued, .. } = word;
            let known = Known { born, running, queued, at, number: self.last };
            self.known.insert(endpoint, known);
        }
    }

    /// Returns the loads that came after a number, and the number up to which they go.
    pub fn newer_than(&self, now: Millis, seen: u64) -> (u64, Vec<LoadWord>) {
        let newer = self.known.iter().filter(|(_, known)| known.number > seen);
        let mut newer: Vec<(&Name, &Known)> = newer.collect();
        newer.sort_unstable_by_key(|(_, known)| std::cmp::Reverse(known.number));
        newer.truncate(TOLD);
        let words = newer.into_iter().map(|(endpoint, known)| LoadWord {
            endpoint: endpoint.clone(),
            born: known.born,
            running: known.running,
            queued: known.queued,
            age: now - known.at,
        });
        (self.last, words.collect())
    }
}
