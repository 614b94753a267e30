use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::caller_io::{Active, CallerIo};
use crate::counted::{Counted, CountedBody};
use crate::engine::Engine;

/// Pause after a failed accept, so that a VM out of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of the callers' connections.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Longest wait for a request's head.
    pub head_timeout: Duration,
    /// Most connections at once; more wait unaccepted.
    pub max_connections: usize,
}

/// Serves callers until `stop` is cancelled; then ends idle connections and finishes what runs.
pub async fn serve(
    listener: TcpListener,
    engine: Arc<Engine>,
    options: ServerOptions,
    stop: CancellationToken,
) {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.max_head_bytes.max(8192))
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(options.max_head_bytes).unwrap_or(u32::MAX));
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(options.max_connections));
    loop {
        let permit = tokio::select! {
            () = stop.cancelled() => break,
            permit = Arc::clone(&permits).acquire_owned() => permit,
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(_) => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let engine = Arc::clone(&engine);
        let active = Active::default();
        let io = CallerIo::new(stream, Arc::clone(&active));
        let service = service_fn(move |request| {
            let engine = Arc::clone(&engine);
            let counted = Counted::new(&active);
            async move {
                let response = engine.handle(request).await;
                let body = response.map(|body| CountedBody::new(body, counted));
                Ok::<_, Infallible>(body)
            }
        });
        let connection = builder.serve_connection(TokioIo::new(io), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that breaks its connection is not an event of the fleet.
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
