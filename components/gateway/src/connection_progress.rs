use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use slotmap::{SlotMap, new_key_type};

use crate::node::Node;

/// Rate at which slow callers read their responses, in bytes a second.
const MIN_READ_RATE: u64 = 32 << 10;

new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// Why a connection of a caller ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// The caller closed its side, or the connection broke.
    CallerLeft,
    /// This VM closed it, after a response or because it stops.
    Closed,
    /// This VM closed it because it had no request for too long.
    Idle,
    /// The process ended.
    ProcessEnd,
}

impl ConnectionEnd {
    /// The reason as logs and metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            ConnectionEnd::CallerLeft => "caller-left",
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Idle => "idle",
            ConnectionEnd::ProcessEnd => "process-end",
        }
    }
}

/// What has happened on a connection of a caller, so that the log of a VM tells which requests it
/// left without a response, and how far they had come.
#[derive(Debug)]
pub struct ConnectionProgress {
    opened: Instant,
    /// Requests whose heads were parsed.
    parsed: AtomicU32,
    /// Requests that were sent to a backend server. At most `parsed`.
    passed_on: AtomicU32,
    /// Responses that the HTTP library has taken whole. At most `parsed`.
    taken: AtomicU32,
    /// Responses that were written to the socket. At most `taken`.
    responded: AtomicU32,
    /// Bytes that arrived and that the HTTP library has not taken.
    unread: AtomicUsize,
    /// Whether the socket does not take more bytes of a response.
    blocked: AtomicBool,
    /// When bytes were last written, in milliseconds after `opened`.
    wrote_ms: AtomicU64,
    /// When the caller has read what was written, if it reads at `MIN_READ_RATE`, in milliseconds
    /// after `opened`. Not before `wrote_ms`.
    read_ms: AtomicU64,
}

impl Default for ConnectionProgress {
    fn default() -> Self {
        ConnectionProgress {
            opened: Instant::now(),
            parsed: AtomicU32::new(0),
            passed_on: AtomicU32::new(0),
            taken: AtomicU32::new(0),
            responded: AtomicU32::new(0),
            unread: AtomicUsize::new(0),
            blocked: AtomicBool::new(false),
            wrote_ms: AtomicU64::new(0),
            read_ms: AtomicU64::new(0),
        }
    }
}

impl ConnectionProgress {
    /// Records that the head of a request was parsed.
    pub fn record_request(&self) {
        self.parsed.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a request was sent to a backend server for the first time.
    pub fn record_send(&self) {
        self.passed_on.fetch_add(1, Ordering::Relaxed);
    }

    fn record_response(&self) {
        self.taken.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that all bytes that the HTTP library has taken were written.
    pub fn record_flush(&self) {
        self.responded.store(self.taken.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Whether the responses to all requests were written.
    pub fn is_flushed(&self) -> bool {
        self.responded.load(Ordering::Relaxed) == self.parsed.load(Ordering::Relaxed)
    }

    /// Records a write to the socket. The kernel holds the bytes until the caller reads them.
    pub fn record_write(&self, result: &Poll<io::Result<usize>>) {
        self.blocked.store(result.is_pending(), Ordering::Relaxed);
        if let Poll::Ready(Ok(bytes)) = result {
            let now_ms = self.opened.elapsed().as_millis() as u64;
            self.wrote_ms.store(now_ms, Ordering::Relaxed);
            let begin_ms = self.read_ms.load(Ordering::Relaxed).max(now_ms);
            let read_ms = begin_ms + *bytes as u64 * 1000 / MIN_READ_RATE;
            self.read_ms.store(read_ms, Ordering::Relaxed);
        }
    }

    /// When a slow caller has read what was written.
    pub fn read_at(&self) -> Instant {
        self.opened + Duration::from_millis(self.read_ms.load(Ordering::Relaxed))
    }

    /// When bytes were last written; the start of the connection if none were.
    pub fn wrote_at(&self) -> Instant {
        self.opened + Duration::from_millis(self.wrote_ms.load(Ordering::Relaxed))
    }

    /// Records how many bytes the HTTP library has not taken.
    pub fn set_unread(&self, bytes: usize) {
        self.unread.store(bytes, Ordering::Relaxed);
    }

    /// Records how many bytes arrived behind the last response.
    pub fn record_discard(&self, bytes: usize) {
        self.unread.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts the end of the connection. Logs it if the VM stops, or if the VM has left something
    /// without a response.
    pub fn log_end(&self, node: &Node, end: ConnectionEnd) {
        let [parsed, passed_on, responded] = [&self.parsed, &self.passed_on, &self.responded]
            .map(|count| count.load(Ordering::Relaxed));
        let (unread, blocked) =
            (self.unread.load(Ordering::Relaxed), self.blocked.load(Ordering::Relaxed));
        let unanswered = parsed.saturating_sub(responded);
        node.metrics.record_connection_end(end.as_str(), unanswered);
        let is_cut = end != ConnectionEnd::CallerLeft && (unanswered > 0 || unread > 0 || blocked);
        let open_ms = self.opened.elapsed().as_millis() as u64;
        if is_cut {
            telemetry::event!(
                CONNECTION_CUT,
                end = end.as_str(),
                parsed = parsed,
                passed_on = passed_on,
                responded = responded,
                unread_bytes = unread,
                blocked = blocked,
                open_ms = open_ms,
            );
        } else if node.is_stopping() {
            telemetry::event!(
                CONNECTION_ENDED,
                end = end.as_str(),
                parsed = parsed,
                passed_on = passed_on,
                responded = responded,
                unread_bytes = unread,
                blocked = blocked,
                open_ms = open_ms,
            );
        }
    }
}

/// Body of a response that records when the HTTP library has taken it whole.
///
/// The library drops a body with its last byte taken. It may write the head, and flush it, before
/// it takes the body.
pub struct RecordedBody {
    body: Full<Bytes>,
    progress: Arc<ConnectionProgress>,
}

impl RecordedBody {
    /// Wraps the body of a response.
    pub fn new(body: Full<Bytes>, progress: Arc<ConnectionProgress>) -> Self {
        RecordedBody { body, progress }
    }
}

impl Drop for RecordedBody {
    fn drop(&mut self) {
        self.progress.record_response();
    }
}

impl Body for RecordedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        Body::size_hint(&self.body)
    }
}

/// The open connections of callers and other VMs.
#[derive(Default)]
pub struct Connections(Mutex<SlotMap<ConnectionKey, Arc<ConnectionProgress>>>);

/// Removes a connection on drop.
pub struct ConnectionGuard<'a> {
    connections: &'a Connections,
    key: ConnectionKey,
    /// What has happened on the connection.
    pub progress: Arc<ConnectionProgress>,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.connections.lock().remove(self.key);
    }
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<ConnectionProgress>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection until the guard is dropped.
    pub fn begin(&self) -> ConnectionGuard<'_> {
        let progress = Arc::new(ConnectionProgress::default());
        let key = self.lock().insert(Arc::clone(&progress));
        ConnectionGuard { connections: self, key, progress }
    }

    /// All open connections.
    pub fn list(&self) -> Vec<Arc<ConnectionProgress>> {
        self.lock().values().cloned().collect()
    }
}
