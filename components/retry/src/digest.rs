use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest of the parts of a request that two requests must share to count as the same.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestDigest([u8; 32]);

fn hash(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        // With the length, ("ab", "c") and ("a", "bc") give different digests.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

impl RequestDigest {
    /// Computes the digest of method, path with query, and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        RequestDigest(hash(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Identifies a request in the crash guard: a hash of organisation, route and request digest.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(organisation: &str, route: &str, digest: &RequestDigest) -> Self {
        let full = hash(&[organisation.as_bytes(), route.as_bytes(), &digest.0]);
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&full[..16]);
        Fingerprint(truncated)
    }
}
