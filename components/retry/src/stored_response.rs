use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Maximum size of a response body that is stored for replay.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Complete response, returned again to requests that repeat its idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResponse {
    /// Status code.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Approximate memory use in bytes.
    pub fn size_bytes(&self) -> usize {
        // 64 bytes per header cover the entry in the map.
        let header = |(n, v): (&http::HeaderName, &http::HeaderValue)| n.as_str().len() + v.len();
        let headers: usize = self.headers.iter().map(|h| header(h) + 64).sum();
        headers + self.body.len()
    }
}
