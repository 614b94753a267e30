use std::fmt::Write;
use std::hash::{BuildHasher, RandomState};
use std::thread;

use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

/// Start of every key, by which people and scanners recognise one.
const KEY_PREFIX: &str = "papk-";

/// Makes keys and change ids.
pub struct SecretGenerator {
    rng: StdRng,
}

impl SecretGenerator {
    /// A generator with this seed, or with one that cannot be guessed. Keys from a given seed can
    /// be guessed, which only tests want.
    pub fn new(seed: Option<u64>) -> Self {
        let rng = match seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => StdRng::from_seed(draw_seed()),
        };
        SecretGenerator { rng }
    }

    /// A key of 256 random bits.
    pub fn generate_key(&mut self) -> String {
        format!("{KEY_PREFIX}{}", self.hex::<32>())
    }

    /// A change id of 128 random bits.
    pub fn generate_change_id(&mut self) -> String {
        self.hex::<16>()
    }

    fn hex<const N: usize>(&mut self) -> String {
        let mut bytes = [0; N];
        self.rng.fill_bytes(&mut bytes);
        bytes.iter().fold(String::new(), |mut text, byte| {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
            text
        })
    }
}

/// Draws 256 bits of the operating system's randomness through the standard library, which keys
/// the hashers of every new thread with 128 random bits.
fn draw_seed() -> [u8; 32] {
    let mut seed = [0; 32];
    for half in seed.chunks_exact_mut(16) {
        let draw = || {
            let state = RandomState::new();
            [state.hash_one(0_u8), state.hash_one(1_u8)]
        };
        // A thread that panics cannot give a seed, and a weak one must not be used.
        let words = thread::spawn(draw).join().expect("hashing a number does not panic");
        for (bytes, word) in half.chunks_exact_mut(8).zip(words) {
            bytes.copy_from_slice(&word.to_le_bytes());
        }
    }
    seed
}
