use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header};
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep};

use crate::body::BodyError;

/// Whether the end of a response's body can be told from a cut.
///
/// A body that ends with the connection looks the same whole and cut, so that a response without
/// a length and without chunks must not be passed on.
pub fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodyless = method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let chunked = headers
        .get(header::TRANSFER_ENCODING)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.to_ascii_lowercase().ends_with("chunked"));
    bodyless || chunked || headers.contains_key(header::CONTENT_LENGTH)
}

/// Longest pause between two pieces of a body. A sender that pauses longer counts as gone.
const BODY_IDLE: Duration = Duration::from_secs(10);

/// Body of a response with a value that learns how the body ended.
pub struct Watched<T: Watch> {
    inner: Incoming,
    /// Fires when no piece has arrived for `BODY_IDLE`.
    idle: Pin<Box<Sleep>>,
    /// Taken when the body has ended; dropping it unended means that the reader has gone.
    watch: Option<T>,
}

/// Learns how a body ended. Dropping the value unended means that the reader has gone.
pub trait Watch: Unpin {
    /// A piece arrived.
    fn data(&mut self, bytes: &Bytes);
    /// The whole body arrived.
    fn whole(self);
    /// The body was cut.
    fn cut(self);
}

impl<T: Watch> Watched<T> {
    /// Watches a body.
    pub fn new(inner: Incoming, watch: T) -> Self {
        let mut watched = Watched { inner, idle: Box::pin(sleep(BODY_IDLE)), watch: Some(watch) };
        // A body that is known to be empty may never be polled.
        if http_body::Body::is_end_stream(&watched.inner) {
            watched.end();
        }
        watched
    }

    fn end(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.whole();
        }
    }
}

impl<T: Watch> http_body::Body for Watched<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        match Pin::new(&mut this.inner).poll_frame(context) {
            Poll::Pending => {
                if this.idle.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                if let Some(watch) = this.watch.take() {
                    watch.cut();
                }
                Poll::Ready(Some(Err(BodyError::IdleTimeout)))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(data), Some(watch)) = (frame.data_ref(), this.watch.as_mut()) {
                    watch.data(data);
                }
                this.idle.as_mut().reset(Instant::now() + BODY_IDLE);
                if http_body::Body::is_end_stream(&this.inner) {
                    this.end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                if let Some(watch) = this.watch.take() {
                    watch.cut();
                }
                Poll::Ready(Some(Err(BodyError::Truncated(error.into()))))
            }
            Poll::Ready(None) => {
                this.end();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        http_body::Body::is_end_stream(&self.inner)
    }

    fn size_hint(&self) -> SizeHint {
        http_body::Body::size_hint(&self.inner)
    }
}
