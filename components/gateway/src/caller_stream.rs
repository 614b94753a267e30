use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use transport::ReadAhead;

use crate::connection_progress::ConnectionProgress;

struct Inner {
    stream: TcpStream,
    received: ReadAhead,
    progress: Arc<ConnectionProgress>,
}

/// A caller's connection that is read ahead of the HTTP library. Clones share the connection: the
/// library has one, the task that drives it another.
#[derive(Clone)]
pub struct CallerStream(Arc<Mutex<Inner>>);

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, progress: Arc<ConnectionProgress>) -> Self {
        let inner = Inner { stream, received: ReadAhead::default(), progress };
        CallerStream(Arc::new(Mutex::new(inner)))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads ahead what has arrived. Returns whether anything has, including the end.
    pub fn poll_ahead(&self, cx: &mut Context<'_>) -> bool {
        let mut inner = self.inner();
        let Inner { stream, received, progress } = &mut *inner;
        let has_read = received.poll_ahead(stream, cx);
        progress.set_unread(received.unread().len());
        has_read
    }

    /// Records that the library has parsed the head of a request, whose body has this many bytes;
    /// `None` if it is sent in chunks. Returns when the end of the head arrived.
    pub fn begin_request(&self, body_length: Option<u64>) -> Instant {
        self.inner().received.begin_request(body_length)
    }

    /// Records that the response to a request is ready.
    pub fn end_request(&self) {
        self.inner().received.end_request();
    }

    /// Whether the library may take bytes again that it was refused.
    pub fn resume(&self) -> bool {
        self.inner().received.resume()
    }

    /// Whether the caller has sent a part of another request behind the one being handled, or of
    /// its first.
    pub fn has_more(&self) -> bool {
        let inner = self.inner();
        inner.received.has_more(&inner.stream)
    }

    /// Whether the socket holds bytes that were not read, or the end.
    pub fn has_arrivals(&self) -> bool {
        transport::has_arrivals(&self.inner().stream)
    }

    /// Whether the caller has closed its side, or the connection broke.
    pub fn is_closed(&self) -> bool {
        self.inner().received.is_closed()
    }

    /// The socket, once the HTTP library has dropped its clone; `None` before.
    pub fn into_socket(self) -> Option<TcpStream> {
        let inner = Arc::into_inner(self.0)?;
        Some(inner.into_inner().unwrap_or_else(PoisonError::into_inner).stream)
    }
}

impl Read for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.inner();
        let Inner { stream, received, progress } = &mut *inner;
        let taken = received.poll_take(stream, cx, cursor.remaining());
        progress.set_unread(received.unread().len());
        cursor.put_slice(&ready!(taken));
        Poll::Ready(Ok(()))
    }
}

impl Write for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.inner();
        let result = Pin::new(&mut inner.stream).poll_write(cx, buffer);
        inner.progress.record_write(&result);
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut inner = self.inner();
        ready!(Pin::new(&mut inner.stream).poll_flush(cx))?;
        inner.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.inner();
        let result = Pin::new(&mut inner.stream).poll_write_vectored(cx, buffers);
        inner.progress.record_write(&result);
        result
    }
}
