//! Messages of endpoints besides announcements: cache events, ledgers, orders and resumed requests.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::{Incarnation, Role};

/// A batch of cache events; batches may be delayed or lost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The endpoint.
    pub name: Name,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the first event; a gap shows that events were lost.
    pub sequence: u64,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// A change of a prefix cache. Blocks are identified by the chained hash of their text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block was stored.
    Stored {
        /// The block's chained hash.
        block: u64,
    },
    /// A block was evicted.
    Dropped {
        /// The block's chained hash.
        block: u64,
    },
    /// The whole cache was cleared.
    Cleared,
}

/// How a run at an endpoint ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The run has not ended.
    #[default]
    Running,
    /// The whole answer was sent.
    Finished,
    /// The client cancelled the request or disconnected.
    Cancelled,
    /// The endpoint was killed.
    Killed,
}

/// One run of a request, as recorded in an endpoint's ledger.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The id of the request.
    pub request: Name,
    /// The number of this attempt of the request.
    pub attempt: u32,
    /// The caller's idempotency key, if it was forwarded.
    #[serde(default)]
    pub idempotency_key: Option<Name>,
    /// The requested path, for plain services.
    #[serde(default)]
    pub path: String,
    /// Number of tokens in the prompt, including the part of the answer that a resumed run
    /// continues.
    pub prompt_tokens: u64,
    /// Number of those tokens that were found in the prefix cache or imported.
    pub cached_tokens: u64,
    /// Number of those tokens that were computed.
    pub computed_tokens: u64,
    /// The index of the first answer token that this run was asked for; 0 unless it resumed an
    /// answer.
    #[serde(default)]
    pub resumed_at: u32,
    /// The source of the run's KV cache, if it was imported.
    #[serde(default)]
    pub imported_from: Option<Name>,
    /// Number of answer tokens that were sent.
    pub sent_tokens: u32,
    /// How the run ended.
    pub end: RunEnd,
}

/// An order from the leader of the control instances to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The leader's term, as the fencing token; endpoints that check it refuse a lower term.
    pub term: u64,
    /// Grows with each order of a term.
    pub sequence: u64,
    /// Time after sending within which the order may be carried out.
    pub not_after: Millis,
    /// The action to carry out.
    pub action: OrderAction,
}

/// The action of an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model.
    LoadModel {
        /// The model to load.
        model: Name,
        /// The version of the weights.
        version: Name,
    },
    /// Unload a model.
    UnloadModel {
        /// The model to unload.
        model: Name,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The model that the adapter applies to.
        model: Name,
        /// The adapter to load.
        adapter: Name,
    },
    /// Change the endpoint's role.
    ChangeRole {
        /// The new role.
        role: Role,
    },
    /// Finish the requests in flight and accept no new ones.
    Drain,
}

/// A notice to an endpoint stand-in or an entry instance that the platform will reclaim it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Time left until the instance is reclaimed.
    pub in_ms: Millis,
}

/// The field `sill_resume` that is added to the body of a resumed request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resume {
    /// The index of the first token to send.
    pub at: u32,
    /// The texts of the tokens before it.
    pub emitted: Vec<String>,
    /// The exported KV cache to import, if there is one.
    #[serde(default)]
    pub kv: Option<KvSource>,
    /// Whether to refuse the request rather than recompute anything, because the run must not be
    /// repeated.
    #[serde(default)]
    pub same_run: bool,
}

/// The source of an exported KV cache.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KvSource {
    /// The address of the exporting endpoint, `IP:PORT`.
    pub address: Name,
    /// The id of the exported prefix.
    pub prefix: Name,
}
