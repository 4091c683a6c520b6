//! Whom an entry instance asks for settings: the fan-out tree of its failure domain.

use sill_base::{Millis, Name};

/// Entry instances of a failure domain that ask control instances.
const ROOT_COUNT: usize = 2;

/// Entry instances that each one feeds at most, in a calm domain.
const FAN_OUT: usize = 6;

/// How long one that has left its place in the tree waits before it tries that place again.
const PREFERRED_RETRY_INTERVAL: Millis = Millis(5000);

/// Someone to ask for settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parent {
    /// A peer of the failure domain, by its peer address.
    Peer(Name),
    /// A control instance, by its place in the list of the process settings.
    Control(usize),
}

/// How a question ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The parent is in touch with the control instances, or had something newer.
    Fed,
    /// The parent can't be reached, or is itself cut off.
    Failed,
}

/// Chooses parents. Heads ask control instances, the others the one above them in the tree; each
/// goes on to others when that one fails, and comes back later.
#[derive(Debug)]
pub struct ParentSelector {
    control_count: usize,
    control_offset: usize,
    /// How many parents failed since the last one that fed.
    failures: usize,
    failing_since: Option<Millis>,
}

impl ParentSelector {
    /// Makes the choice for an instance that knows `control_count` control instances; `seed` spreads
    /// instances over them.
    pub fn new(control_count: usize, seed: u64) -> Self {
        let control_offset =
            if control_count == 0 { 0 } else { (seed % control_count as u64) as usize };
        Self { control_count, control_offset, failures: 0, failing_since: None }
    }

    /// Returns whom to ask next. `ranked` are the peer addresses of the domain's live entry
    /// instances in the order of the tree, this one at `place`.
    pub fn next(&mut self, now: Millis, ranked: &[Name], place: usize) -> Option<Parent> {
        if self.failing_since.is_some_and(|at| now - at >= PREFERRED_RETRY_INTERVAL) {
            self.failing_since = None;
            self.failures = 0;
        }
        let candidates = self.candidates(ranked, place);
        let count = candidates.len().max(1);
        candidates.into_iter().nth(self.failures % count)
    }

    /// Takes in how the last question ended.
    pub fn record(&mut self, now: Millis, outcome: Outcome) {
        if outcome == Outcome::Failed {
            self.failures += 1;
            self.failing_since = Some(self.failing_since.unwrap_or(now));
        }
    }

    /// Returns everyone to ask, the preferred one first: the two above in the tree, all control
    /// instances, and then all peers, for in a domain that is cut off any of them may know more.
    fn candidates(&self, ranked: &[Name], place: usize) -> Vec<Parent> {
        let mut candidates = Vec::new();
        if let Some(parent) = parent_place(place).filter(|_| place < ranked.len()) {
            candidates.push(Parent::Peer(ranked[parent].clone()));
            let second = (parent + 1) % place;
            candidates.push(Parent::Peer(ranked[second].clone()));
        }
        let controls =
            (0..self.control_count).map(|i| (i + self.control_offset) % self.control_count);
        candidates.extend(controls.map(Parent::Control));
        let others = ranked.iter().enumerate().filter(|(i, _)| *i != place);
        let peers = others.map(|(_, address)| Parent::Peer(address.clone()));
        let peers: Vec<Parent> = peers.filter(|p| !candidates.contains(p)).collect();
        candidates.extend(peers);
        candidates
    }
}

/// Returns the place above in the tree, or none for a head.
fn parent_place(place: usize) -> Option<usize> {
    (place >= ROOT_COUNT).then(|| (place - ROOT_COUNT) / FAN_OUT)
}
