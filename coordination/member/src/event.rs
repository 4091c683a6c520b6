//! Events that the membership core receives, and actions that it requests from its caller.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::announce::AnnounceReply;
use sill_wire::member::{MemberReply, MemberSync};
use sill_wire::{Announcement, Incarnation};

/// Input of the membership core.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A timer tick; expected a few times per second.
    Tick,
    /// An endpoint sent its announcement to this instance.
    #[serde(rename = "Announced")]
    Announcement(Announcement),
    /// A peer sent a request; the same step answers it with [`Action::Reply`].
    #[serde(rename = "Asked")]
    PeerRequest(MemberSync),
    /// A peer replied to a request of this instance.
    #[serde(rename = "Answered")]
    PeerReply {
        /// Identifier of the request, from [`Action::SendRequest`].
        id: u64,
        /// The reply of the peer.
        reply: Box<MemberReply>,
    },
    /// A request to a peer failed or timed out.
    #[serde(rename = "Failed")]
    RequestFailed {
        /// Identifier of the request, from [`Action::SendRequest`].
        id: u64,
    },
    /// The models and services of the settings, whenever they change. Other failure domains are
    /// queried for those that have no free endpoint in the own failure domain.
    #[serde(rename = "Wanted")]
    Services(Vec<Name>),
    /// This instance has begun to shut down.
    #[serde(rename = "Leaving")]
    ShutdownStarted {
        /// Time left until it stops.
        left: Millis,
    },
}

/// Output of the membership core, to be carried out by its caller in the order of emission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send a request to a peer, then report [`Event::PeerReply`] or [`Event::RequestFailed`].
    #[serde(rename = "Ask")]
    SendRequest {
        /// Identifier of the request, unique per core.
        id: u64,
        /// Peer address of the receiver, `IP:PORT`.
        peer: Name,
        /// The body of the request.
        sync: MemberSync,
    },
    /// Reply to the peer whose request this step handles.
    Reply(Box<MemberReply>),
    /// Reply to the endpoint whose announcement this step handles.
    #[serde(rename = "Accept")]
    AnnounceReply(AnnounceReply),
    /// Add an endpoint, ready or leaving, to the router, or update it there.
    #[serde(rename = "Use")]
    UpdateEndpoint {
        /// The latest announcement of the endpoint.
        announcement: Announcement,
        /// Upper bound of the age of the announcement.
        age: Millis,
    },
    /// Remove an endpoint from the router; it must not receive requests any more.
    #[serde(rename = "Drop")]
    RemoveEndpoint {
        /// Name of the endpoint.
        endpoint: Name,
        /// The incarnation to remove.
        incarnation: Incarnation,
    },
    /// Allow the router to choose endpoints until a point in time. Each tick extends it; after a
    /// freeze of the process it lies in the past.
    #[serde(rename = "Trust")]
    AllowRouting {
        /// End of the permission, on the clock of this instance.
        until: Millis,
    },
    /// Write a report to the log.
    Report(Report),
}

/// Changes of the membership that operators see in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Report {
    /// An announcement was refused because another endpoint uses its name, with a higher
    /// incarnation or with the same one at another address.
    NameClaimedTwice {
        /// The name that both endpoints claim.
        endpoint: Name,
        /// The incarnation in use.
        winner: Incarnation,
        /// The incarnation whose announcement was refused.
        refused: Incarnation,
    },
    /// An endpoint is leaving.
    EndpointLeaving {
        /// Name of the endpoint.
        endpoint: Name,
        /// The incarnation that is leaving.
        incarnation: Incarnation,
    },
    /// The lease of an endpoint expired without a new announcement.
    EndpointLost {
        /// Name of the endpoint.
        endpoint: Name,
    },
    /// No heartbeat of an entry instance arrived in time; it counts as dead.
    EntrySuspected {
        /// Name of the entry instance.
        entry: Name,
    },
    /// An entry instance is new, was restarted, or is no longer suspected.
    EntryJoined {
        /// Name of the entry instance.
        entry: Name,
    },
    /// This process was frozen. It syncs with its peers before it uses endpoints that they relayed.
    Frozen {
        /// Time between the last step before the freeze and the first one after it.
        span: Millis,
    },
}
