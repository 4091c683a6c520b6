//! Time limits and costs that a request's machine decides by.

use serde::{Deserialize, Serialize};
use sill_base::Millis;

/// Settings of a request's machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlightCfg {
    /// Silence before the first token that counts as a stall.
    pub first_token_timeout: Millis,
    /// Silence between two tokens that counts as a stall.
    pub token_timeout: Millis,
    /// How long an accepted request without an endpoint is kept.
    pub route_patience: Millis,
    /// The shortest pause before the router is asked again.
    pub route_pause: Millis,
    /// Failed attempts in a row without a new token.
    pub max_failures: u32,
    /// Time kept in hand before an announced reclaim.
    pub margin: Millis,
    /// Microseconds to move the KV cache of one token.
    pub kv_us_per_token: u64,
    /// Microseconds to compute a prompt token.
    pub prefill_us_per_token: u64,
    /// Milliseconds between two tokens, until they were seen.
    pub decode: Millis,
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

impl Default for FlightCfg {
    fn default() -> Self {
        Self {
            first_token_timeout: Millis(30_000),
            token_timeout: Millis(5_000),
            route_patience: Millis(30_000),
            route_pause: Millis(50),
            max_failures: 8,
            margin: Millis(200),
            kv_us_per_token: 2,
            prefill_us_per_token: 50,
            decode: Millis(30),
            weakening: None,
        }
    }
}
