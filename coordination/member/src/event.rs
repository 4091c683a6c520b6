//! What the membership core hears, and what it asks its caller to do.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::announce::AnnounceReply;
use sill_wire::member::{MemberReply, MemberSync};
use sill_wire::{Announcement, Incarnation};

/// What the core hears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time passed; expected a few times a second.
    Tick,
    /// An endpoint announced itself here.
    #[serde(rename = "Announced")]
    Announcement(Announcement),
    /// A peer asks; answered by [`Action::Reply`] in the same step.
    #[serde(rename = "Asked")]
    PeerRequest(MemberSync),
    /// A peer answered.
    #[serde(rename = "Answered")]
    PeerReply {
        /// The question's number.
        id: u64,
        /// Its answer.
        reply: Box<MemberReply>,
    },
    /// A peer did not answer.
    #[serde(rename = "Failed")]
    RequestFailed {
        /// The question's number.
        id: u64,
    },
    /// The models and services of the settings, for which other domains are asked when the own one
    /// has no free endpoint.
    #[serde(rename = "Wanted")]
    Services(Vec<Name>),
    /// This instance is going to stop.
    #[serde(rename = "Leaving")]
    ShutdownStarted {
        /// Time left.
        left: Millis,
    },
}

/// What the core's caller has to do, in this order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Ask a peer, and report [`Event::PeerReply`] or [`Event::RequestFailed`].
    #[serde(rename = "Ask")]
    SendRequest {
        /// The question's number.
        id: u64,
        /// The peer's address.
        peer: Name,
        /// The question.
        sync: MemberSync,
    },
    /// Answer the peer that asked.
    Reply(Box<MemberReply>),
    /// Answer the endpoint that announced itself.
    #[serde(rename = "Accept")]
    AnnounceReply(AnnounceReply),
    /// Tell the router about an endpoint, ready or leaving.
    #[serde(rename = "Use")]
    UpdateEndpoint {
        /// The announcement.
        announcement: Announcement,
        /// How old it is.
        age: Millis,
    },
    /// Tell the router that an endpoint must not be used.
    #[serde(rename = "Drop")]
    RemoveEndpoint {
        /// The endpoint.
        endpoint: Name,
        /// Its life.
        incarnation: Incarnation,
    },
    /// The router may choose until then; a process that was frozen finds this in the past.
    #[serde(rename = "Trust")]
    AllowRouting {
        /// The end, on this instance's clock.
        until: Millis,
    },
    /// Write to the log.
    Report(Report),
}

/// What operators should see in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Report {
    /// A name is claimed by an endpoint with a lower incarnation than the one in use.
    NameClaimedTwice {
        /// The name.
        endpoint: Name,
        /// The life in use.
        winner: Incarnation,
        /// The life that was refused.
        refused: Incarnation,
    },
    /// An endpoint is leaving.
    EndpointLeaving {
        /// The endpoint.
        endpoint: Name,
        /// The life that ends.
        incarnation: Incarnation,
    },
    /// An endpoint was not heard of for a lease.
    EndpointLost {
        /// The endpoint.
        endpoint: Name,
    },
    /// An entry instance was not heard of and counts as dead.
    EntrySuspected {
        /// The entry instance.
        entry: Name,
    },
    /// An entry instance is back or new.
    EntryJoined {
        /// The entry instance.
        entry: Name,
    },
    /// This process did not run for a while; it asks its peers before it uses what they told it.
    Frozen {
        /// For how long.
        span: Millis,
    },
}
