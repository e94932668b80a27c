//! The configuration of all property tests: the same cases every run.

use proptest::test_runner::{Config, RngSeed};

pub fn seeded(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}
