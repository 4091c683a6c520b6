//! Simulated requests: prompts with long shared prefixes, or questions about case files.

use std::sync::Arc;

use rand::Rng as _;
use sill_base::random::Rng;
use sill_wire::Priority;
use sill_wire::prefix::BLOCK_TOKENS;

use super::model::EndpointSpec;

/// User whose workload is modelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Waitaha: release-note and fault prompts with long shared prefixes; 10 servers.
    Shared,
    /// Co-op: case files, each with several questions within minutes; 12 servers.
    CaseFiles,
}

/// Prompt, length and priority of a simulated request.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Ids of the prompt's complete blocks.
    pub blocks: Arc<[u64]>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of answer tokens.
    pub tokens: u32,
    /// Priority that the caller asks for.
    pub priority: Priority,
}

/// Generates the requests of a mix.
#[derive(Debug)]
pub struct Traffic {
    mix: Mix,
    next_unique: u64,
    popularity: Vec<f64>,
    cases: Vec<Case>,
}

#[derive(Debug, Clone)]
struct Case {
    id: u64,
    blocks: u64,
    requests_left: u32,
}

impl Mix {
    /// Returns the name of the mix in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Shared => "shared prompts",
            Self::CaseFiles => "case files",
        }
    }

    /// Returns the requests per second over all entry instances that least-loaded routing can just
    /// handle.
    pub const fn rate(self) -> f64 {
        match self {
            Self::Shared => 10.0,
            Self::CaseFiles => 3.5,
        }
    }

    /// Returns the one-way network latency between failure domains in microseconds.
    pub const fn between_domains_us(self) -> u64 {
        match self {
            Self::Shared => 500,
            Self::CaseFiles => 1500,
        }
    }

    /// Returns the target for the time to first token in milliseconds.
    pub const fn ttft_target_ms(self) -> f64 {
        match self {
            Self::Shared => 820.0,
            Self::CaseFiles => 3000.0,
        }
    }

    /// Returns the endpoints of the user's pool, spread over four failure domains; two thirds are
    /// reclaimable.
    pub fn endpoints(self) -> Vec<EndpointSpec> {
        match self {
            Self::Shared => self.pool(10),
            Self::CaseFiles => self.pool(12),
        }
    }

    /// Returns the endpoints of a pool with `count` of them.
    pub fn pool(self, count: usize) -> Vec<EndpointSpec> {
        let cache_tokens = match self {
            Self::Shared => 60_000,
            Self::CaseFiles => 200_000,
        };
        let endpoint = |number: usize| EndpointSpec {
            domain: number % 4,
            slots: 16,
            prefill_tokens_per_s: 8000,
            decode_ms: 12,
            cache_tokens,
            reclaimable: !number.is_multiple_of(3),
            price: if number.is_multiple_of(3) { 3000 } else { 1000 },
        };
        (0..count).map(endpoint).collect()
    }
}

impl Traffic {
    /// Creates the generator of a mix.
    pub fn new(mix: Mix) -> Self {
        const PROMPT_COUNT: u32 = 40;
        let mut sum = 0.0;
        let popularity = (1..=PROMPT_COUNT).map(|rank| {
            sum += 1.0 / f64::from(rank).powf(0.8);
            sum
        });
        let popularity = popularity.collect();
        Self { mix, next_unique: 1 << 32, popularity, cases: Vec::new() }
    }

    /// Returns the next request.
    pub fn next_request(&mut self, rng: &mut Rng) -> RequestSpec {
        match self.mix {
            Mix::Shared => self.shared_prompt(rng),
            Mix::CaseFiles => self.case_file(rng),
        }
    }

    fn shared_prompt(&mut self, rng: &mut Rng) -> RequestSpec {
        let total = self.popularity.last().copied().unwrap_or(1.0);
        let drawn = rng.random_range(0.0..total);
        let prompt = self.popularity.partition_point(|sum| *sum < drawn) as u64;
        let blocks = 80 + prompt * 7 % 30;
        let own_blocks = rng.random_range(3..10);
        self.request(prompt, blocks, own_blocks, rng.random_range(150..400), rng)
    }

    fn case_file(&mut self, rng: &mut Rng) -> RequestSpec {
        const OPEN_CASES: usize = 60;
        while self.cases.len() < OPEN_CASES {
            self.next_unique += 1;
            let (blocks, requests_left) = (rng.random_range(180..320), rng.random_range(4..9));
            self.cases.push(Case { id: self.next_unique, blocks, requests_left });
        }
        let chosen = rng.random_range(0..OPEN_CASES);
        self.cases[chosen].requests_left -= 1;
        let case = self.cases[chosen].clone();
        if case.requests_left == 0 {
            self.cases.swap_remove(chosen);
        }
        self.request(case.id, case.blocks, 2, rng.random_range(100..300), rng)
    }

    fn request(
        &mut self,
        prefix: u64,
        shared: u64,
        own: u64,
        tokens: u32,
        rng: &mut Rng,
    ) -> RequestSpec {
        self.next_unique += 1;
        let unique = self.next_unique;
        let own_blocks = (0..own).map(|b| unique << 16 | b);
        let blocks: Arc<[u64]> = (0..shared).map(|b| prefix << 16 | b).chain(own_blocks).collect();
        let priority = match rng.random_range(0..10) {
            0..2 => Priority::Low,
            2..8 => Priority::Normal,
            _ => Priority::High,
        };
        let prompt_tokens = (blocks.len() * BLOCK_TOKENS) as u64;
        RequestSpec { blocks, prompt_tokens, tokens, priority }
    }
}
