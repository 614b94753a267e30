use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};
use std::thread;

use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// Prefix by which people and secret scanners recognise a key.
const KEY_PREFIX: &str = "papk-";

/// Generates keys and change ids.
pub struct SecretGenerator {
    rng: StdRng,
}

impl SecretGenerator {
    /// Creates a generator with this seed, or with an unpredictable one. A fixed seed makes the
    /// keys predictable and is for tests only.
    pub fn new(seed: Option<u64>) -> Self {
        let rng = match seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => StdRng::from_seed(draw_seed()),
        };
        SecretGenerator { rng }
    }

    /// Generates a key of 256 random bits.
    pub fn generate_key(&mut self) -> String {
        format!("{KEY_PREFIX}{}", self.random_hex::<32>())
    }

    /// Generates a change id of 128 random bits.
    pub fn generate_change_id(&mut self) -> String {
        self.random_hex::<16>()
    }

    fn random_hex<const N: usize>(&mut self) -> String {
        let mut bytes = [0; N];
        self.rng.fill_bytes(&mut bytes);
        bytes.iter().fold(String::new(), |mut text, byte| {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
            text
        })
    }
}

/// Draws 256 bits of the operating system's randomness: the standard library keys the hashers of
/// every new thread with 128 random bits.
fn draw_seed() -> [u8; 32] {
    let mut seed = [0; 32];
    for half in seed.chunks_exact_mut(16) {
        let draw = || {
            let state = RandomState::new();
            [state.hash_one(0_u8), state.hash_one(1_u8)]
        };
        // Panics rather than use a weak seed if the thread fails.
        let words = thread::spawn(draw).join().expect("hashing a number does not panic");
        for (bytes, word) in half.chunks_exact_mut(8).zip(words) {
            bytes.copy_from_slice(&word.to_le_bytes());
        }
    }
    seed
}
