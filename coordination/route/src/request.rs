//! Requests, events and answers of the router.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_wire::endpoint::CacheEvents;
use sill_wire::{Announcement, Incarnation, Load, Priority, Software, SoftwareFilter};

/// The model or service that a request is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A language model.
    Model(Name),
    /// A service other than a language model.
    Service(Name),
}

/// A request that needs an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRequest {
    /// Name of the request in logs.
    pub request: Name,
    /// The model or service that has to serve it.
    pub target: Target,
    /// Chained hashes of the prompt's whole blocks, from its start.
    pub blocks: Arc<[u64]>,
    /// Tokens of the prompt. On a resume, these include the tokens that were already emitted.
    pub prompt_tokens: u64,
    /// Highest number of tokens still to be generated.
    pub max_tokens: u32,
    /// Priority, which selects the load and waiting bounds of [`PolicyCfg`](crate::PolicyCfg).
    pub priority: Priority,
    /// Time by which the whole answer is due, on the entry instance's clock. `Millis::MAX` means
    /// that there is no deadline.
    pub deadline: Millis,
    /// Endpoints that must not be chosen, such as those at which the request just failed.
    pub exclude: Vec<Name>,
    /// The version that has to serve it because it began the request's answer; none if any may.
    #[serde(default)]
    pub software: Option<Software>,
    /// Versions whose endpoints are left to requests that need them, as long as others have room.
    #[serde(default)]
    pub reserved: Vec<Software>,
    /// The endpoints that may be chosen during a roll-out of software.
    #[serde(default)]
    pub admitted: AdmittedEndpoints,
}

/// Endpoints that may be chosen for a request.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmittedEndpoints {
    /// The versions whose endpoints may be chosen.
    #[serde(default)]
    pub software: SoftwareFilter,
    /// The only endpoints of these that may be chosen; none if all may. They are few, as they are
    /// compared by name.
    #[serde(default)]
    pub only: Option<Arc<[Name]>>,
}

impl AdmittedEndpoints {
    /// Returns whether an endpoint may be chosen.
    pub fn admits(&self, announcement: &Announcement) -> bool {
        self.software.admits(&announcement.software)
            && self.only.as_ref().is_none_or(|only| only.contains(&announcement.name))
    }

    /// Returns whether all endpoints may be chosen.
    pub const fn is_all(&self) -> bool {
        self.software.is_any() && self.only.is_none()
    }
}

/// The router's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Choice {
    /// Send the request to this endpoint.
    Endpoint(ChosenEndpoint),
    /// No endpoint can take the request now.
    Refuse(Refusal),
}

/// The endpoint that the router chose for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChosenEndpoint {
    /// Name of the endpoint.
    pub endpoint: Name,
    /// Incarnation that was chosen.
    pub incarnation: Incarnation,
    /// Address for requests, as `IP:PORT`.
    pub address: Name,
    /// Estimated number of leading prompt tokens that it has cached.
    pub cached_tokens: u64,
    /// Version of its software.
    #[serde(default)]
    pub software: Software,
    /// Expected time to the first token.
    pub expected_ttft: Millis,
    /// The figures behind the choice, as text for people.
    pub why: String,
}

/// The answer to a request that is not sent to any endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Time after which the caller may retry, with jitter.
    pub retry_after: Millis,
}

/// Why no endpoint was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No endpoint that serves the target is known and may be sent requests.
    NoEndpoint,
    /// Every endpoint that may be sent requests is full, or the pool is overloaded.
    Full,
    /// No endpoint is expected to answer before the deadline.
    Deadline,
    /// Every endpoint that may be sent requests has asked for a pause.
    Paused,
}

/// An input that updates the router's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An announcement of an endpoint, from itself or passed on by membership.
    Announced {
        /// The announcement.
        announcement: Announcement,
        /// Time since the endpoint sent it.
        age: Millis,
    },
    /// Membership removed an endpoint.
    Gone {
        /// The endpoint.
        endpoint: Name,
        /// The incarnation that was removed.
        incarnation: Incarnation,
    },
    /// A batch of cache events that an endpoint published.
    Cache(CacheEvents),
    /// A request was sent to an endpoint.
    Sent {
        /// The endpoint.
        endpoint: Name,
        /// The request that was passed to [`Router::choose`](crate::Router::choose).
        ask: RouteRequest,
    },
    /// The first token of an answer was received.
    FirstToken {
        /// The endpoint.
        endpoint: Name,
        /// The request.
        request: Name,
    },
    /// An endpoint rejected a request because it is full.
    Rejected {
        /// The endpoint.
        endpoint: Name,
        /// The request.
        request: Name,
        /// The load that the endpoint reported with the rejection.
        load: Option<Load>,
    },
    /// An endpoint rejected a request of another entry instance while it had its announced load.
    RejectedElsewhere {
        /// The endpoint.
        endpoint: Name,
        /// Time since the rejection.
        age: Millis,
    },
    /// An endpoint rejected a request and asked for a pause.
    Paused {
        /// The endpoint.
        endpoint: Name,
        /// Time for which it is to be sent nothing.
        span: Millis,
    },
    /// Whether an endpoint is brittle has changed.
    Guarded {
        /// The endpoint.
        endpoint: Name,
        /// How it may be used; none if it is not brittle.
        guard: Option<Guard>,
    },
    /// How many requests this entry instance may send to an endpoint has changed.
    Paced {
        /// The endpoint.
        endpoint: Name,
        /// The rate; none if there is no limit.
        rate: Option<SendRate>,
    },
    /// An endpoint reported how long work currently takes there.
    PaceReported {
        /// The endpoint.
        endpoint: Name,
        /// The pace in percent of the usual time.
        percent: u32,
        /// Time since the report.
        age: Millis,
    },
    /// Another entry instance has learned from an answer how fast an endpoint is.
    TimeHeard {
        /// The endpoint.
        endpoint: Name,
        /// The time to the first part, in percent of what is usual for such a call at the endpoint's
        /// pace.
        percent: u32,
    },
    /// A request is no longer at an endpoint.
    Ended {
        /// The endpoint.
        endpoint: Name,
        /// The request.
        request: Name,
        /// Number of tokens received.
        tokens: u32,
        /// How the request ended at this endpoint.
        outcome: Outcome,
    },
}

/// How an endpoint may be used that ends if it has to reject too many requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// Whether this entry instance may send requests there.
    pub is_assigned: bool,
}

/// The requests that this entry instance may send to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SendRate {
    /// Requests per second.
    pub per_s: f64,
    /// Requests that may be sent at once after a pause.
    pub burst: f64,
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer was received.
    Finished,
    /// The caller disconnected, or the request was moved to another endpoint.
    Cancelled,
    /// The endpoint failed the request.
    Failed,
}
