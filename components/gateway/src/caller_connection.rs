use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;

use dispatch::CallerLimits;
use http::{HeaderValue, Request};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use transport::discard_rest;

use crate::caller_stream::CallerStream;
use crate::connection_progress::{ConnectionEnd, ConnectionProgress, RecordedBody};
use crate::http_server::RequestHandler;
use crate::node::Node;

/// Minimum head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;
/// Time for which a connection accepted at the very end of a listener stays open: its first request
/// may be on its way.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(250);
/// Time for which what a caller sends is discarded once it must have read its last response.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Part of the time to the exit of a stopping process for which bytes may be discarded.
const EXIT_FRACTION: f64 = 0.75;

fn caller_limits(node: &Node) -> CallerLimits {
    node.config.load().as_ref().map(|config| config.limits).unwrap_or_default()
}

/// When the head of a request arrived. The request may have waited for those before it on its
/// connection.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedAt(pub std::time::Instant);

/// Whether a connection has a request in progress.
struct Activity {
    /// End of the last request, or the start of the connection; `None` during a request.
    idle_since: Mutex<Option<Instant>>,
    progress: Arc<ConnectionProgress>,
}

/// Ends the request of a connection on drop.
struct BusyGuard(Arc<Activity>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.set(Some(Instant::now()));
    }
}

impl Activity {
    fn new(progress: Arc<ConnectionProgress>) -> Self {
        Activity { idle_since: Mutex::new(Some(Instant::now())), progress }
    }

    fn set(&self, idle_since: Option<Instant>) {
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner) = idle_since;
    }

    fn begin(self: &Arc<Self>) -> BusyGuard {
        self.set(None);
        BusyGuard(Arc::clone(self))
    }

    fn is_idle(&self) -> bool {
        self.idle_since.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    /// Waits until the connection has had no request, and no byte of a response was written, for as
    /// long as the limits in force at that time allow, and for the time that the head of a request
    /// may take.
    async fn wait_until_idle(&self, node: &Node) {
        loop {
            let limits = caller_limits(node);
            let limit = limits.idle_timeout + limits.head_timeout;
            let since = *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner);
            let since = since.map(|since| since.max(Instant::from_std(self.progress.wrote_at())));
            let end = since.unwrap_or_else(Instant::now) + limit;
            if Instant::now() >= end {
                return;
            }
            tokio::time::sleep_until(end).await;
        }
    }
}

/// Serves the requests of a connection one after the other, until the caller closes it. A stopping
/// VM closes it once it has answered what it has read: the last response says so, if nothing of
/// another request has arrived.
pub async fn serve_connection(
    stream: TcpStream,
    node: Arc<Node>,
    handler: impl RequestHandler,
    stop: CancellationToken,
) {
    let open = node.connections.begin();
    let progress = &open.progress;
    let limits = caller_limits(&node);
    let mut builder = http1::Builder::new();
    // Its timer would keep the limits that were in force when the connection was opened.
    builder
        .header_read_timeout(None)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES));
    let activity = Arc::new(Activity::new(Arc::clone(progress)));
    let mut idle_timer = pin!(activity.wait_until_idle(&node));
    let stream = CallerStream::new(stream, Arc::clone(progress));
    let service = service_fn(|mut request: Request<Incoming>| {
        let (node, handler, stream) = (Arc::clone(&node), handler.clone(), stream.clone());
        let (activity, progress) = (Arc::clone(&activity), Arc::clone(progress));
        progress.record_request();
        let arrived_at = stream.begin_request(request.body().size_hint().exact());
        request.extensions_mut().insert(Arc::clone(&progress));
        request.extensions_mut().insert(ArrivedAt(arrived_at));
        async move {
            let _busy = activity.begin();
            let mut response = handler.handle(Arc::clone(&node), request).await;
            if node.is_stopping() && !stream.has_more() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(http::header::CONNECTION, close);
            }
            stream.end_request();
            Ok::<_, Infallible>(response.map(|body| RecordedBody::new(body, progress)))
        }
    });
    let mut closing = pin!(async {
        let accepted_at = Instant::now();
        stop.cancelled().await;
        tokio::time::sleep_until(accepted_at + MIN_CONNECTION_TIME).await;
    });
    let mut keeping_ends = pin!(node.keeping_ends());
    let (mut is_closing, mut is_over) = (false, false);
    let end = {
        let mut connection = pin!(builder.serve_connection(stream.clone(), service));
        poll_fn(|cx| {
            is_closing = is_closing || closing.as_mut().poll(cx).is_ready();
            is_over = is_over || keeping_ends.as_mut().poll(cx).is_ready();
            while idle_timer.as_mut().poll(cx).is_ready() {
                if !stream.has_arrivals() {
                    return Poll::Ready(ConnectionEnd::Idle);
                }
                activity.set(Some(Instant::now()));
                idle_timer.set(activity.wait_until_idle(&node));
            }
            loop {
                // Connections broken by callers are normal and not logged.
                if connection.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(ConnectionEnd::Closed);
                }
                let has_read = stream.poll_ahead(cx);
                if stream.is_closed() {
                    // The caller has left: dropping the connection cancels its request.
                    return Poll::Ready(ConnectionEnd::CallerLeft);
                }
                if !has_read && !stream.resume() {
                    break;
                }
            }
            let is_idle = activity.is_idle() && progress.is_flushed();
            // A busy process gets here late: what waits in the socket is answered in any case.
            let has_no_more = if is_over { !stream.has_arrivals() } else { !stream.has_more() };
            if is_idle && is_closing && has_no_more {
                return Poll::Ready(ConnectionEnd::Closed);
            }
            Poll::Pending
        })
        .await
    };
    let end = if stream.is_closed() { ConnectionEnd::CallerLeft } else { end };
    // A request that arrives while the caller still reads a response would reset the connection, and
    // with it the response. Later, one must not be read: its caller sends it again to another VM.
    let linger_until = Instant::from_std(progress.read_at()) + LINGER_TIME;
    if end != ConnectionEnd::CallerLeft
        && Instant::now() < linger_until
        && let Some(socket) = stream.into_socket()
    {
        let to_read = linger_until - Instant::now();
        let limit = match node.time_to_exit() {
            Some(left) => to_read.min(left.mul_f64(EXIT_FRACTION)),
            None => to_read,
        };
        progress.record_discard(discard_rest(socket, limit).await);
    }
    progress.log_end(&node, end);
}
