use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller_connection::serve_connection;
use crate::engine::Engine;

/// Pause after a failed accept, so that a VM without free file descriptors does not busy-loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time for which a stopping listener still accepts connections.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

/// Time for which callers may take their responses once a stopping VM has answered all requests.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(1500);

/// Limits of callers' connections.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// Maximum number of open connections; further ones wait until they are accepted.
    pub max_connections: usize,
}

/// Connections of a listener.
struct Connections {
    engine: Arc<Engine>,
    builder: auto::Builder<TokioExecutor>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Connections {
    fn start(&self, stream: TcpStream, permit: Option<OwnedSemaphorePermit>) {
        let _ = stream.set_nodelay(true);
        let (engine, builder) = (Arc::clone(&self.engine), self.builder.clone());
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            serve_connection(stream, engine, builder, stop).await;
            drop(permit);
        });
    }
}

/// Serves callers until `stop` is cancelled, then closes idle connections and answers the requests
/// that callers have sent. Returns the number of connections that are cut off, because their callers
/// have not taken a response in time.
pub async fn serve(
    listener: TcpListener,
    engine: Arc<Engine>,
    options: ServerOptions,
    stop: CancellationToken,
) -> usize {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.max_head_bytes.max(8192))
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(options.max_head_bytes).unwrap_or(u32::MAX));
    let tasks = TaskTracker::new();
    let connections = Connections { engine, builder, stop: stop.clone(), tasks };
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
        match accepted {
            Ok((stream, _)) => connections.start(stream, permit.ok()),
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    // Callers whose connections wait in the backlog would get a reset. It takes a moment to learn of
    // them: a process that was paused gets its timers first. No permit is needed: others are closed
    // now.
    let end = Instant::now() + BACKLOG_TIME;
    while let Ok(Ok((stream, _))) = tokio::time::timeout_at(end, listener.accept()).await {
        connections.start(stream, None);
    }
    drop(listener);
    connections.tasks.close();
    let tasks = &connections.tasks;
    tokio::select! {
        () = tasks.wait() => 0,
        () = async {
            connections.engine.answers_due().cancelled().await;
            tokio::time::sleep(LAST_RESPONSE_TIME).await;
        } => tasks.len(),
    }
}
