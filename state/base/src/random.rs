//! Seeded random numbers, and the parameters of randomised tests.

use std::env;

use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The random number generator of state machines and experiments.
pub type Rng = SmallRng;

/// Creates a generator that yields the same numbers for the same seed.
pub fn seeded(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

/// Returns the number of cases of a randomised test: the environment variable `SILL_CASES`, or the
/// default.
pub fn cases(default: u32) -> u32 {
    from_env("SILL_CASES").unwrap_or(default)
}

/// Returns the seed of a randomised test: the environment variable `SILL_SEED`, or the default.
pub fn seed(default: u64) -> u64 {
    from_env("SILL_SEED").unwrap_or(default)
}

fn from_env<T>(variable: &str) -> Option<T>
where
    T: std::str::FromStr,
{
    env::var(variable).ok()?.parse().ok()
}
