use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use http::{HeaderValue, Request, Version, header};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;
use tokio::task::coop::has_budget_remaining;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use transport::discard_rest;

use crate::active_requests::{ActiveGuard, GuardedBody};
use crate::caller_stream::CallerStream;
use crate::engine::Engine;

/// Time for which a connection accepted at the very end of a listener stays open: its first request
/// may be on its way.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(250);
/// Time for which a caller may go on sending after the last response of a connection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a caller has sent a part of another request behind the one being handled.
async fn has_more(stream: &CallerStream) -> bool {
    poll_fn(|cx| {
        stream.poll_ahead(cx);
        // Without budget, the socket may hold more than was read.
        Poll::Ready(stream.has_more() || !has_budget_remaining())
    })
    .await
}

/// Serves the requests of a connection until the caller closes it. A caller that shuts its sending
/// side has left.
///
/// On a stopping VM, the response to the last request that has arrived says that the connection
/// ends. Once `stop` is cancelled, the connection is closed when it is idle.
pub async fn serve_connection(
    stream: TcpStream,
    engine: Arc<Engine>,
    builder: auto::Builder<TokioExecutor>,
    stop: CancellationToken,
) {
    let accepted_at = Instant::now();
    let stream = CallerStream::new(stream);
    let service = service_fn(|request: Request<Incoming>| {
        let (engine, stream) = (Arc::clone(&engine), stream.clone());
        let guard = ActiveGuard::new(&stream, request.body().size_hint().exact());
        async move {
            // HTTP/2 tells callers by a frame that the connection ends.
            let may_close = request.version() != Version::HTTP_2;
            let mut response = engine.handle(request).await;
            if may_close && engine.fleet().is_stopping() && !has_more(&stream).await {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let mut closing = pin!(async {
        stop.cancelled().await;
        tokio::time::sleep_until(accepted_at + MIN_CONNECTION_TIME).await;
    });
    let mut answers_due = pin!(engine.answers_due().cancelled());
    let (mut is_closing, mut is_told, mut is_due) = (false, false, false);
    let has_ended = {
        let connection = builder.serve_connection(TokioIo::new(stream.clone()), service);
        let mut connection = pin!(connection);
        poll_fn(|cx| {
            is_closing = is_closing || closing.as_mut().poll(cx).is_ready();
            if is_closing && !is_told && stream.is_http2() {
                is_told = true;
                connection.as_mut().graceful_shutdown();
            }
            if !is_due && answers_due.as_mut().poll(cx).is_ready() {
                is_due = true;
                stream.poll_ahead(cx);
                stream.stop_reading();
            }
            loop {
                // Connection errors are caused by callers and are not logged.
                if connection.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(true);
                }
                let has_read = stream.poll_ahead(cx);
                if stream.is_closed() {
                    // The caller has left: dropping the connection cancels its requests.
                    return Poll::Ready(false);
                }
                if !has_read && !stream.resume() {
                    break;
                }
            }
            // A request whose head has begun to arrive is waited for until answers are due. Without
            // budget, the socket may hold more than was read.
            let has_no_more = is_closing && has_budget_remaining() && !stream.has_more();
            if !stream.is_http2() && stream.is_idle() && (is_due || has_no_more) {
                return Poll::Ready(false);
            }
            Poll::Pending
        })
        .await
    };
    if has_ended {
        stream.refuse_slow_head();
    }
    if !stream.is_closed()
        && let Some(socket) = stream.take_socket()
    {
        // A caller that keeps sending is cut off after the timeout.
        discard_rest(socket, DISCARD_TIMEOUT).await;
    }
}
