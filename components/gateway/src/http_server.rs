use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller_connection::serve_connection;
use crate::node::Node;
use crate::response::CallerResponse;

/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// TCP keepalive: idle time before the first probe, and interval of probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a stopping listener still accepts connections.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

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
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => start_connection(&connections, stream, &node, &handler, &stop),
            Err(error) => {
                telemetry::event!(ACCEPT_FAILED, error = error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Callers whose connections wait in the backlog would get a reset. It takes a moment to learn of
    // them: a process that was paused gets its timers first.
    let end = Instant::now() + BACKLOG_TIME;
    while let Ok(Ok((stream, _))) = tokio::time::timeout_at(end, listener.accept()).await {
        start_connection(&connections, stream, &node, &handler, &stop);
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

fn start_connection(
    connections: &TaskTracker,
    stream: TcpStream,
    node: &Arc<Node>,
    handler: &impl RequestHandler,
    stop: &CancellationToken,
) {
    match configure_socket(&stream) {
        Ok(()) => {
            let (node, handler, stop) = (Arc::clone(node), handler.clone(), stop.clone());
            connections.spawn(serve_connection(stream, node, handler, stop));
        }
        // The caller has already closed the connection.
        Err(error) => telemetry::event!(ACCEPT_FAILED, error = error.to_string()),
    }
}
