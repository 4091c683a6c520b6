//! The typed settings document of one subtree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::route::{CallerBounds, Pool, Route};

/// The hash of a key or token, as `blake3:` and 64 hexadecimal digits. Settings never hold the
/// secret itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub Name);

/// What a settings file holds. Unknown fields are refused.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Hash of the token that may change this subtree; set by whoever owns the subtree above.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub owner: Option<KeyHash>,
    /// Latency target, handed down.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub latency: Option<LatencyTarget>,
    /// Highest price of an instance in thousandths of a currency unit an hour, handed down.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub price_cap: Option<u64>,
    /// Where endpoints may run, handed down.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// Deadline of requests that name none, handed down.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    /// What all accounts of this subtree may use together; no smaller than what is promised below.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
    /// Models and plain services by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<Name, Account>,
    /// Routes by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<Name, Route>,
    /// Bounds on what callers of the routes send.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller_bounds: Option<CallerBounds>,
}

/// A language-model pool or a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Service {
    /// A language model, asked for by the service's name.
    Model {
        /// The version of the weights.
        #[serde(default, skip_serializing_if = "is_default")]
        version: Name,
        /// Adapters that are loaded on top.
        #[serde(default, skip_serializing_if = "is_default")]
        adapters: Vec<Name>,
        /// Endpoints wanted at least.
        #[serde(default, skip_serializing_if = "is_default")]
        min_endpoints: u32,
        /// Latency target, in place of the subtree's.
        #[serde(default, skip_serializing_if = "is_default")]
        latency: Option<LatencyTarget>,
    },
    /// A plain service, reached below `/s/NAME/`.
    Plain {
        /// Calls that may not be repeated.
        #[serde(default, skip_serializing_if = "is_default")]
        non_idempotent: Vec<CallRule>,
        /// Endpoints wanted at least.
        #[serde(default, skip_serializing_if = "is_default")]
        min_endpoints: u32,
    },
    /// Endpoints that are reached by routes.
    Pool(Pool),
}

/// Marks calls of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// The method, or `*` for all.
    pub method: Name,
    /// A prefix of the path below the service, starting with `/`.
    pub path: String,
}

/// A client account.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Hashes of its keys.
    #[serde(skip_serializing_if = "is_default")]
    pub keys: Vec<KeyHash>,
    /// What it may use over all entry instances.
    #[serde(skip_serializing_if = "is_default")]
    pub limit: Option<Limit>,
    /// Its share against others when capacity is short.
    #[serde(skip_serializing_if = "is_default")]
    pub weight: Option<u32>,
    /// The priority of requests that name none: `low`, `normal` or `high`.
    #[serde(skip_serializing_if = "is_default")]
    pub priority: Option<Name>,
    /// The highest priority that its requests may ask for.
    #[serde(skip_serializing_if = "is_default")]
    pub max_priority: Option<Name>,
    /// Models and services that it may use; all of its subtree when empty.
    #[serde(skip_serializing_if = "is_default")]
    pub services: Vec<Name>,
    /// The rank of its calls on routes, in place of the route's; 0 goes first.
    #[serde(skip_serializing_if = "is_default")]
    pub urgency: Option<u8>,
    /// What it may use at once on routes beyond its limit, in the limit's unit.
    #[serde(skip_serializing_if = "is_default")]
    pub burst: Option<f64>,
    /// Tokens that a call on a route counts with when it names none.
    #[serde(skip_serializing_if = "is_default")]
    pub default_tokens: Option<u64>,
}

/// A limit, over all entry instances.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// Requests a second.
    #[serde(skip_serializing_if = "is_default")]
    pub requests_per_s: Option<f64>,
    /// Prompt and answer tokens a second.
    #[serde(skip_serializing_if = "is_default")]
    pub tokens_per_s: Option<f64>,
}

/// A latency target at the 95th percentile.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyTarget {
    /// Time to the first token.
    pub ttft_ms: Millis,
    /// Time between two tokens.
    pub between_tokens_ms: Millis,
}

/// Where endpoints may run.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Placement {
    /// Failure domains; any when empty.
    #[serde(skip_serializing_if = "is_default")]
    pub domains: Vec<Name>,
    /// Machine classes; any when empty.
    #[serde(skip_serializing_if = "is_default")]
    pub classes: Vec<Name>,
    /// Whether reclaimable instances may be used.
    #[serde(skip_serializing_if = "is_default")]
    pub reclaimable: Option<bool>,
}

impl KeyHash {
    /// Hashes a key or token.
    pub fn of(secret: &str) -> Self {
        Self(format!("blake3:{}", blake3::hash(secret.as_bytes()).to_hex()).into())
    }

    /// Returns whether it has the shape of a hash.
    pub fn is_well_formed(&self) -> bool {
        let is_digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        let digits = self.0.strip_prefix("blake3:");
        digits.is_some_and(|digits| digits.len() == 64 && digits.bytes().all(is_digit))
    }
}

impl CallRule {
    /// Returns whether the rule marks a call.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.method.as_str() == "*" || self.method.eq_ignore_ascii_case(method))
            && path.starts_with(&self.path)
    }
}

/// Fields that say nothing are left out, so that a document reads as it was written.
fn is_default<T>(value: &T) -> bool
where
    T: Default + PartialEq,
{
    *value == T::default()
}
