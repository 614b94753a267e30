use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use dispatch::BackendKey;
use socket2::SockRef;
use tokio::net::TcpStream;
use transport::HttpConnection;

/// Time without acknowledgement after which the kernel closes a connection. Leaves time to
/// retransmit a few lost packets.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of idle connections kept per backend server.
const MAX_IDLE_PER_BACKEND: usize = 8;

/// Why no connection was obtained; nothing was sent.
#[derive(Debug)]
pub enum OpenError {
    /// The connection could not be opened.
    Connect(std::io::Error),
    /// The connection was closed at once.
    Closed,
}

struct Idle {
    connection: HttpConnection,
    since: Instant,
    max_idle: Duration,
}

/// Opens a connection within `timeout`.
pub async fn open(address: SocketAddr, timeout: Duration) -> Result<HttpConnection, OpenError> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| OpenError::Connect(std::io::ErrorKind::TimedOut.into()))?
        .map_err(OpenError::Connect)?;
    stream.set_nodelay(true).map_err(OpenError::Connect)?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
        .map_err(OpenError::Connect)?;
    let (connection, drive) = HttpConnection::new(stream).await.map_err(|_| OpenError::Closed)?;
    tokio::spawn(drive);
    Ok(connection)
}

/// Pools of idle connections to backend servers.
#[derive(Default)]
pub struct Pools {
    idle: Mutex<HashMap<BackendKey, Vec<Idle>>>,
}

impl Pools {
    fn take(&self, key: BackendKey, max_idle: Duration) -> Option<HttpConnection> {
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
            if last.connection.is_ready() {
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
    ) -> Result<HttpConnection, OpenError> {
        if let Some(connection) = self.take(key, max_idle) {
            return Ok(connection);
        }
        open(address, timeout).await
    }

    /// Returns a connection to the pool after its response was read completely. `max_idle` is how
    /// long the backend server keeps it open.
    pub fn release(&self, key: BackendKey, connection: HttpConnection, max_idle: Duration) {
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
            list.retain(|i| i.since.elapsed() <= i.max_idle && !i.connection.is_closed());
            is_known(*key) && !list.is_empty()
        });
    }

    /// Closes the idle connections to one backend server.
    pub fn close(&self, key: BackendKey) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
    }
}
