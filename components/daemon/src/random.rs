use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use kernel::Incarnation;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// The one generator of a process.
pub struct Random {
    rng: Mutex<StdRng>,
}

/// A number that differs between processes, from the standard library alone.
pub fn entropy() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(time.as_nanos());
    hasher.write_u32(std::process::id());
    hasher.finish()
}

impl Random {
    /// A generator with this seed, or with one of its own.
    pub fn new(seed: Option<u64>) -> Self {
        let seed = seed.unwrap_or_else(entropy);
        Random { rng: Mutex::new(StdRng::seed_from_u64(seed)) }
    }

    /// The next number.
    pub fn next(&self) -> u64 {
        self.with(|rng| rng.next_u64())
    }

    /// Uses the generator.
    pub fn with<T>(&self, act: impl FnOnce(&mut StdRng) -> T) -> T {
        act(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Number of this process start.
///
/// It never comes from the seed: rights are fenced by it, and a process that starts again with the
/// same seed must not pass for its predecessor.
pub fn new_incarnation() -> Incarnation {
    entropy().max(1)
}
