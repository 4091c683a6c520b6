//! The policies by which the endpoints of a pool are compared.

use sill_base::Millis;
use sill_route::{PolicyCfg, PriorityBounds, SampleSize};

use super::MAX_BLOCKS;

/// Prefill speed, in prompt tokens per second, by which endpoints are compared. It only weighs the
/// uncached part of a prompt against the other costs. The learned speed is not used here, as it
/// includes queueing, which the load already accounts for.
const PREFILL_TOKENS_PER_S: u32 = 64_000;

/// Decode time per token by which endpoints are compared.
const DECODE_PER_TOKEN: Millis = Millis(5);

/// Added cost of an engine in another failure domain, where traffic is charged. A short prompt is
/// computed in 10 ms and should stay in the own failure domain; a case file takes 80 ms and should
/// go to the engine that caches it.
const REMOTE_DOMAIN_COST: Millis = Millis(40);

/// Number of endpoints that are sampled for a call, in addition to its preferred endpoint and those
/// that cache its prompt. The less loaded of two samples is nearly as good as the least loaded
/// endpoint, and not every entry instance chooses it until its next load report.
const SAMPLED_ENDPOINTS: Option<SampleSize> = Some(SampleSize { local: 2.0, remote: 1.0 });

/// Age of a load from which on the requests of other entry instances in it are presumed to end.
const LOAD_TTL: Millis = Millis(2000);

/// Returns the policy for model engines, which queue by priority and answer in batches.
pub(super) fn engine_policy() -> PolicyCfg {
    PolicyCfg {
        announcement_ttl: Millis::MAX,
        load_ttl: LOAD_TTL,
        max_blocks: MAX_BLOCKS,
        load_factor: PriorityBounds { low: 1.5, normal: 1.5, high: 1.5 },
        pool_factor: PriorityBounds { low: 1.4, normal: 1.4, high: 1.4 },
        ttft_target: None,
        spill_below: 1.4,
        wait_factor: PriorityBounds::UNBOUNDED,
        slow_start: Millis(500),
        cross_domain_cost: REMOTE_DOMAIN_COST,
        sample_size: SAMPLED_ENDPOINTS,
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        decode_per_token: DECODE_PER_TOKEN,
        ..PolicyCfg::default()
    }
}

/// Returns the policy for plain services: calls of some 30 ms, of which a few may be queued.
pub(super) fn plain_policy() -> PolicyCfg {
    PolicyCfg {
        announcement_ttl: Millis::MAX,
        load_ttl: LOAD_TTL,
        load_factor: PriorityBounds { low: 4.0, normal: 4.0, high: 4.0 },
        pool_factor: PriorityBounds { low: 4.0, normal: 4.0, high: 4.0 },
        ttft_target: None,
        spill_below: 4.0,
        wait_factor: PriorityBounds::UNBOUNDED,
        slow_start: Millis(500),
        cross_domain_cost: Millis(10),
        ..PolicyCfg::default()
    }
}
