use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// Longest wait for a new connection. Both regions answer within 60 ms when they answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept for each address.
const MAX_IDLE: usize = 32;

/// Why a request on a connection has no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be opened; no byte was sent.
    #[error("no connection to {address}: {source}; check that it is up")]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connection was closed before the request was written; no byte was sent.
    #[error("the connection closed before the request was sent; send it again")]
    Unsent,
    /// The connection broke after the request was written at least in part.
    #[error("the connection broke after the request was sent ({0}); it may have run")]
    Broken(#[source] hyper::Error),
}

impl SendError {
    /// Whether no byte of the request can have reached the other side.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, SendError::Broken(_))
    }
}

/// Connections that are open, by number, with the time at which they were opened.
type Open = Arc<Mutex<HashMap<u64, Instant>>>;

struct Idle {
    number: u64,
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Connections to one address.
pub struct Pool {
    address: SocketAddr,
    /// Most recently used last.
    idle: Mutex<Vec<Idle>>,
    open: Open,
    next: AtomicU64,
}

/// A connection that carries one request at a time. Dropping it closes it.
pub struct Connection {
    number: u64,
    sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub reused: bool,
}

impl Pool {
    /// An empty pool.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Pool {
            address,
            idle: Mutex::default(),
            open: Open::default(),
            next: AtomicU64::new(0),
        })
    }

    /// Address of the other side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that carried a response at most `max_age` ago, or opens one.
    pub async fn checkout(&self, max_age: Duration) -> Result<Connection, SendError> {
        if let Some(idle) = self.take_idle(max_age) {
            return Ok(Connection { number: idle.number, sender: idle.sender, reused: true });
        }
        let failed = |source| SendError::Connect { address: self.address, source };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| failed(std::io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(std::io::Error::other(error)))?;
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let open = Arc::clone(&self.open);
        open.lock().unwrap_or_else(PoisonError::into_inner).insert(number, Instant::now());
        // The task ends with the connection, which closes when the sender is dropped.
        tokio::spawn(async move {
            let _ = connection.await;
            open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
        });
        Ok(Connection { number, sender, reused: false })
    }

    fn take_idle(&self, max_age: Duration) -> Option<Idle> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(last) = idle.pop() {
            if last.since.elapsed() > max_age {
                // The ones below have been idle for longer. They stay for requests that may be
                // sent again.
                idle.push(last);
                return None;
            }
            if last.sender.is_ready() {
                return Some(last);
            }
        }
        None
    }

    /// Takes back a connection whose response was read to its end.
    pub fn give_back(self: &Arc<Self>, mut connection: Connection) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            let mut idle = pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
            let (number, sender) = (connection.number, connection.sender);
            idle.push(Idle { number, sender, since: Instant::now() });
            if idle.len() > MAX_IDLE {
                idle.remove(0);
            }
        });
    }

    /// Whether a connection that was opened before `at` is still open.
    pub fn has_survivor(&self, at: Instant) -> bool {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.values().any(|opened| *opened < at)
    }

    /// Closes connections that have been idle for longer than `max_age`.
    pub fn close_idle(&self, max_age: Duration) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|i| i.since.elapsed() <= max_age && !i.sender.is_closed());
    }
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Unsent),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }
}
