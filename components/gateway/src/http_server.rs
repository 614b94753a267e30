use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::response::CallerResponse;

/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;
/// TCP keepalive: idle time before the first probe, and interval of probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// Handles the requests of a listener.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(
        &self,
        node: Arc<Node>,
        request: Request<Incoming>,
    ) -> impl Future<Output = CallerResponse> + Send;
}

impl<F, R> RequestHandler for F
where
    F: Fn(Arc<Node>, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = CallerResponse> + Send,
{
    fn handle(
        &self,
        node: Arc<Node>,
        request: Request<Incoming>,
    ) -> impl Future<Output = CallerResponse> + Send {
        self(node, request)
    }
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Serves a listener until `stop` is cancelled, then closes idle connections and finishes requests
/// in flight.
pub async fn serve(
    listener: TcpListener,
    node: Arc<Node>,
    handler: impl RequestHandler,
    stop: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                telemetry::event!(ACCEPT_FAILED, error = error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = configure_socket(&stream) {
            // The caller has already closed the connection.
            telemetry::event!(ACCEPT_FAILED, error = error.to_string());
            continue;
        }
        let limits = node.config.load().as_ref().map(|c| c.limits).unwrap_or_default();
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // The library starts this timer at the end of the previous response.
            .header_read_timeout(limits.idle_timeout + limits.head_timeout)
            .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES));
        let (node, handler) = (Arc::clone(&node), handler.clone());
        let service = service_fn(move |request| {
            let (node, handler) = (Arc::clone(&node), handler.clone());
            async move {
                let mut response = handler.handle(Arc::clone(&node), request).await;
                if node.is_stopping() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(http::header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // Connections broken by callers are normal and not logged.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
