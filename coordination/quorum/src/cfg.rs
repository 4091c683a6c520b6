//! Time spans and sizes of a replica.

use sill_base::Millis;

use crate::weakening::Weakening;

/// Time spans and sizes of a replica; all replicas of a log must use the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cfg {
    /// How often a leader makes itself heard.
    pub heartbeat: Millis,
    /// How long a replica that heard its leader helps nobody else to lead.
    pub election: Millis,
    /// Up to this much is added at random before a replica tries to lead.
    pub election_spread: Millis,
    /// How long a leader relies on a heartbeat that a quorum answered, from when it was sent.
    ///
    /// Shorter than `election` by the drift margin: clocks may run apart by this share before two
    /// replicas could hold a lease at once.
    pub lease: Millis,
    /// The most entries in one message.
    pub max_entries: usize,
    /// Entries kept behind a snapshot, for replicas that are a little late.
    pub trailing_entries: u64,
    /// The one rule to break, in tests that show that breaking it is found.
    pub weakening: Option<Weakening>,
}

impl Cfg {
    /// Makes spans for control instances that are close to each other: a few milliseconds apart, with
    /// disks that sync in a few.
    ///
    /// Callers of a service wait for the leader after each loss: entry instances that restart get
    /// settings from it, and it alone orders endpoints. Half the usual span halves that.
    pub fn low_latency() -> Self {
        Self {
            heartbeat: Millis(120),
            election: Millis(500),
            election_spread: Millis(300),
            lease: Millis(400),
            ..Self::default()
        }
    }
}

impl Default for Cfg {
    fn default() -> Self {
        Self {
            heartbeat: Millis(250),
            election: Millis(1000),
            election_spread: Millis(600),
            lease: Millis(800),
            max_entries: 512,
            trailing_entries: 500,
            weakening: None,
        }
    }
}
