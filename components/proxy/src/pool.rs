use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::net::TcpStream;
use transport::{HttpConnection, ResponseError, SendFailure};

/// Longest wait for a new connection. A reachable server in either region answers within 60 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to an address.
const MAX_IDLE: usize = 32;

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be opened; no byte was sent.
    #[error("cannot connect to {address}: {source}; check that the server is running")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The connection was closed before the request was written; no byte was sent.
    #[error("the connection closed before the request was sent; send it again")]
    Unsent,
    /// The connection failed after at least a part of the request was written.
    #[error("the connection broke after the request was sent ({0}); it may have run")]
    Broken(#[source] ResponseError),
}

impl SendError {
    /// Whether certainly no byte of the request has reached the server.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, SendError::Broken(_))
    }
}

/// Times at which the open connections were opened, by ID.
type OpenConnections = Arc<Mutex<HashMap<u64, Instant>>>;

struct IdleConnection {
    id: u64,
    http: HttpConnection,
    idle_since: Instant,
}

/// Pool of HTTP/1.1 connections to one address.
pub struct Pool {
    address: SocketAddr,
    /// Ordered by time of use; the most recently used is last.
    idle: Mutex<Vec<IdleConnection>>,
    open: OpenConnections,
    next_id: AtomicU64,
}

/// A connection that carries one request at a time. Dropping it closes it.
pub struct Connection {
    id: u64,
    http: HttpConnection,
    /// Whether it has carried a request before.
    pub reused: bool,
}

impl Pool {
    /// An empty pool.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Pool {
            address,
            idle: Mutex::default(),
            open: OpenConnections::default(),
            next_id: AtomicU64::new(0),
        })
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes a connection that became idle at most `max_age` ago, or opens one.
    pub async fn checkout(&self, max_age: Duration) -> Result<Connection, SendError> {
        if let Some(idle) = self.take_idle(max_age) {
            return Ok(Connection { id: idle.id, http: idle.http, reused: true });
        }
        let connect_error = |source| SendError::Connect { address: self.address, source };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| connect_error(std::io::ErrorKind::TimedOut.into()))?
            .map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let (http, drive) = HttpConnection::new(stream)
            .await
            .map_err(|error| connect_error(std::io::Error::other(error)))?;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let open = Arc::clone(&self.open);
        open.lock().unwrap_or_else(PoisonError::into_inner).insert(id, Instant::now());
        // The task ends with the connection, which closes when it is dropped here.
        tokio::spawn(async move {
            drive.await;
            open.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        });
        Ok(Connection { id, http, reused: false })
    }

    fn take_idle(&self, max_age: Duration) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(last) = idle.pop() {
            if last.idle_since.elapsed() > max_age {
                // The other connections have been idle for longer. They stay in the pool for
                // idempotent requests, which may be sent again.
                idle.push(last);
                return None;
            }
            if last.http.is_ready() {
                return Some(last);
            }
        }
        None
    }

    /// Returns a connection to the pool after the response was read to its end.
    pub fn release(self: &Arc<Self>, mut connection: Connection) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            if !connection.http.ready().await {
                return;
            }
            let mut idle = pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
            let Connection { id, http, .. } = connection;
            idle.push(IdleConnection { id, http, idle_since: Instant::now() });
            if idle.len() > MAX_IDLE {
                idle.remove(0);
            }
        });
    }

    /// Whether a connection that was opened before `time` is still open.
    pub fn has_connection_before(&self, time: Instant) -> bool {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.values().any(|opened| *opened < time)
    }

    /// Closes connections that have been idle for longer than `max_age`.
    pub fn close_idle(&self, max_age: Duration) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|i| i.idle_since.elapsed() <= max_age && !i.http.is_closed());
    }
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.http.send(request).await.map_err(|failure| match failure {
            SendFailure::Unsent => SendError::Unsent,
            SendFailure::Broken(error) => SendError::Broken(error),
        })
    }
}
