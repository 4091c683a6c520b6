//! Decides whether an endpoint that leaves has completed an answer, from when others of its answers
//! ended.
//!
//! An endpoint that ends in order completes its answers one after the other. If it ends otherwise, all
//! its connections close at once, whatever it has announced.

use std::collections::VecDeque;
use std::hash::Hash;

use sill_base::{Map, Millis, Name};

/// Time within which answers have ended together. The kernel closes the connections of a process within
/// a millisecond; entry instances read the ends later.
const TOGETHER: Millis = Millis(20);

/// How long before the announced end of an endpoint its answers may be cut by it.
const LEAVE_MARGIN: Millis = Millis(100);

/// How long ends are kept.
const KEPT: Millis = Millis(4000);

/// Upper bound on the ends that are kept of one endpoint, the newest ones.
const MAX_ENDS: usize = 256;

/// Ends of answers whose connections closed with them, by endpoint.
#[derive(Debug)]
pub struct EndLog<K> {
    by_endpoint: Map<K, VecDeque<(Name, Millis)>>,
}

impl<K> Default for EndLog<K> {
    fn default() -> Self {
        Self { by_endpoint: Map::default() }
    }
}

impl<K> EndLog<K>
where
    K: Eq + Hash,
{
    /// Records that an answer of an endpoint ended at `at`. Of several reports the earliest counts.
    pub fn record(&mut self, now: Millis, endpoint: K, answer: &Name, at: Millis) {
        self.by_endpoint.retain(|_, ends| {
            ends.retain(|(_, at)| now - *at < KEPT);
            !ends.is_empty()
        });
        let ends = self.by_endpoint.entry(endpoint).or_default();
        if let Some((_, known)) = ends.iter_mut().find(|(other, _)| other == answer) {
            // A report only adds to the time.
            *known = at.min(*known);
            return;
        }
        if ends.len() == MAX_ENDS {
            ends.pop_front();
        }
        ends.push_back((answer.clone(), at));
    }

    /// Returns whether another answer of the endpoint ended together with one that ended at `at`.
    pub fn has_other(&self, endpoint: &K, answer: &Name, at: Millis) -> bool {
        self.by_endpoint.get(endpoint).is_some_and(|ends| {
            let mut others = ends.iter().filter(|(other, _)| other != answer);
            others.any(|(_, other)| *other - at <= TOGETHER && at - *other <= TOGETHER)
        })
    }
}

/// Returns whether an endpoint that will be gone at `leaves_at`, if it has said when, may have been gone
/// when an answer ended at `at`.
pub fn may_be_gone(leaves_at: Option<Millis>, at: Millis) -> bool {
    leaves_at.is_some_and(|leaves_at| at + LEAVE_MARGIN >= leaves_at)
}
