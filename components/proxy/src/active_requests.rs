use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use crate::body::{Body, BodyError};
use crate::caller_stream::CallerStream;

/// Counts a request of a connection as active until the guard is dropped.
pub struct ActiveGuard {
    stream: CallerStream,
    answered: bool,
}

impl ActiveGuard {
    /// Begins a request, whose body has this many bytes; `None` if it is sent in chunks.
    pub fn new(stream: &CallerStream, body_length: Option<u64>) -> Self {
        stream.begin_request(body_length);
        ActiveGuard { stream: stream.clone(), answered: false }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.stream.end_request(self.answered);
    }
}

/// Response body that keeps its request active until the body is dropped.
pub struct GuardedBody {
    body: Body,
    guard: ActiveGuard,
}

impl GuardedBody {
    /// Ties the guard to the lifetime of the body.
    pub fn new(body: Body, guard: ActiveGuard) -> Self {
        GuardedBody { body, guard }
    }
}

impl Drop for GuardedBody {
    fn drop(&mut self) {
        // The library does not poll a body behind its stated length.
        self.guard.answered |= http_body::Body::is_end_stream(&self.body);
    }
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.guard.answered |= matches!(frame, Poll::Ready(None));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
