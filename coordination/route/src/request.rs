//! What is asked of the router, what it hears, and what it answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::endpoint::CacheEvents;
use sill_wire::{Announcement, Incarnation, Priority};

/// What has to serve a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A language model.
    Model(Name),
    /// A plain service.
    Service(Name),
}

/// A request that needs an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRequest {
    /// The request, as named in logs.
    pub request: Name,
    /// What has to serve it.
    pub target: Target,
    /// Chained hashes of the prompt's whole blocks.
    pub blocks: Arc<[u64]>,
    /// Tokens of the prompt, with those already emitted on a resume.
    pub prompt_tokens: u64,
    /// Tokens still wanted at most.
    pub max_tokens: u32,
    /// Its priority.
    pub priority: Priority,
    /// When the whole answer has to be there, on the entry's clock; `Millis::MAX` where never.
    pub deadline: Millis,
    /// Endpoints that must not be chosen, as those that just failed it.
    pub exclude: Vec<Name>,
}

/// The router's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Choice {
    /// Send it there.
    Endpoint(ChosenEndpoint),
    /// Don't send it now.
    Refuse(Refusal),
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChosenEndpoint {
    /// Its name.
    pub endpoint: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it takes requests, `IP:PORT`.
    pub address: Name,
    /// Prompt tokens that it is thought to hold already.
    pub cached_tokens: u64,
    /// Expected time to the first token.
    pub expected_ttft: Millis,
    /// Why this one, for people.
    pub why: String,
}

/// Why a request has no endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Millis,
}

/// Why a request has no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No endpoint that serves it is known or may be chosen.
    NoEndpoint,
    /// All are full.
    Full,
    /// None could meet the deadline.
    Deadline,
}

/// What the router hears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An endpoint announced itself, or membership passed its announcement on.
    Announced {
        /// The announcement.
        announcement: Announcement,
        /// How old it is.
        age: Millis,
    },
    /// Membership took an endpoint out.
    Gone {
        /// The endpoint.
        endpoint: Name,
        /// Its life.
        incarnation: Incarnation,
    },
    /// An endpoint published cache events.
    Cache(CacheEvents),
    /// A request was sent to an endpoint.
    Sent {
        /// The endpoint.
        endpoint: Name,
        /// The request as it was asked.
        ask: RouteRequest,
    },
    /// The first token of an answer came.
    FirstToken {
        /// The endpoint.
        endpoint: Name,
        /// The request.
        request: Name,
    },
    /// A request is no longer at an endpoint.
    Ended {
        /// The endpoint.
        endpoint: Name,
        /// The request.
        request: Name,
        /// Tokens that came.
        tokens: u32,
        /// How it ended there.
        outcome: Outcome,
    },
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer came.
    Finished,
    /// The caller went away, or the request was moved.
    Cancelled,
    /// The endpoint failed.
    Failed,
}
