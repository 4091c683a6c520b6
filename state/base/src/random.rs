//! Seeded randomness, and the knobs of randomised tests.

use std::env;

use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The generator that decision cores and experiments are seeded with.
pub type Rng = SmallRng;

/// Makes a generator that yields the same numbers for the same seed.
pub fn seeded(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

/// Returns the number of cases of a randomised test: `SILL_CASES`, or the given default.
pub fn cases(default: u32) -> u32 {
    from_env("SILL_CASES").unwrap_or(default)
}

/// Returns the seed of a randomised test: `SILL_SEED`, or the given default.
pub fn seed(default: u64) -> u64 {
    from_env("SILL_SEED").unwrap_or(default)
}

fn from_env<T>(variable: &str) -> Option<T>
where
    T: std::str::FromStr,
{
    env::var(variable).ok()?.parse().ok()
}
