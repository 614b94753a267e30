use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use kernel::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::answer::refusal_text;

/// Requests of one connection that are being answered.
pub type Active = Arc<AtomicUsize>;

/// Longest response that the HTTP library makes itself.
const MAX_BARE: usize = 256;

/// A caller's connection that replaces the bare responses of the HTTP library by refusals.
///
/// The library answers a head that it cannot read before any code of the proxy runs, with a status
/// and no body. Callers are owed a kind, an outcome and a remedy there too.
pub struct CallerIo {
    stream: TcpStream,
    active: Active,
    /// Rest of a refusal that replaces a bare response.
    refusal: Vec<u8>,
    /// Whether a response of the library or of the proxy went out in answer to what was read.
    answered: bool,
    /// Whether the caller speaks HTTP/2, whose library answers in frames.
    http2: bool,
    /// Whether nothing has been read yet.
    fresh: bool,
}

impl CallerIo {
    /// Wraps a connection; `active` counts its requests that are being answered.
    pub fn new(stream: TcpStream, active: Active) -> Self {
        CallerIo { stream, active, refusal: Vec::new(), answered: false, http2: false, fresh: true }
    }

    /// The refusal that replaces these bytes, if they are a bare response of the library.
    fn replace(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        if self.http2 || self.active.load(Ordering::Acquire) > 0 || bytes.len() > MAX_BARE {
            return None;
        }
        let head = bytes.strip_suffix(b"\r\n\r\n")?.strip_prefix(b"HTTP/1.1 ")?;
        let text = str::from_utf8(head).ok()?.to_ascii_lowercase();
        // Every response of the proxy carries the number of its request.
        if !text.contains("content-length: 0") || text.contains("x-request-id") {
            return None;
        }
        let refusal = match text.get(..3)? {
            "431" | "414" => too_large(),
            "400" => unreadable(),
            _ => return None,
        };
        Some(refusal_text(&refusal))
    }

    fn poll_refusal(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.refusal.is_empty() {
            match Pin::new(&mut self.stream).poll_write(context, &self.refusal) {
                Poll::Ready(Ok(count)) => drop(self.refusal.drain(..count)),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(()))
    }
}

fn too_large() -> Refusal {
    let message = "the head of the request is too large; send fewer or shorter headers";
    Refusal::not_run(RefusalKind::HeadTooLarge, message)
}

fn unreadable() -> Refusal {
    let message = "the request cannot be read; send HTTP/1.1 or HTTP/2";
    Refusal::not_run(RefusalKind::BadRequest, message)
}

fn too_slow() -> Refusal {
    let message = "the head of the request took too long to arrive; send it at once";
    Refusal::not_run(RefusalKind::HeadTooSlow, message)
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.answered = false;
            if std::mem::take(&mut self.fresh) {
                self.http2 = buffer.filled()[before..].starts_with(b"PRI");
            }
        }
        read
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.answered = true;
        if let Some(refusal) = this.replace(bytes) {
            this.refusal = refusal;
            // The rest is written by the next flush or shutdown.
            return match this.poll_refusal(context) {
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                _ => Poll::Ready(Ok(bytes.len())),
            };
        }
        Pin::new(&mut this.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_refusal(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_flush(context),
            other => other,
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_refusal(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_shutdown(context),
            other => other,
        }
    }
}

impl Drop for CallerIo {
    /// The library closes a connection whose head comes too slowly without a word.
    fn drop(&mut self) {
        let waiting = !self.http2 && self.active.load(Ordering::Acquire) == 0 && !self.answered;
        if waiting {
            // The refusal is small and the buffer empty; what does not fit is lost with the
            // connection.
            let _ = self.stream.try_write(&refusal_text(&too_slow()));
        }
    }
}
