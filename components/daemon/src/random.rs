use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use kernel::Incarnation;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// Random number generator shared by the whole process.
pub struct Random {
    rng: Mutex<StdRng>,
}

/// Returns a number that differs between processes, from the randomness of the standard library,
/// the time and the process id.
pub fn entropy() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(time.as_nanos());
    hasher.write_u32(std::process::id());
    hasher.finish()
}

impl Random {
    /// Creates a generator with this seed, or with one from [`entropy`].
    pub fn new(seed: Option<u64>) -> Self {
        let seed = seed.unwrap_or_else(entropy);
        Random { rng: Mutex::new(StdRng::seed_from_u64(seed)) }
    }

    /// Returns the next number.
    pub fn next(&self) -> u64 {
        self.with(|rng| rng.next_u64())
    }

    /// Runs a function with the locked generator.
    pub fn with<T>(&self, act: impl FnOnce(&mut StdRng) -> T) -> T {
        act(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the incarnation of this process.
///
/// It never depends on the seed: rights are fenced by it, so a process that is restarted with the
/// same seed must not be mistaken for its predecessor.
pub fn new_incarnation() -> Incarnation {
    entropy().max(1)
}
