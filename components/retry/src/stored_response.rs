use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Largest body that is kept for replay, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// A whole response that a repeated key is given again.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResponse {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Memory that the answer takes, in bytes.
    pub fn size_bytes(&self) -> usize {
        // 64 bytes for each header cover the map's own entries.
        let header = |(n, v): (&http::HeaderName, &http::HeaderValue)| n.as_str().len() + v.len();
        let headers: usize = self.headers.iter().map(|h| header(h) + 64).sum();
        headers + self.body.len()
    }
}
