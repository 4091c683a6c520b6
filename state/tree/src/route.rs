//! Routes and pools: which calls are forwarded, byte for byte, to which endpoints.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

/// Whether a route's calls may be repeated, and how they are answered.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A call may be executed more than once.
    Idempotent,
    /// A call may be executed at most once.
    #[default]
    NonIdempotent,
    /// The answer is a stream of events, and the call may be executed at most once.
    Stream,
    /// The answer is a stream of events that another endpoint can resume after any event.
    ResumableStream,
}

/// A route for the calls of one host below one path.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// The host that callers send in the request.
    pub host: Name,
    /// Prefix of the path; it begins and ends with a slash.
    pub path: Name,
    /// Whether calls may be repeated, and how they are answered.
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout_ms: Millis,
    /// Target for the time to the answer, or to its first event; callers count answers within it as
    /// good.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<Millis>,
    /// Target for the longest pause between two events; callers count streams within it as good.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub interval_ms: Option<Millis>,
    /// Urgency of its calls; 0 is the most urgent.
    pub urgency: u8,
    /// Services that its calls are split among by weight.
    pub split: Vec<Share>,
    /// Maximum number of times that one call may be sent so that it may run.
    pub max_attempts: u32,
    /// Whether calls without a key are accepted.
    pub anonymous: bool,
}

/// A service's share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of a service of this subtree or one above.
    pub service: Name,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A service whose endpoints receive calls through routes.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pool {
    /// Path of the health check of an endpoint.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Name>,
    /// Maximum number of connections that an endpoint accepts from all callers together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<u32>,
    /// Capabilities of its engines, if they are model engines.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub engine: Option<Engine>,
    /// How many endpoints may be ordered. If `None`, the number of endpoints is not managed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub capacity: Option<CapacityRange>,
}

/// The capabilities of a model engine.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Size of its KV cache in tokens, of running requests and cached prompts together.
    pub cache_tokens: u64,
    /// Whether a running request can be migrated to another engine.
    pub moves: bool,
    /// Whether a running request can be replicated to another engine while it grows.
    pub backups: bool,
}

/// How many endpoints of a service may be ordered in each failure domain.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacityRange {
    /// Minimum number of endpoints, reclaimable or not.
    pub min: u32,
    /// Maximum number of endpoints, reclaimable or not.
    pub max: u32,
    /// Time from the order of an endpoint until it serves calls; may be 0.
    pub boot_ms: Millis,
    /// Price of a reclaimable endpoint as a fraction of the price of other endpoints.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reclaimable_price: Option<f64>,
    /// Price of an endpoint by failure domain.
    pub prices: BTreeMap<Name, f64>,
}

/// Bounds on requests and connections of callers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerBounds {
    /// Maximum size of a request's headers in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header_bytes: Option<u64>,
    /// Maximum size of a request's body in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
    /// Maximum time that a connection may be idle.
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

    /// Returns whether a call may be sent again although it may have been executed.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
