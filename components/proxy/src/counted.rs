use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use crate::body::{Body, BodyError};
use crate::caller_io::Active;

/// Counts a request as being answered until it is dropped.
pub struct Counted(Active);

impl Counted {
    /// Counts one more request.
    pub fn new(active: &Active) -> Self {
        active.fetch_add(1, Ordering::AcqRel);
        Counted(Arc::clone(active))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Body of a response that counts as being answered until the body is dropped.
pub struct CountedBody {
    body: Body,
    _counted: Counted,
}

impl CountedBody {
    /// Counts the request until the body is dropped.
    pub fn new(body: Body, counted: Counted) -> Self {
        CountedBody { body, _counted: counted }
    }
}

impl http_body::Body for CountedBody {
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
