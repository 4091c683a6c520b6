//! Timeouts and cost estimates of the request state machine.

use serde::{Deserialize, Serialize};
use sill_base::Millis;

/// Settings of [`InFlightRequest`](super::InFlightRequest).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCfg {
    /// Time from dispatch to the first token after which the attempt counts as stalled.
    pub first_token_timeout: Millis,
    /// Time between two tokens after which the attempt counts as stalled.
    pub token_timeout: Millis,
    /// How long the search for an endpoint for an accepted request lasts before the request fails.
    #[serde(rename = "route_patience")]
    pub route_timeout: Millis,
    /// First backoff before the router is called again; it doubles with each refusal.
    #[serde(rename = "route_pause")]
    pub min_route_backoff: Millis,
    /// Consecutive failed attempts without a new token after which the request fails.
    pub max_failures: u32,
    /// Time by which an answer or a transfer must end before the announced reclaim.
    #[serde(rename = "margin")]
    pub reclaim_margin: Millis,
    /// Microseconds to transfer the KV cache of one token.
    pub kv_us_per_token: u64,
    /// Microseconds to prefill one token.
    pub prefill_us_per_token: u64,
    /// Assumed time between two tokens until an attempt has received two to measure it by.
    #[serde(rename = "decode")]
    pub token_interval: Millis,
    /// Disables one rule, to show that the checks detect it; set by tests only.
    #[doc(hidden)]
    pub weakening: Option<Weakening>,
}

/// Rules that tests disable one at a time.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Weakening {
    /// Tokens of stale attempts are forwarded.
    ForwardLate,
    /// Tokens that the caller already has are forwarded again.
    ForwardRepeats,
    /// Missing tokens are not detected.
    SkipGaps,
    /// An answer that ends without its end marker counts as complete.
    EndWithoutMarker,
    /// A request that is moved to another endpoint counts as not sent by the earlier attempt.
    MoveIsUnsent,
    /// An attempt whose stream was cut counts as one that never connected.
    CutIsUnsent,
    /// A non-idempotent request is sent again after its attempt was lost.
    RepeatNonIdempotent,
    /// A claim held by another owner counts as granted.
    IgnoreTaken,
    /// A claim whose verdict is unknown counts as granted.
    IgnoreUnavailable,
    /// A request fails when its endpoint is reclaimed.
    GiveUpOnReclaim,
    /// A request fails when no endpoint is free at once.
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
