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

/// Size of one piece of a streamed body, in bytes.
const PIECE: usize = 16 << 10;
/// Time that the first part of a cut body has to go out.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Closes the connection without an answer.
#[derive(Debug)]
pub(crate) struct Hangup;

impl std::fmt::Display for Hangup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is closed without an answer")
    }
}

impl std::error::Error for Hangup {}

/// A response, or none.
pub(crate) type Reply = Result<Response<Body>, Hangup>;

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|error: Infallible| match error {}).boxed_unsync()
}

pub(crate) fn response(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).map_err(|_| Hangup)?;
    let mut response = response(status, full(bytes));
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

/// A body of `pieces`, of which only the first `sent` bytes go out before the connection breaks.
/// `hold` is dropped when the last byte was taken or the response was given up; `done` is called
/// only in the first case.
pub(crate) fn streamed<H: Send + 'static>(
    content: Content,
    sent: usize,
    hold: H,
    done: impl FnOnce(H) + Send + 'static,
) -> Body {
    let total = content.len();
    if total == 0 {
        done(hold);
        return full(Bytes::new());
    }
    let start = (0_usize, Some((hold, done)));
    let frames = stream::unfold(start, move |(at, held)| {
        let piece = (at < sent.min(total)).then(|| {
            let end = (at + PIECE).min(sent).min(total);
            (content.piece(at, end), end)
        });
        async move {
            if let Some((piece, end)) = piece {
                // hyper does not poll a body again after the last byte of its content length.
                let held = match held {
                    Some((hold, done)) if end == total => {
                        done(hold);
                        None
                    }
                    held => held,
                };
                return Some((Ok(Frame::data(piece)), (end, held)));
            }
            if at < total {
                // An error in the same poll would drop what hyper has not flushed yet.
                tokio::time::sleep(CUT_DELAY).await;
                let cut = io::Error::new(io::ErrorKind::ConnectionReset, "cut short by a switch");
                return Some((Err(cut), (total, None)));
            }
            None
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Content of a streamed body.
pub(crate) enum Content {
    /// These bytes.
    Bytes(Bytes),
    /// This many bytes of a pattern.
    Pattern(usize),
}

impl Content {
    pub(crate) fn len(&self) -> usize {
        match self {
            Content::Bytes(bytes) => bytes.len(),
            Content::Pattern(length) => *length,
        }
    }

    fn piece(&self, from: usize, to: usize) -> Bytes {
        match self {
            Content::Bytes(bytes) => bytes.slice(from..to),
            // 251 is prime, so that a shifted piece does not look like the right one.
            Content::Pattern(_) => (from..to).map(|index| (index % 251) as u8).collect(),
        }
    }
}
