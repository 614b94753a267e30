use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// What ends the body of a response, by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// Its length or its last chunk, without which it is incomplete.
    Marked,
    /// The end of the connection.
    Close,
    /// Not known: it has a transfer encoding other than chunked. The HTTP library reads it to the
    /// end of the connection, even beside a length, and does not decode it.
    Unknown,
}

impl BodyEnd {
    /// Judges the headers of a response that may have a body.
    pub fn of(headers: &HeaderMap) -> BodyEnd {
        let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
        match (encodings.next(), encodings.next()) {
            (None, _) if headers.contains_key(CONTENT_LENGTH) => BodyEnd::Marked,
            (None, _) => BodyEnd::Close,
            (Some(encoding), None) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                BodyEnd::Marked
            }
            _ => BodyEnd::Unknown,
        }
    }
}
