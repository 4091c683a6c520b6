//! Settings of the membership core.

use sill_base::{Millis, Name};
use sill_wire::member::EntryInfo;

/// Settings of the membership core of one entry instance.
#[derive(Debug, Clone)]
pub struct MemberCfg {
    /// This instance, with sequence number zero.
    pub own: EntryInfo,
    /// Peer addresses to probe while it is unknown which entry instances are behind them.
    pub seeds: Vec<Name>,
    /// Seed of the random choices of peers and digest salts.
    pub seed: u64,
    /// Time between two gossip requests to peers of the own failure domain.
    pub sync_interval: Millis,
    /// Time between two pushes of a leaving notice to a peer that has not acknowledged it.
    pub push_interval: Millis,
    /// Time between two steps above which this process counts as having been frozen.
    pub freeze_threshold: Millis,
    /// Age of the latest announcement at which an endpoint is removed from the router.
    pub endpoint_lease: Millis,
    /// How long relayed endpoints may be used after the last confirmation by a peer.
    pub confirmation_timeout: Millis,
    /// How long the router may choose endpoints after a tick. An instance that was frozen for
    /// longer has to sync with a peer first.
    pub routing_lease: Millis,
    /// How long after a start or a freeze announcements may still come from a receive buffer.
    pub buffer_delay: Millis,
    /// Time after a start or a freeze from which this instance counts as settled even without a
    /// confirmation. Before, replies of unsettled peers don't confirm anything.
    pub settle_timeout: Millis,
    /// Age of the latest heartbeat at which an entry instance is suspected.
    pub suspect_after: Millis,
    /// Age of the latest heartbeat at which a suspected entry instance is removed from the table.
    pub drop_after: Millis,
    /// How long leaving incarnations, and endpoints that the router doesn't have, are kept.
    pub retention: Millis,
    /// Time between two summary requests of a gateway to other failure domains.
    pub summary_interval: Millis,
    /// Time between two gossip requests that also request the summaries known to the peer.
    pub summary_sync_interval: Millis,
    /// How long an endpoint of another failure domain may be used after that domain offered it.
    pub foreign_lease: Millis,
    /// Number of entry instances per failure domain that exchange summaries with other domains.
    pub gateway_count: usize,
    /// Maximum number of endpoints that a summary offers for each requested model or service.
    pub max_offers: usize,
    /// A deliberate fault; set only by tests.
    #[doc(hidden)]
    pub weakening: Weakening,
}

/// Deliberate faults. Tests switch them on to show that they detect them.
#[doc(hidden)]
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// No fault.
    #[default]
    None,
    /// A later announcement of the same incarnation makes a leaving endpoint ready again.
    LeavingNotSticky,
    /// Leaving notices are not pushed and spread only by gossip requests.
    LeavingNotPushed,
    /// An announcement of a lower incarnation replaces a higher one.
    OldIncarnationTaken,
    /// Relayed endpoints are used without a confirmation, also after a freeze or a partition.
    StaleTrusted,
    /// The ages of relayed facts don't include the time that the request was in flight.
    TransitIgnored,
}

impl MemberCfg {
    /// Returns the default settings for an instance with these peer addresses to probe.
    pub fn new(own: EntryInfo, seeds: Vec<Name>, seed: u64) -> Self {
        Self {
            own,
            seeds,
            seed,
            sync_interval: Millis(1200),
            push_interval: Millis(200),
            freeze_threshold: Millis(1800),
            endpoint_lease: Millis(10_000),
            confirmation_timeout: Millis(3000),
            routing_lease: Millis(2000),
            buffer_delay: Millis(1000),
            settle_timeout: Millis(3000),
            suspect_after: Millis(10_000),
            drop_after: Millis(30_000),
            retention: Millis(3_600_000),
            summary_interval: Millis(1000),
            summary_sync_interval: Millis(5000),
            foreign_lease: Millis(2500),
            gateway_count: 2,
            max_offers: 3,
            weakening: Weakening::None,
        }
    }
}
