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

/// Time without acknowledgement after which the system closes a connection. Lets a few lost
/// packets be sent again.
const SILENCE: Duration = Duration::from_millis(2500);
/// Idle connections kept for each backend server.
const MOST_IDLE: usize = 8;

/// Why a request on a connection has no answer.
#[derive(Debug)]
pub enum SendError {
    /// No connection; no byte was sent.
    Connect(std::io::Error),
    /// The connection closed before a byte was sent.
    Unsent,
    /// The connection broke after the request was sent at least in part.
    Broken(hyper::Error),
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    keep: Duration,
}

/// A connection that carries one request at a time. Dropping it closes it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

/// Opens a connection within `limit`.
pub async fn open(address: SocketAddr, limit: Duration) -> Result<Connection, SendError> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::Connect(std::io::ErrorKind::TimedOut.into()))?
        .map_err(SendError::Connect)?;
    stream.set_nodelay(true).map_err(SendError::Connect)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE)).map_err(SendError::Connect)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| SendError::Unsent)?;
    tokio::spawn(async move {
        // Whoever waits for an answer sees the same error.
        let _ = connection.await;
    });
    Ok(Connection { sender })
}

/// Idle connections to backend servers.
#[derive(Default)]
pub struct Pools {
    idle: Mutex<HashMap<BackendKey, Vec<Idle>>>,
}

impl Pools {
    fn take(&self, key: BackendKey, age: Duration) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&key)?;
        while let Some(last) = list.pop() {
            let limit = age.min(last.keep);
            if last.since.elapsed() > limit {
                // The ones below have been idle for longer.
                if last.since.elapsed() <= last.keep {
                    list.push(last);
                }
                return None;
            }
            if !last.sender.is_closed() {
                return Some(last.sender);
            }
        }
        None
    }

    /// Takes a connection that was idle for at most `age`, or opens one within `limit`.
    pub async fn checkout(
        &self,
        key: BackendKey,
        address: SocketAddr,
        age: Duration,
        limit: Duration,
    ) -> Result<Connection, SendError> {
        if let Some(sender) = self.take(key, age) {
            return Ok(Connection { sender });
        }
        open(address, limit).await
    }

    /// Takes back a connection whose answer was read to its end. `keep` is how long the backend
    /// server keeps it.
    pub fn give_back(&self, key: BackendKey, connection: Connection, keep: Duration) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(key).or_default();
        list.push(Idle { sender: connection.sender, since: Instant::now(), keep });
        if list.len() > MOST_IDLE {
            list.remove(0);
        }
    }

    /// Closes the connections of backend servers that are gone, and those idle for too long.
    pub fn sweep(&self, mut lives: impl FnMut(BackendKey) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|key, list| {
            list.retain(|i| i.since.elapsed() <= i.keep && !i.sender.is_closed());
            lives(*key) && !list.is_empty()
        });
    }

    /// Closes the idle connections to one backend server.
    pub fn close(&self, key: BackendKey) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
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
