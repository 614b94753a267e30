use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Response, StatusCode, header};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use serde::Serialize;

/// Body of every response.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Size of a chunk of a streamed body.
const CHUNK_BYTES: usize = 16 << 10;
/// Time left to hyper to flush the first part of a truncated body before the connection breaks.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Error that makes the server close the connection without a response.
#[derive(Debug)]
pub(crate) struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is closed without a response")
    }
}

impl std::error::Error for ConnectionAborted {}

/// A response, or the closing of the connection without one.
pub(crate) type HandlerResult = Result<Response<Body>, ConnectionAborted>;

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|error: Infallible| match error {}).boxed_unsync()
}

pub(crate) fn build_response(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> HandlerResult {
    let bytes = serde_json::to_vec(value).map_err(|_| ConnectionAborted)?;
    let mut response = build_response(status, full_body(bytes));
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

/// Creates a body that is sent in chunks. If `sent_bytes` is less than its length, the connection
/// breaks after that many bytes. `on_complete` is called with `guard` when hyper takes the last
/// byte; if the response is abandoned before, `guard` is dropped.
pub(crate) fn streamed_body<H: Send + 'static>(
    content: BodyContent,
    sent_bytes: usize,
    guard: H,
    on_complete: impl FnOnce(H) + Send + 'static,
) -> Body {
    let total = content.len();
    if total == 0 {
        on_complete(guard);
        return full_body(Bytes::new());
    }
    let start = (0_usize, Some((guard, on_complete)));
    let frames = stream::unfold(start, move |(at, pending)| {
        let chunk = (at < sent_bytes.min(total)).then(|| {
            let end = (at + CHUNK_BYTES).min(sent_bytes).min(total);
            (content.chunk(at, end), end)
        });
        async move {
            if let Some((chunk, end)) = chunk {
                // hyper does not poll a body again after it has the last byte of the content length.
                let pending = match pending {
                    Some((guard, on_complete)) if end == total => {
                        on_complete(guard);
                        None
                    }
                    pending => pending,
                };
                return Some((Ok(Frame::data(chunk)), (end, pending)));
            }
            if at < total {
                // An error in the same poll would discard the chunks that hyper has not flushed yet.
                tokio::time::sleep(TRUNCATION_DELAY).await;
                let cut = io::Error::new(
                    io::ErrorKind::ConnectionReset,
                    "body truncated by the fault switch cut_body",
                );
                return Some((Err(cut), (total, None)));
            }
            None
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// BodyContent of a streamed body.
pub(crate) enum BodyContent {
    /// The given bytes.
    Bytes(Bytes),
    /// The given number of bytes of a pattern: byte `i` is `i % 251`.
    Pattern(usize),
}

impl BodyContent {
    pub(crate) fn len(&self) -> usize {
        match self {
            BodyContent::Bytes(bytes) => bytes.len(),
            BodyContent::Pattern(length) => *length,
        }
    }

    fn chunk(&self, from: usize, to: usize) -> Bytes {
        match self {
            BodyContent::Bytes(bytes) => bytes.slice(from..to),
            // 251 is prime, so a chunk at a wrong offset differs from the expected one.
            BodyContent::Pattern(_) => (from..to).map(|index| (index % 251) as u8).collect(),
        }
    }
}
