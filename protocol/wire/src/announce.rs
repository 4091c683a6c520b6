//! Announcements: what an endpoint reports about itself, about once a second.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::software::Software;

/// The incarnation of an instance or endpoint; each restart takes a larger number.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The role that an endpoint plays in its pool.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs both prefill and decode.
    #[default]
    Mixed,
    /// Runs prefill only.
    Prefill,
    /// Runs decode only.
    Decode,
    /// Keeps its weights loaded but takes no requests.
    Standby,
}

/// A model or service that an endpoint can serve.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Servable {
    /// A language model with its version and loaded adapters.
    Model {
        /// The model's name, as in the `model` field of requests.
        model: Name,
        /// The version of the weights.
        #[serde(default)]
        version: Name,
        /// The adapters that are loaded for it.
        #[serde(default)]
        adapters: Vec<Name>,
    },
    /// A plain service.
    Service {
        /// The service's name, as in the path `/s/SERVICE/`.
        service: Name,
    },
}

/// The load of an endpoint, as sampled by the endpoint itself.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued.
    pub queued: u32,
    /// Prompt tokens of queued requests that still need prefill.
    pub queued_tokens: u64,
    /// Tokens held in the prefix cache.
    pub cached_tokens: u64,
    /// Age of the sample when it was sent, in milliseconds.
    pub age: Millis,
}

/// A report of an endpoint's address, capabilities and load, sent to an entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint's name, unique over all failure domains.
    pub name: Name,
    /// The endpoint's incarnation; grows with each restart.
    pub incarnation: Incarnation,
    /// Grows with each announcement of an incarnation, so that delayed copies can be discarded.
    pub sequence: u64,
    /// The address at which it accepts requests, `IP:PORT`.
    pub address: Name,
    /// The failure domain that it runs in.
    pub domain: Name,
    /// The class of its instance.
    #[serde(default)]
    pub class: Name,
    /// Whether the platform may reclaim its instance.
    #[serde(default)]
    pub reclaimable: bool,
    /// Price in thousandths of a currency unit per hour.
    #[serde(default)]
    pub price: u64,
    /// The models and services that it serves.
    pub serves: Vec<Servable>,
    /// The role that it plays in its pool.
    #[serde(default)]
    pub role: Role,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Prefill throughput in tokens per second, by the endpoint's own estimate.
    #[serde(default)]
    pub prefill_tokens_per_s: u32,
    /// Milliseconds between two tokens of an answer, by the endpoint's own estimate.
    #[serde(default)]
    pub decode_ms: u32,
    /// Capacity of its prefix cache, in tokens.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Its load when the announcement was sent.
    #[serde(default)]
    pub load: Load,
    /// Time left until it stops; set only while it is leaving.
    #[serde(default)]
    pub leaving: Option<Millis>,
    /// Whether it refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The version of its software.
    #[serde(default, skip_serializing_if = "Software::is_unnamed")]
    pub software: Software,
}

/// The entry instance's reply to an announcement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Whether the announcement was accepted.
    pub accepted: bool,
    /// Why it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Live entry instances of the failure domain, `IP:PORT`, to send the next announcement to.
    #[serde(default)]
    pub entries: Vec<Name>,
}

impl Announcement {
    /// Returns whether the endpoint serves a model.
    pub fn has_model(&self, wanted: &str) -> bool {
        self.serves
            .iter()
            .any(|s| matches!(s, Servable::Model { model, .. } if model.as_str() == wanted))
    }

    /// Returns whether the endpoint serves a plain service.
    pub fn has_service(&self, wanted: &str) -> bool {
        self.serves
            .iter()
            .any(|s| matches!(s, Servable::Service { service } if service.as_str() == wanted))
    }
}
