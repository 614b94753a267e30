use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest over the parts of a request that make it the same request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestDigest([u8; 32]);

fn hash(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length keeps ("ab", "c") and ("a", "bc") apart.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

impl RequestDigest {
    /// Digest of method, path with query, and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        RequestDigest(hash(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// What the crash guard knows a request by: organisation, route and digest.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Fingerprint of a request.
    pub fn of(organisation: &str, route: &str, digest: &RequestDigest) -> Self {
        let whole = hash(&[organisation.as_bytes(), route.as_bytes(), &digest.0]);
        let mut half = [0; 16];
        half.copy_from_slice(&whole[..16]);
        Fingerprint(half)
    }
}
