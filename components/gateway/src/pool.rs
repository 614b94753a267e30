use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::BackendKey;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::backend_stream::{BackendStream, HeadAllowance};

/// Time without acknowledgement after which the kernel closes a connection. Leaves time to
/// retransmit a few lost packets.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of idle connections kept per backend server.
const MAX_IDLE_PER_BACKEND: usize = 8;

/// Size of the buffer of a connection, and with it of a response head.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// The connection could not be opened; nothing was sent.
    Connect(std::io::Error),
    /// The connection was closed before anything was sent.
    Closed,
    /// The connection broke after at least part of the request was sent.
    Broken(hyper::Error),
}

struct Idle {
    connection: Connection,
    since: Instant,
    max_idle: Duration,
}

/// A connection for one request at a time; closed when it is dropped.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: HeadAllowance,
}

/// Opens a connection within `timeout`.
pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, SendError> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::Connect(std::io::ErrorKind::TimedOut.into()))?
        .map_err(SendError::Connect)?;
    stream.set_nodelay(true).map_err(SendError::Connect)?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
        .map_err(SendError::Connect)?;
    let allowance = HeadAllowance::default();
    let stream = BackendStream::new(stream, allowance.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::Closed)?;
    tokio::spawn(async move {
        // The task that waits for the response sees the same error.
        let _ = connection.await;
    });
    Ok(Connection { sender, allowance })
}

/// Pools of idle connections to backend servers.
#[derive(Default)]
pub struct Pools {
    idle: Mutex<HashMap<BackendKey, Vec<Idle>>>,
}

impl Pools {
    fn take(&self, key: BackendKey, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&key)?;
        while let Some(last) = list.pop() {
            let limit = max_idle.min(last.max_idle);
            if last.since.elapsed() > limit {
                // The connections further down have been idle for longer.
                if last.since.elapsed() <= last.max_idle {
                    list.push(last);
                }
                return None;
            }
            if last.connection.sender.is_ready() {
                return Some(last.connection);
            }
            // A connection that is not ready is closed, or its backend server still reads the
            // request that it has answered; the next request would wait for it or be lost with it.
        }
        None
    }

    /// Takes a connection that was idle for at most `max_idle`, or opens one within `timeout`.
    pub async fn checkout(
        &self,
        key: BackendKey,
        address: SocketAddr,
        max_idle: Duration,
        timeout: Duration,
    ) -> Result<Connection, SendError> {
        if let Some(connection) = self.take(key, max_idle) {
            return Ok(connection);
        }
        open(address, timeout).await
    }

    /// Returns a connection to the pool after its response was read completely. `max_idle` is how
    /// long the backend server keeps it open.
    pub fn release(&self, key: BackendKey, connection: Connection, max_idle: Duration) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(key).or_default();
        list.push(Idle { connection, since: Instant::now(), max_idle });
        if list.len() > MAX_IDLE_PER_BACKEND {
            list.remove(0);
        }
    }

    /// Closes connections that were idle for too long or whose backend server is no longer listed.
    pub fn prune(&self, mut is_known: impl FnMut(BackendKey) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|key, list| {
            list.retain(|i| i.since.elapsed() <= i.max_idle && !i.connection.sender.is_closed());
            is_known(*key) && !list.is_empty()
        });
    }

    /// Closes the idle connections to one backend server.
    pub fn close(&self, key: BackendKey) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
    }
}

impl Connection {
    /// Sends a request and waits for the response head.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        // The head, and what the library reads ahead of the body.
        self.allowance.set(2 * MAX_BUFFER_BYTES);
        let result = self.sender.try_send_request(request).await;
        self.allowance.set(usize::MAX);
        match result {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Closed),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }
}
