//! The typed settings document of one subtree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::route::{CallerBounds, Pool, Route};

/// The hash of a key or token: `blake3:` and 64 lowercase hexadecimal digits. Settings never
/// contain the secret itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub Name);

/// The settings of one subtree, as in a settings file. Unknown fields are rejected.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Hash of the token that may change this subtree. Only the owner of a subtree above may set
    /// it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub owner: Option<KeyHash>,
    /// Latency target of the services; inherited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub latency: Option<LatencyTarget>,
    /// Maximum price of an instance in thousandths of a currency unit per hour; inherited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub price_cap: Option<u64>,
    /// Constraints on where endpoints may run; inherited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// Deadline of requests that don't set one; inherited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    /// Limit of all accounts of this subtree together. It must be at least the sum of the limits of
    /// its accounts and of the subtrees below.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
    /// Models, plain services and pools by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by name, unique within the subtree.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<Name, Account>,
    /// Routes by name, unique within the subtree.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<Name, Route>,
    /// Bounds on the requests and connections of callers of the routes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller_bounds: Option<CallerBounds>,
}

/// A language model, a plain service or a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Service {
    /// A language model, which requests select by the service's name.
    Model {
        /// The required version of the weights; empty if none is required.
        #[serde(default, skip_serializing_if = "is_default")]
        version: Name,
        /// Adapters to load in addition to the model.
        #[serde(default, skip_serializing_if = "is_default")]
        adapters: Vec<Name>,
        /// Minimum number of endpoints.
        #[serde(default, skip_serializing_if = "is_default")]
        min_endpoints: u32,
        /// Latency target that overrides the subtree's.
        #[serde(default, skip_serializing_if = "is_default")]
        latency: Option<LatencyTarget>,
    },
    /// A plain service, whose calls have paths below `/s/NAME/`.
    Plain {
        /// Rules that select the calls that must not be repeated.
        #[serde(default, skip_serializing_if = "is_default")]
        non_idempotent: Vec<CallRule>,
        /// Minimum number of endpoints.
        #[serde(default, skip_serializing_if = "is_default")]
        min_endpoints: u32,
    },
    /// Endpoints that routes send calls to.
    Pool(Pool),
}

/// A rule that selects calls of a plain service by method and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// The HTTP method, or `*` for all methods.
    pub method: Name,
    /// A prefix of the path below the service, starting with `/`.
    pub path: String,
}

/// A client account: its keys, limits and priorities.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Hashes of the keys that identify the account; unique in the tree.
    #[serde(skip_serializing_if = "is_default")]
    pub keys: Vec<KeyHash>,
    /// Limit over all entry instances.
    #[serde(skip_serializing_if = "is_default")]
    pub limit: Option<Limit>,
    /// Weight against other accounts when capacity is short; at least 1.
    #[serde(skip_serializing_if = "is_default")]
    pub weight: Option<u32>,
    /// Priority of requests that don't set one: `low`, `normal` or `high`.
    #[serde(skip_serializing_if = "is_default")]
    pub priority: Option<Name>,
    /// The highest priority that requests may set.
    #[serde(skip_serializing_if = "is_default")]
    pub max_priority: Option<Name>,
    /// Models and services that the account may use. If empty, all services of its subtree and of
    /// those above.
    #[serde(skip_serializing_if = "is_default")]
    pub services: Vec<Name>,
    /// Urgency of its calls on routes, overriding the route's; 0 is the most urgent.
    #[serde(skip_serializing_if = "is_default")]
    pub urgency: Option<u8>,
    /// Burst on routes above the limit, in the unit of the limit.
    #[serde(skip_serializing_if = "is_default")]
    pub burst: Option<f64>,
    /// Tokens charged for a call on a route that doesn't state its number of tokens.
    #[serde(skip_serializing_if = "is_default")]
    pub default_tokens: Option<u64>,
}

/// A rate limit over all entry instances.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// Requests per second. If `None`, the nearest subtree at or above that sets one applies.
    #[serde(skip_serializing_if = "is_default")]
    pub requests_per_s: Option<f64>,
    /// Prompt and answer tokens per second. If `None`, the nearest subtree at or above that sets
    /// one applies.
    #[serde(skip_serializing_if = "is_default")]
    pub tokens_per_s: Option<f64>,
}

/// A latency target at the 95th percentile.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyTarget {
    /// Time to the first token, in milliseconds.
    pub ttft_ms: Millis,
    /// Time between two tokens, in milliseconds.
    pub between_tokens_ms: Millis,
}

/// Constraints on the instances that endpoints may run on.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Placement {
    /// Allowed failure domains; any if empty.
    #[serde(skip_serializing_if = "is_default")]
    pub domains: Vec<Name>,
    /// Allowed machine classes; any if empty.
    #[serde(skip_serializing_if = "is_default")]
    pub classes: Vec<Name>,
    /// Whether reclaimable instances may be used.
    #[serde(skip_serializing_if = "is_default")]
    pub reclaimable: Option<bool>,
}

impl KeyHash {
    /// Returns the hash of a key or token.
    pub fn of(secret: &str) -> Self {
        Self(format!("blake3:{}", blake3::hash(secret.as_bytes()).to_hex()).into())
    }

    /// Returns whether the text has the format of a hash.
    pub fn is_well_formed(&self) -> bool {
        let is_digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        let digits = self.0.strip_prefix("blake3:");
        digits.is_some_and(|digits| digits.len() == 64 && digits.bytes().all(is_digit))
    }
}

impl CallRule {
    /// Returns whether the rule selects a call; the method is compared without case.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.method.as_str() == "*" || self.method.eq_ignore_ascii_case(method))
            && path.starts_with(&self.path)
    }
}

/// Returns whether a field has its default value. Such fields are not serialized, so that a
/// document reads as its author wrote it.
fn is_default<T>(value: &T) -> bool
where
    T: Default + PartialEq,
{
    *value == T::default()
}
