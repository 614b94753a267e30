//! Runs a property over generated sequences with a fixed seed.

use quickcheck::{Gen, QuickCheck, Testable};

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Checks `property`; a failure prints the shrunk sequence. `PAPAYAREEL_FUZZ_CASES` and
/// `PAPAYAREEL_FUZZ_SEED` replace the number of cases and the seed.
pub fn check(size: usize, cases: u64, property: impl Testable) {
    let cases = setting("PAPAYAREEL_FUZZ_CASES", cases);
    let seed = setting("PAPAYAREEL_FUZZ_SEED", 1);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed))
        .tests(cases)
        .max_tests(cases)
        .quickcheck(property);
}
