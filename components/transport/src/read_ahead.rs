use std::collections::VecDeque;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use crate::message_bounds::MessageBounds;

/// Maximum number of bytes read ahead of the HTTP library.
const MAX_AHEAD_BYTES: usize = 32 << 10;
/// Size of one read from the socket.
const CHUNK_BYTES: usize = 4096;
/// Bytes that arrive within this time count as arrived at once, which bounds what is kept of a
/// caller that sends byte by byte.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(10);

/// When bytes of a connection arrived.
struct Arrival {
    /// Number of bytes of the connection that had arrived then.
    end: u64,
    at: Instant,
}

/// The receiving side of a caller's HTTP/1.1 connection, read ahead of the HTTP library.
///
/// The library reads a request only after the previous response, so that it does not notice that a
/// caller with several requests in transit has left. It is given one message at a time, so that
/// nothing but `ahead` holds requests that have not been parsed.
#[derive(Default)]
pub struct ReadAhead {
    /// Bytes read from the socket that the HTTP library has not taken. At most `MAX_AHEAD_BYTES`
    /// and one chunk.
    ahead: BytesMut,
    /// Arrivals of the bytes ahead, and of the last byte that the library has taken.
    arrivals: VecDeque<Arrival>,
    /// Number of bytes that the library has taken.
    taken: u64,
    /// Whether the caller has closed its side, or the connection broke.
    closed: bool,
    /// Whether the socket is read no more.
    stopped: bool,
    /// The message that the HTTP library reads.
    message: MessageBounds,
    /// Whether the library has taken a part of a head. Cleared once it has parsed the head.
    head_begun: bool,
    /// Whether a request is being handled.
    handling: bool,
    /// Whether the library was refused bytes because a request is being handled.
    held: bool,
}

impl ReadAhead {
    /// Whether the message that the library reads is whole and being handled.
    fn holds_back(&self) -> bool {
        self.handling && self.message.is_complete()
    }

    /// Reads one chunk ahead. Returns the number of bytes; 0 once the caller has closed its side.
    fn poll_chunk(&mut self, socket: &mut TcpStream, cx: &mut Context<'_>) -> Poll<usize> {
        let mut chunk = [0; CHUNK_BYTES];
        let mut buffer = ReadBuf::new(&mut chunk);
        let result = ready!(Pin::new(socket).poll_read(cx, &mut buffer));
        let read = if result.is_ok() { buffer.filled().len() } else { 0 };
        self.closed |= read == 0;
        self.ahead.extend_from_slice(buffer.filled());
        self.record_arrival();
        Poll::Ready(read)
    }

    fn record_arrival(&mut self) {
        let (end, now) = (self.taken + self.ahead.len() as u64, Instant::now());
        match self.arrivals.back_mut() {
            Some(last) if now.duration_since(last.at) < ARRIVAL_RESOLUTION => last.end = end,
            _ => self.arrivals.push_back(Arrival { end, at: now }),
        }
    }

    /// Takes bytes from the front of those ahead.
    fn take(&mut self, count: usize) -> BytesMut {
        let bytes = self.ahead.split_to(count);
        self.taken += count as u64;
        if self.ahead.is_empty() {
            // An idle connection holds no buffer of a burst.
            self.ahead = BytesMut::new();
        }
        while self.arrivals.front().is_some_and(|arrival| arrival.end < self.taken) {
            self.arrivals.pop_front();
        }
        bytes
    }

    /// Reads ahead what has arrived. Returns whether anything has, including the end.
    pub fn poll_ahead(&mut self, socket: &mut TcpStream, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        while !self.closed
            && !self.stopped
            && self.ahead.len() < MAX_AHEAD_BYTES
            && self.poll_chunk(socket, cx).is_ready()
        {
            progress = true;
        }
        progress
    }

    /// Takes at most `limit` bytes of the message that the library reads; none at the end of the
    /// connection.
    pub fn poll_take(
        &mut self,
        socket: &mut TcpStream,
        cx: &mut Context<'_>,
        limit: usize,
    ) -> Poll<BytesMut> {
        if self.holds_back() {
            self.held = true;
            return Poll::Pending;
        }
        if self.ahead.is_empty() && !self.closed {
            if self.stopped {
                return Poll::Pending;
            }
            ready!(self.poll_chunk(socket, cx));
        }
        if self.message.is_complete() {
            self.message = MessageBounds::default();
        }
        let count = self.message.read(&self.ahead[..self.ahead.len().min(limit)]);
        let bytes = self.take(count);
        // Empty lines between requests begin none.
        let has_text = bytes.iter().any(|byte| !byte.is_ascii_whitespace());
        self.head_begun |= has_text && self.message.is_head();
        Poll::Ready(bytes)
    }

    /// Records that the library has parsed the head of a request, whose body has this many bytes;
    /// `None` if it is sent in chunks. Returns when the end of the head arrived.
    pub fn begin_request(&mut self, body_length: Option<u64>) -> Instant {
        self.message.begin_body(body_length);
        self.head_begun = false;
        self.handling = true;
        self.arrivals.front().map_or_else(Instant::now, |arrival| arrival.at)
    }

    /// Records that the response to a request is ready.
    pub fn end_request(&mut self) {
        self.handling = false;
    }

    /// Whether the library may take bytes again that it was refused.
    pub fn resume(&mut self) -> bool {
        self.held && !self.holds_back() && std::mem::take(&mut self.held)
    }

    /// Whether the caller has sent a part of another request behind the one being handled, or of
    /// its first.
    pub fn has_more(&self, socket: &TcpStream) -> bool {
        let mut message = self.message;
        self.head_begun
            || message.read(&self.ahead) < self.ahead.len()
            || (!self.stopped && has_arrivals(socket))
    }

    /// Whether the library has taken a part of a head that it has not parsed.
    pub fn has_head_begun(&self) -> bool {
        self.head_begun
    }

    /// Reads no more from the socket. What has been read is still handled.
    pub fn stop_reading(&mut self) {
        self.stopped = true;
    }

    /// Whether the caller has closed its side, or the connection broke.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Bytes read from the socket that the library has not taken.
    pub fn unread(&self) -> &[u8] {
        &self.ahead
    }
}

/// Whether a socket holds bytes that were not read, or the end. The runtime may not have learnt of
/// them: after a pause of the process, timers come first.
pub fn has_arrivals(socket: &TcpStream) -> bool {
    SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]).is_ok()
}

/// Closes the sending side, then reads and discards what a caller still sends, until it closes its
/// side: closing a socket with unread bytes resets the connection, and the caller would lose the
/// end of its response. Gives up after a time. Returns the number of bytes.
pub async fn discard_rest(mut stream: TcpStream, limit: Duration) -> usize {
    // It fails if the connection is broken; then there is nothing to read either.
    let _ = stream.shutdown().await;
    let mut chunk = [0; CHUNK_BYTES];
    let end = tokio::time::Instant::now() + limit;
    let mut count = 0;
    while let Ok(Ok(read @ 1..)) = tokio::time::timeout_at(end, stream.read(&mut chunk)).await {
        count += read;
    }
    count
}
