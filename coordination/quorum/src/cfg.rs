//! Timeouts and size limits of a replica.

use sill_base::Millis;

use crate::weakening::Weakening;

/// Timeouts and size limits of a replica; all replicas of a log must use the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cfg {
    /// Longest interval between two messages from a leader to each other replica.
    pub heartbeat_interval: Millis,
    /// How long a follower grants no votes after a message from its leader. It also waits at least
    /// this long before it starts an election.
    pub election_timeout: Millis,
    /// Upper bound of the random time added to `election_timeout` before a replica starts an
    /// election.
    pub election_jitter: Millis,
    /// How long a leader relies on a heartbeat that a quorum acknowledged, from when it was sent.
    ///
    /// Shorter than `election_timeout` by a margin for clock drift: two replicas could hold a lease
    /// at once only if their clocks run apart by more than this share.
    pub lease_duration: Millis,
    /// Maximum number of entries in one message.
    pub max_append_entries: usize,
    /// Number of entries kept before the snapshot index, so that a replica slightly behind needs no
    /// snapshot.
    pub trailing_entries: u64,
    /// The rule that this replica breaks, in tests which show that the checks detect it.
    pub weakening: Option<Weakening>,
}

impl Cfg {
    /// Returns timeouts for control instances with a network latency and a disk sync time of a few
    /// milliseconds each.
    ///
    /// After each loss of a leader, callers of a service wait for the next one: restarted entry
    /// instances get their settings from it, and only the leader gives orders to endpoints. Half
    /// the default timeouts halve that wait.
    pub fn low_latency() -> Self {
        Self {
            heartbeat_interval: Millis(120),
            election_timeout: Millis(500),
            election_jitter: Millis(300),
            lease_duration: Millis(400),
            ..Self::default()
        }
    }
}

impl Default for Cfg {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(250),
            election_timeout: Millis(1000),
            election_jitter: Millis(600),
            lease_duration: Millis(800),
            max_append_entries: 512,
            trailing_entries: 500,
            weakening: None,
        }
    }
}
