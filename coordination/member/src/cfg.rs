//! Settings of the membership core.

use sill_base::{Millis, Name};
use sill_wire::member::EntryInfo;

/// Settings of the membership core of one entry instance.
#[derive(Debug, Clone)]
pub struct MemberCfg {
    /// This instance; sequence number zero.
    pub own: EntryInfo,
    /// Peer addresses to try while their entry instances are not known.
    pub seeds: Vec<Name>,
    /// Seed of its random choices.
    pub seed: u64,
    /// Time between two questions to peers of the failure domain.
    pub ask_every: Millis,
    /// Time between two pushes of the same leaving notice to a peer that has not acknowledged it.
    pub push_every: Millis,
    /// Time between two steps from which on this process counts as having been frozen.
    pub frozen_after: Millis,
    /// Age at which an endpoint that is no longer heard of is taken out.
    pub endpoint_lease: Millis,
    /// How long a relayed endpoint may be used after the last news from a peer.
    pub confirm_within: Millis,
    /// How long the router may choose after a tick; one that was frozen longer has to ask first.
    pub trust_for: Millis,
    /// How long after a start or a freeze announcements may still come out of a buffer.
    pub buffered: Millis,
    /// How long after a start or a freeze news of an unsettled peer don't count as confirmation.
    pub unsettled: Millis,
    /// Age at which an entry instance that is no longer heard of is suspected.
    pub suspect_after: Millis,
    /// Age at which a suspected entry instance is dropped.
    pub drop_after: Millis,
    /// How long leaving and replaced lives are remembered.
    pub remember: Millis,
    /// Time between two questions of a gateway to another failure domain.
    pub summary_every: Millis,
    /// Time between two requests for summaries from a peer of the own failure domain.
    pub summary_ask_every: Millis,
    /// How long an endpoint of another failure domain may be used after its domain named it.
    pub foreign_lease: Millis,
    /// Entry instances of a failure domain that speak with other domains.
    pub gateways: usize,
    /// Endpoints that a summary names for each model or service that is asked for.
    pub offered: usize,
    /// A deliberate fault; only tests set one.
    #[doc(hidden)]
    pub weakening: Weakening,
}

/// Deliberate faults, by which tests show that they would notice them.
#[doc(hidden)]
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// None.
    #[default]
    None,
    /// A later announcement of the same life makes a leaving endpoint ready again.
    LeavingNotSticky,
    /// Leaving notices wait for the next question in place of being pushed.
    LeavingNotPushed,
    /// A lower incarnation replaces a higher one.
    OldIncarnationTaken,
    /// After a freeze or a cut, relayed endpoints are used without asking first.
    StaleTrusted,
    /// Ages of relayed news leave out the time that the question was under way.
    TransitIgnored,
}

impl MemberCfg {
    /// Makes the usual settings of an instance.
    pub fn new(own: EntryInfo, seeds: Vec<Name>, seed: u64) -> Self {
        Self {
            own,
            seeds,
            seed,
            ask_every: Millis(1200),
            push_every: Millis(200),
            frozen_after: Millis(1800),
            endpoint_lease: Millis(10_000),
            confirm_within: Millis(3000),
            trust_for: Millis(2000),
            buffered: Millis(1000),
            unsettled: Millis(3000),
            suspect_after: Millis(10_000),
            drop_after: Millis(30_000),
            remember: Millis(3_600_000),
            summary_every: Millis(1000),
            summary_ask_every: Millis(5000),
            foreign_lease: Millis(2500),
            gateways: 2,
            offered: 3,
            weakening: Weakening::None,
        }
    }
}
