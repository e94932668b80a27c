//! Configuration of the property tests: a fixed seed, so that every run checks the same cases.

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration that runs `cases` cases.
pub fn seeded(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}
