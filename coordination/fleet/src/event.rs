//! Inputs and outputs of the fleet's state machine.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_tree::Placement;

use crate::offer::{Offer, OfferKey};

/// Capacity that the settings ask for, for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// Name of the service; also the name of its model, if it has weights.
    pub service: Name,
    /// Version of its weights; empty for a plain service.
    pub version: Name,
    /// Size of its weights in megabytes; zero for a plain service.
    pub megabytes: u64,
    /// Lowest number of instances, whatever the demand is.
    pub min_instances: u32,
    /// Highest price of an instance in thousandths of a currency unit an hour; `None` for no limit.
    pub price_cap: Option<u64>,
    /// Failure domains, machine classes and kinds of offers that are allowed.
    pub placement: Placement,
}

/// Identifies a start request, so that repeating it to the platform starts no second instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartId {
    /// Term of the leader that made the request.
    pub term: u64,
    /// Increases within the term, from 1.
    pub sequence: u64,
}

/// Inputs of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// This control instance became the leader.
    #[serde(rename = "Leads")]
    LeadershipGained {
        /// Term in which it leads.
        term: u64,
    },
    /// This control instance is no longer the leader.
    #[serde(rename = "Deposed")]
    LeadershipLost,
    /// The settings in force, for all services; replaces the previous ones.
    Settings(Vec<ServiceTarget>),
    /// The platform's current offers; replaces the previous ones.
    Offers(Vec<Offer>),
    /// Slots of a service that are in use or that requests wait for, over all entry instances.
    Demand {
        /// The service.
        service: Name,
        /// Number of slots.
        slots: u32,
    },
    /// The replicated log holds a start request, of this leader or of an earlier one.
    StartLogged {
        /// Identifies the request.
        id: StartId,
        /// Offer that the instance is requested from.
        key: OfferKey,
        /// Service that the instance is for.
        service: Name,
    },
    /// The platform granted a start request.
    StartGranted {
        /// Identifies the request.
        id: StartId,
        /// Name of the new instance.
        instance: Name,
    },
    /// The platform refused a start request.
    StartRefused {
        /// Identifies the request.
        id: StartId,
    },
    /// An instance announced its state.
    #[serde(rename = "Announced")]
    Announcement {
        /// The instance.
        instance: Name,
        /// Offer that the instance was started from.
        key: OfferKey,
        /// Service that the instance is for.
        service: Name,
        /// Whether it can serve, with its weights loaded if the service has any.
        loaded: bool,
        /// Number of requests in flight on it.
        running: u32,
        /// Time left before the platform reclaims it, once it has received the notice.
        leaving: Option<Millis>,
    },
    /// An instance no longer exists.
    #[serde(rename = "Gone")]
    InstanceGone {
        /// The instance.
        instance: Name,
    },
    /// Time has passed; the fleet checks timeouts and plans.
    Tick,
}

/// Outputs of the fleet. Every action carries its reason, for the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Append the start to the replicated log, then request an instance from the platform.
    Start {
        /// Identifies the request.
        id: StartId,
        /// Offer to request the instance from.
        key: OfferKey,
        /// Service that the instance is for.
        service: Name,
        /// The reason.
        why: String,
    },
    /// Order an instance to finish its requests in flight and to admit no new ones.
    Drain {
        /// The instance.
        instance: Name,
        /// The reason.
        why: String,
    },
    /// Request the platform to stop an instance.
    Stop {
        /// The instance.
        instance: Name,
        /// The reason.
        why: String,
    },
    /// Order an instance to load weights.
    LoadModel {
        /// The instance.
        instance: Name,
        /// The model.
        model: Name,
        /// Version of the model's weights.
        version: Name,
        /// The reason.
        why: String,
    },
}
