//! What an endpoint says about itself, about once a second.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

/// Which life of an instance is meant; a restart takes a larger one.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The role that an endpoint plays in its pool.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes prompts and answers.
    #[default]
    Mixed,
    /// Computes prompts only.
    Prefill,
    /// Generates answers only.
    Decode,
    /// Keeps its weights but takes no work.
    Standby,
}

/// One thing that an endpoint can serve.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Servable {
    /// A language model with its version and loaded adapters.
    Model {
        /// The model's name as callers ask for it.
        model: Name,
        /// The version of the weights.
        #[serde(default)]
        version: Name,
        /// Adapters that are loaded on top.
        #[serde(default)]
        adapters: Vec<Name>,
    },
    /// A plain service.
    Service {
        /// The service's name as in `/s/SERVICE/`.
        service: Name,
    },
}

/// An endpoint's own view of its load, at the time it was sampled.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait to be computed.
    pub queued_tokens: u64,
    /// Tokens held in the prefix cache.
    pub cached_tokens: u64,
    /// How old the sample was when it was sent, in milliseconds.
    pub age: Millis,
}

/// The announcement of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint's name, unique over all failure domains.
    pub name: Name,
    /// Grows with each restart.
    pub incarnation: Incarnation,
    /// Grows with each announcement of an incarnation, so that late copies are told apart.
    pub sequence: u64,
    /// Where it takes requests, `IP:PORT`.
    pub address: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its machine class.
    #[serde(default)]
    pub class: Name,
    /// Whether the platform may take it back.
    #[serde(default)]
    pub reclaimable: bool,
    /// Price in thousandths of a currency unit an hour.
    #[serde(default)]
    pub price: u64,
    /// What it serves.
    pub serves: Vec<Servable>,
    /// Its role.
    #[serde(default)]
    pub role: Role,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Prompt tokens that it computes in a second, as far as it knows.
    #[serde(default)]
    pub prefill_tokens_per_s: u32,
    /// Milliseconds between two tokens of an answer, as far as it knows.
    #[serde(default)]
    pub decode_ms: u32,
    /// Tokens that its prefix cache holds at most.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Its load.
    #[serde(default)]
    pub load: Load,
    /// Time left until it is gone, once it is leaving.
    #[serde(default)]
    pub leaving: Option<Millis>,
    /// Whether it refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// The entry's answer to an announcement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Whether the announcement was taken in.
    pub accepted: bool,
    /// Why not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Live entry instances of the domain, `IP:PORT`, for the next announcement.
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
