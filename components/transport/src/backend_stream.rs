use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may be read from a connection before the head of a response is complete.
#[derive(Clone, Debug, Default)]
pub struct HeadAllowance(Arc<AtomicUsize>);

impl HeadAllowance {
    /// Sets how many more bytes may be read.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }
}

/// A connection to a backend server that fails once more bytes than allowed were read.
///
/// The HTTP library bounds the size of one head, but not the number of interim responses before
/// it, which it parses without a pause.
pub struct BackendStream {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl BackendStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, allowance: HeadAllowance) -> Self {
        BackendStream { stream, allowance }
    }
}

impl AsyncRead for BackendStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        let allowance = &self.allowance.0;
        match allowance.load(Ordering::Relaxed).checked_sub(read) {
            Some(rest) => allowance.store(rest, Ordering::Relaxed),
            None => return Poll::Ready(Err(io::Error::other("the head of the answer is endless"))),
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }
}
