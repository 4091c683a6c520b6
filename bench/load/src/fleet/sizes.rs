//! Compared pool sizes: the current pools of both users, and the size that the system is designed
//! for.

/// Size of a pool and shape of its requests.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Name in the report and in the names of its plots.
    pub name: &'static str,
    /// Number of failure domains.
    pub domains: u32,
    /// Wanted slots at peak demand.
    pub peak_slots: u32,
    /// Prompt tokens per request.
    pub prompt_tokens: u64,
    /// Answer tokens per request.
    pub answer_tokens: u64,
    /// Duration of a request in seconds.
    pub request_seconds: u64,
    /// Tokens of an instance's prefix cache that later requests use.
    pub hot_cache_tokens: u64,
    /// Throughput of the weights store in megabytes per second.
    pub store_megabytes_per_s: u64,
}

/// All compared sizes, in the order of the report.
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
