use std::fmt;
use std::str::FromStr;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// SHA-256 digest of a key. The text form has 64 lower-case hexadecimal characters.
///
/// Stored as bytes: with 480,000 keys the text form would take 38 MB of a VM's 128 MB.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

/// A text is not the text form of a digest.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a key digest has 64 lower-case hexadecimal characters; list the keys to find it")]
pub struct DigestError;

impl KeyDigest {
    /// Creates a digest from its bytes.
    pub fn from_bytes(bytes: [u8; 32]) -> Self {
        KeyDigest(bytes)
    }

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Digests a key. Only digests are stored, so that no VM, row or snapshot contains a key.
pub fn digest_key(key: &[u8]) -> KeyDigest {
    KeyDigest(Sha256::digest(key).into())
}

/// Parses the text form of a digest.
pub fn parse_digest(text: &str) -> Option<KeyDigest> {
    let hex = |b: u8| match b {
        b'0'..=b'9' => Some(b - b'0'),
        b'a'..=b'f' => Some(b - b'a' + 10),
        _ => None,
    };
    let text = text.as_bytes();
    if text.len() != 64 {
        return None;
    }
    let mut bytes = [0; 32];
    for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
        *byte = hex(pair[0])? << 4 | hex(pair[1])?;
    }
    Some(KeyDigest(bytes))
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        parse_digest(text).ok_or(DigestError)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

struct DigestVisitor;

impl Visitor<'_> for DigestVisitor {
    type Value = KeyDigest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("64 lower-case hexadecimal characters")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<KeyDigest, E> {
        text.parse().map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(DigestVisitor)
    }
}
