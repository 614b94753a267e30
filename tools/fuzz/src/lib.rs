//! Checks properties against generated inputs with a fixed seed.

use quickcheck::{Gen, QuickCheck, Testable};

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Checks `property` against `cases` generated inputs of at most `size`; a failure prints the shrunk
/// input. The environment variables `PAPAYAREEL_FUZZ_CASES` and `PAPAYAREEL_FUZZ_SEED` override the
/// number of cases and the seed, which is 1 by default.
pub fn check(size: usize, cases: u64, property: impl Testable) {
    let cases = env_number("PAPAYAREEL_FUZZ_CASES", cases);
    let seed = env_number("PAPAYAREEL_FUZZ_SEED", 1);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed))
        .tests(cases)
        .max_tests(cases)
        .quickcheck(property);
}
