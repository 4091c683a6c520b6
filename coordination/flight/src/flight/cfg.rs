//! Time limits and costs that a request's machine decides by.

use serde::{Deserialize, Serialize};
use sill_base::Millis;

/// Settings of a request's machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCfg {
    /// Silence before the first token that counts as a stall.
    pub first_token_timeout: Millis,
    /// Silence between two tokens that counts as a stall.
    pub token_timeout: Millis,
    /// How long an accepted request without an endpoint is kept.
    #[serde(rename = "route_patience")]
    pub route_timeout: Millis,
    /// The shortest pause before the router is asked again.
    #[serde(rename = "route_pause")]
    pub min_route_backoff: Millis,
    /// Failed attempts in a row without a new token.
    pub max_failures: u32,
    /// Time kept in hand before an announced reclaim.
    #[serde(rename = "margin")]
    pub reclaim_margin: Millis,
    /// Microseconds to move the KV cache of one token.
    pub kv_us_per_token: u64,
    /// Microseconds to compute a prompt token.
    pub prefill_us_per_token: u64,
    /// Milliseconds between two tokens, until they were seen.
    #[serde(rename = "decode")]
    pub token_interval: Millis,
    /// One line left out, to show that the checks find it; set by tests only.
    #[doc(hidden)]
    pub weakening: Option<Weakening>,
}

/// One-line faults that tests put in.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Weakening {
    /// Chunks of abandoned attempts are forwarded.
    ForwardLate,
    /// Tokens that the caller has already are forwarded again.
    ForwardRepeats,
    /// Missing tokens are not noticed.
    SkipGaps,
    /// An answer that was cut counts as finished.
    EndWithoutMarker,
    /// A request that was moved counts as never sent.
    MoveIsUnsent,
    /// A cut attempt counts as one that never connected.
    CutIsUnsent,
    /// A non-idempotent request is sent again after a cut.
    RepeatNonIdempotent,
    /// A claim that another one holds counts as granted.
    IgnoreTaken,
    /// A claim whose verdict is unknown counts as granted.
    IgnoreUnavailable,
    /// A request is given up when its endpoint is reclaimed.
    GiveUpOnReclaim,
    /// A request is given up when no endpoint is free at once.
    NoPatience,
}

impl Default for RequestCfg {
    fn default() -> Self {
        Self {
            first_token_timeout: Millis(30_000),
            token_timeout: Millis(5_000),
            route_timeout: Millis(30_000),
            min_route_backoff: Millis(50),
            max_failures: 8,
            reclaim_margin: Millis(200),
            kv_us_per_token: 2,
            prefill_us_per_token: 50,
            token_interval: Millis(30),
            weakening: None,
        }
    }
}
