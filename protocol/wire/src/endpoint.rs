//! What endpoints publish, report and are told.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::{Incarnation, Role};

/// A batch of cache events; batches come late, and some are lost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The endpoint.
    pub name: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of the first event; a jump shows that some were lost.
    pub sequence: u64,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache. Blocks are named by the chained hash of their text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block was stored.
    Stored {
        /// The block's chained hash.
        block: u64,
    },
    /// A block was dropped.
    Dropped {
        /// The block's chained hash.
        block: u64,
    },
    /// The whole cache was dropped.
    Cleared,
}

/// How a run at an endpoint ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It still runs.
    #[default]
    Running,
    /// The whole answer was sent.
    Finished,
    /// The other side went away or cancelled.
    Cancelled,
    /// The endpoint died.
    Killed,
}

/// One run in an endpoint's ledger.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The request.
    pub request: Name,
    /// Which attempt of the request.
    pub attempt: u32,
    /// The caller's key, if it came along.
    #[serde(default)]
    pub idempotency_key: Option<Name>,
    /// What was called, for plain services.
    #[serde(default)]
    pub path: String,
    /// Tokens of the prompt, and of the answer's part that was resumed from.
    pub prompt_tokens: u64,
    /// Of these, found in the cache or imported.
    pub cached_tokens: u64,
    /// Of these, computed.
    pub computed_tokens: u64,
    /// The first token of the answer that this run was asked for.
    #[serde(default)]
    pub resumed_at: u32,
    /// Where the run's KV cache was imported from, if it was.
    #[serde(default)]
    pub imported_from: Option<Name>,
    /// Tokens sent.
    pub sent_tokens: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The leader's term; endpoints that check fencing tokens refuse a lower one.
    pub term: u64,
    /// Grows within a term.
    pub sequence: u64,
    /// How long after it was sent the order may still be carried out.
    pub not_after: Millis,
    /// What to do.
    pub action: OrderAction,
}

/// What an endpoint can be told.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model.
    LoadModel {
        /// The model.
        model: Name,
        /// The version of its weights.
        version: Name,
    },
    /// Unload a model.
    UnloadModel {
        /// The model.
        model: Name,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The model below it.
        model: Name,
        /// The adapter.
        adapter: Name,
    },
    /// Change the role.
    ChangeRole {
        /// The new role.
        role: Role,
    },
    /// Finish what runs, take nothing new.
    Drain,
}

/// A reclaim notice, to an endpoint stand-in or an entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Time left.
    pub in_ms: Millis,
}

/// The body of a resumed request, beside the caller's own fields, under the key `sill_resume`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resume {
    /// The index of the first token that is wanted.
    pub at: u32,
    /// The text of the tokens before it.
    pub emitted: Vec<String>,
    /// Prefix id of exported KV cache to import, and where to get it.
    #[serde(default)]
    pub kv: Option<KvSource>,
    /// Whether to refuse rather than compute anything again, as for a run that may not be repeated.
    #[serde(default)]
    pub same_run: bool,
}

/// Where exported KV cache is found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KvSource {
    /// The exporting endpoint, `IP:PORT`.
    pub address: Name,
    /// The prefix id.
    pub prefix: Name,
}
