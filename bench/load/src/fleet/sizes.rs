//! The sizes compared: today's pools of both users, and the size to design for.

/// A pool and what its requests look like.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Its name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: u32,
    /// Slots wanted at the peak.
    pub peak_slots: u32,
    /// Prompt tokens of a request.
    pub prompt_tokens: u64,
    /// Answer tokens of a request.
    pub answer_tokens: u64,
    /// Seconds that a request runs.
    pub request_seconds: u64,
    /// Tokens of the prefix cache that are asked for again.
    pub hot_cache_tokens: u64,
    /// Rate of the weights store.
    pub store_megabytes_per_s: u64,
}

/// All sizes.
pub const SIZES: &[Size] = &[
    Size {
        name: "co-op",
        domains: 4,
        peak_slots: 72,
        prompt_tokens: 3000,
        answer_tokens: 400,
        request_seconds: 8,
        hot_cache_tokens: 10_000,
        store_megabytes_per_s: 2000,
    },
    Size {
        name: "waitaha",
        domains: 4,
        peak_slots: 60,
        prompt_tokens: 6000,
        answer_tokens: 200,
        request_seconds: 5,
        hot_cache_tokens: 40_000,
        store_megabytes_per_s: 2000,
    },
    Size {
        name: "design",
        domains: 10,
        peak_slots: 4000,
        prompt_tokens: 4000,
        answer_tokens: 214,
        request_seconds: 6,
        hot_cache_tokens: 30_000,
        store_megabytes_per_s: 40_000,
    },
];
