//! What the fleet hears, and what it wants done.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_tree::Placement;

use crate::offer::{Offer, OfferKey};

/// What settings want of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// The service.
    pub service: Name,
    /// Version of its weights; empty for a plain service.
    pub version: Name,
    /// Size of its weights in megabytes; zero for a plain service.
    pub megabytes: u64,
    /// Instances wanted at least.
    pub min_instances: u32,
    /// The highest price of an instance.
    pub price_cap: Option<u64>,
    /// Where instances may run.
    pub placement: Placement,
}

/// Names a start, so that asking the platform again starts nothing twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartId {
    /// The leader's term.
    pub term: u64,
    /// Grows within the term.
    pub sequence: u64,
}

/// What the fleet hears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// This instance leads.
    #[serde(rename = "Leads")]
    LeadershipGained {
        /// Its term.
        term: u64,
    },
    /// This instance no longer leads.
    #[serde(rename = "Deposed")]
    LeadershipLost,
    /// Settings in force.
    Settings(Vec<ServiceTarget>),
    /// Offers of the platform.
    Offers(Vec<Offer>),
    /// Slots of a service in use or waited for, over all entries.
    Demand {
        /// The service.
        service: Name,
        /// The slots.
        slots: u32,
    },
    /// A start that the log has, from this leader or one before.
    StartLogged {
        /// Its name.
        id: StartId,
        /// The offer.
        key: OfferKey,
        /// The service.
        service: Name,
    },
    /// The platform granted a start.
    StartGranted {
        /// Its name.
        id: StartId,
        /// The new instance.
        instance: Name,
    },
    /// The platform refused a start.
    StartRefused {
        /// Its name.
        id: StartId,
    },
    /// An instance announced itself.
    #[serde(rename = "Announced")]
    Announcement {
        /// The instance.
        instance: Name,
        /// The offer it is of.
        key: OfferKey,
        /// The service it is for.
        service: Name,
        /// Whether it has what it needs to serve.
        loaded: bool,
        /// Requests that run on it.
        running: u32,
        /// Time left, once the platform takes it back.
        leaving: Option<Millis>,
    },
    /// An instance is gone.
    #[serde(rename = "Gone")]
    InstanceGone {
        /// The instance.
        instance: Name,
    },
    /// Time passed.
    Tick,
}

/// What the fleet wants done. Every action tells why, for the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Log the start, then ask the platform for an instance.
    Start {
        /// Its name.
        id: StartId,
        /// The offer.
        key: OfferKey,
        /// The service.
        service: Name,
        /// Why.
        why: String,
    },
    /// Order an instance to finish what runs and take nothing new.
    Drain {
        /// The instance.
        instance: Name,
        /// Why.
        why: String,
    },
    /// Ask the platform to stop an instance.
    Stop {
        /// The instance.
        instance: Name,
        /// Why.
        why: String,
    },
    /// Order an instance to load weights.
    LoadModel {
        /// The instance.
        instance: Name,
        /// The model.
        model: Name,
        /// The version of its weights.
        version: Name,
        /// Why.
        why: String,
    },
}
