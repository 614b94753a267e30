use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep};
use transport::BodyEnd;

use crate::body::BodyError;

/// Whether the framing of a response tells a complete body from a truncated one.
///
/// A body that is delimited by the end of the connection looks the same when it is truncated, so a
/// response with neither a length nor chunked encoding must not be forwarded.
pub fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodyless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    match BodyEnd::of(headers) {
        // A switch of protocols was not asked for, and no other interim response arrives here.
        BodyEnd::Marked => !status.is_informational(),
        BodyEnd::Close => bodyless,
        BodyEnd::Unknown => false,
    }
}

/// Longest pause between two chunks of a body, after which the sender is considered gone.
const MAX_BODY_IDLE: Duration = Duration::from_secs(10);

/// Response body that notifies an observer of its data and its end.
pub struct ObservedBody<T: BodyObserver> {
    inner: Incoming,
    /// Elapses when no chunk has arrived for `MAX_BODY_IDLE`.
    idle: Pin<Box<Sleep>>,
    /// Taken when the body ends.
    observer: Option<T>,
}

/// Observes the transfer of a body. It is dropped without a call of `on_complete` or `on_error` if
/// the reader goes away before the end.
pub trait BodyObserver: Unpin {
    /// Called for each chunk.
    fn on_data(&mut self, bytes: &Bytes);
    /// Called when the whole body has arrived.
    fn on_complete(self);
    /// Called when the body is truncated or stalls.
    fn on_error(self);
}

impl<T: BodyObserver> ObservedBody<T> {
    /// Wraps a body.
    pub fn new(inner: Incoming, observer: T) -> Self {
        let mut body =
            ObservedBody { inner, idle: Box::pin(sleep(MAX_BODY_IDLE)), observer: Some(observer) };
        // A body that is known to be empty may never be polled, so it is completed here.
        if http_body::Body::is_end_stream(&body.inner) {
            body.complete();
        }
        body
    }

    fn complete(&mut self) {
        if let Some(observer) = self.observer.take() {
            observer.on_complete();
        }
    }
}

impl<T: BodyObserver> http_body::Body for ObservedBody<T> {
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
                if let Some(observer) = this.observer.take() {
                    observer.on_error();
                }
                Poll::Ready(Some(Err(BodyError::IdleTimeout)))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(data), Some(observer)) = (frame.data_ref(), this.observer.as_mut()) {
                    observer.on_data(data);
                }
                this.idle.as_mut().reset(Instant::now() + MAX_BODY_IDLE);
                if http_body::Body::is_end_stream(&this.inner) {
                    this.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                if let Some(observer) = this.observer.take() {
                    observer.on_error();
                }
                Poll::Ready(Some(Err(BodyError::Truncated(error.into()))))
            }
            Poll::Ready(None) => {
                this.complete();
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
