//! Choice of the parent that an entry instance polls for settings, in the fan-out tree of its
//! failure domain.

use sill_base::{Millis, Name};

/// Entry instances of a failure domain that poll the control instances: the roots of the tree.
const ROOT_COUNT: usize = 2;

/// Most children of each entry instance while no parent fails.
const FAN_OUT: usize = 6;

/// How long after its first failed poll an instance tries its preferred parent again.
const PREFERRED_RETRY_INTERVAL: Millis = Millis(5000);

/// A process that can be polled for settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parent {
    /// A peer of the failure domain, by its peer address.
    Peer(Name),
    /// A control instance, by its index in the `control` list of the process settings.
    Control(usize),
}

/// Result of a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The parent has contact with the control instances, or returned a newer revision.
    Fed,
    /// The parent is unreachable, has lost contact with the control instances itself, or its reply
    /// was not applied in full.
    Failed,
}

/// Chooses which parent to poll. Roots poll control instances, the others their parent in the tree.
/// After a failure each tries the next candidate, and `PREFERRED_RETRY_INTERVAL`
/// after the first failure the preferred one again.
#[derive(Debug)]
pub struct ParentSelector {
    control_count: usize,
    control_offset: usize,
    /// Failed polls since the preferred parent was last tried anew.
    failures: usize,
    failing_since: Option<Millis>,
}

impl ParentSelector {
    /// Creates a selector for `control_count` control instances. `seed` spreads entry instances
    /// over them.
    pub fn new(control_count: usize, seed: u64) -> Self {
        let control_offset =
            if control_count == 0 { 0 } else { (seed % control_count as u64) as usize };
        Self { control_count, control_offset, failures: 0, failing_since: None }
    }

    /// Returns the parent to poll next. `ranked` are the peer addresses of the domain's live entry
    /// instances in the order of the tree, with this one at index `place`.
    pub fn next(&mut self, now: Millis, ranked: &[Name], place: usize) -> Option<Parent> {
        if self.failing_since.is_some_and(|at| now - at >= PREFERRED_RETRY_INTERVAL) {
            self.failing_since = None;
            self.failures = 0;
        }
        let candidates = self.candidates(ranked, place);
        let count = candidates.len().max(1);
        candidates.into_iter().nth(self.failures % count)
    }

    /// Records the result of the last poll.
    pub fn record(&mut self, now: Millis, outcome: Outcome) {
        if outcome == Outcome::Failed {
            self.failures += 1;
            self.failing_since = Some(self.failing_since.unwrap_or(now));
        }
    }

    /// Returns all possible parents in order of preference: the parent in the tree and the instance
    /// that follows it, all control instances, then all other peers, since in a partitioned domain
    /// any of them may have a newer revision.
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

/// Returns the index of the parent in the tree, or none for a root.
fn parent_place(place: usize) -> Option<usize> {
    (place >= ROOT_COUNT).then(|| (place - ROOT_COUNT) / FAN_OUT)
}
