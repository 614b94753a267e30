use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tracing::Span;

use crate::body::BodyError;

/// Body of the response of another VM, over HTTP/2.
///
/// The HTTP library ends a body in order when the other VM resets the stream with `NO_ERROR` or
/// `CANCEL`, as it does when it drops a response that it has begun.
pub struct ForwardedBody {
    inner: Incoming,
    /// Lasts as long as the body.
    span: Span,
}

impl ForwardedBody {
    /// Wraps a body; `span` is that of the forwarded request.
    pub fn new(inner: Incoming, span: Span) -> Self {
        ForwardedBody { inner, span }
    }

    /// Whether the other VM has ended the body, or its stated length is reached.
    fn is_complete(&self) -> bool {
        self.inner.is_end_stream() || self.inner.size_hint().exact() == Some(0)
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        Poll::Ready(match frame {
            Some(Ok(frame)) => Some(Ok(frame)),
            Some(Err(error)) => {
                Some(Err(self.span.in_scope(|| BodyError::Truncated(error.into()))))
            }
            None if self.is_complete() => None,
            None => {
                let cause = "the VM has reset the stream";
                Some(Err(self.span.in_scope(|| BodyError::Truncated(cause.into()))))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
