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

use crate::answer::CallerAnswer;
use crate::node::Node;

/// Pause after a failed accept, so that a VM out of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Least buffer for a request's head that the HTTP library takes.
const LEAST_HEAD: usize = 8192;
/// Idle time after which a connection is checked, and the pause between two checks.
const KEEPALIVE: Duration = Duration::from_secs(3);

/// Answers one request of a connection.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers the request.
    fn handle(
        &self,
        node: Arc<Node>,
        request: Request<Incoming>,
    ) -> impl Future<Output = CallerAnswer> + Send;
}

impl<F, R> Handler for F
where
    F: Fn(Arc<Node>, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = CallerAnswer> + Send,
{
    fn handle(
        &self,
        node: Arc<Node>,
        request: Request<Incoming>,
    ) -> impl Future<Output = CallerAnswer> + Send {
        self(node, request)
    }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Serves a listener until `stop` is cancelled, then ends idle connections and finishes what runs.
pub async fn serve(
    listener: TcpListener,
    node: Arc<Node>,
    handler: impl Handler,
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = prepare(&stream) {
            // The caller has closed it already.
            telemetry::event!(ACCEPT_FAILED, error = error.to_string());
            continue;
        }
        let limits = node.catalogue.load().as_ref().map(|c| c.limits).unwrap_or_default();
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // The library's timer runs from the end of the answer before.
            .header_read_timeout(limits.idle_timeout + limits.head_timeout)
            .max_buf_size(limits.max_head_bytes.max(LEAST_HEAD));
        let (node, handler) = (Arc::clone(&node), handler.clone());
        let service = service_fn(move |request| {
            let (node, handler) = (Arc::clone(&node), handler.clone());
            async move {
                let mut answer = handler.handle(Arc::clone(&node), request).await;
                if node.is_stopping() {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(http::header::CONNECTION, close);
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that breaks its connection is not an event of the fleet.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
