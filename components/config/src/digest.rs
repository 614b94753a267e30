use std::fmt::Write;

use sha2::{Digest, Sha256};

/// SHA-256 of a key in lower-case hexadecimal, 64 characters.
pub type KeyDigest = Box<str>;

/// Digests a key. Only the digest is kept, so that no VM, row or snapshot holds a key.
pub fn digest_key(key: &[u8]) -> KeyDigest {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text.into_boxed_str()
}

/// Checks that a text has the form of a digest.
pub fn parse_digest(text: &str) -> Option<KeyDigest> {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    (text.len() == 64 && text.bytes().all(hex)).then(|| text.into())
}
