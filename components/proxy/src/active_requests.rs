use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use crate::body::{Body, BodyError};
use crate::caller_stream::ActiveRequests;

/// Counts a request of a connection as active until the guard is dropped.
pub struct ActiveGuard(ActiveRequests);

impl ActiveGuard {
    /// Increments the number of active requests.
    pub fn new(active: &ActiveRequests) -> Self {
        active.fetch_add(1, Ordering::AcqRel);
        ActiveGuard(Arc::clone(active))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Response body that keeps its request active until the body is dropped.
pub struct GuardedBody {
    body: Body,
    _guard: ActiveGuard,
}

impl GuardedBody {
    /// Ties the guard to the lifetime of the body.
    pub fn new(body: Body, guard: ActiveGuard) -> Self {
        GuardedBody { body, _guard: guard }
    }
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
