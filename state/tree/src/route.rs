//! Routes and pools: which calls of callers go to which endpoints, byte for byte.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

/// What may be repeated of a route's calls.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A call may run more than once.
    Idempotent,
    /// A call may run once at most.
    #[default]
    NonIdempotent,
    /// The answer is a stream of events; the call may run once at most.
    Stream,
    /// The answer is a stream of events that may go on at another endpoint after any of them.
    ResumableStream,
}

/// Calls of one host below one path.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// The host that callers name.
    pub host: Name,
    /// The beginning of the path; it begins and ends with a slash.
    pub path: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long a caller is kept waiting at most.
    pub timeout_ms: Millis,
    /// The time to the answer, or to its first event, that callers count as good.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<Millis>,
    /// The longest pause between two events that callers count as good.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub interval_ms: Option<Millis>,
    /// The rank of its calls; 0 goes first.
    pub urgency: u8,
    /// The services that its calls go to, by weight.
    pub split: Vec<Share>,
    /// Endpoints that one call may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

/// A service's share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight against the others of the route.
    pub weight: u32,
}

/// A service whose endpoints are reached by routes.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pool {
    /// Where an endpoint tells whether it is healthy.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Name>,
    /// Connections that an endpoint takes from all callers together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<u32>,
    /// What its engines can do, where they are model engines.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub engine: Option<Engine>,
    /// How many endpoints may be ordered; without it there are as many as there are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub capacity: Option<CapacityRange>,
}

/// A model engine.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Engine {
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Tokens that its memory holds, of requests that run and of cached prompts.
    pub cache_tokens: u64,
    /// Whether a running request can be moved to another engine.
    pub moves: bool,
    /// Whether a running request can be copied to another engine as it grows.
    pub backups: bool,
}

/// How many endpoints of a service may be ordered in each failure domain.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacityRange {
    /// At least so many, reclaimable or not.
    pub min: u32,
    /// At most so many, reclaimable or not.
    pub max: u32,
    /// Time from an order until an endpoint serves.
    pub boot_ms: Millis,
    /// Price of a reclaimable endpoint, as a share of the others' price.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reclaimable_price: Option<f64>,
    /// Price of an endpoint by failure domain.
    pub prices: BTreeMap<Name, f64>,
}

/// Bounds on what callers send.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerBounds {
    /// Bytes of a request's headers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header_bytes: Option<u64>,
    /// Bytes of a request's body.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
    /// Time that a connection may stay idle.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_ms: Option<Millis>,
}

impl RouteKind {
    /// All kinds with their names in settings.
    pub const NAMES: [(Self, &'static str); 4] = [
        (Self::Idempotent, "idempotent"),
        (Self::NonIdempotent, "non_idempotent"),
        (Self::Stream, "stream"),
        (Self::ResumableStream, "resumable_stream"),
    ];

    /// Returns whether a call may run again after it may have run.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
