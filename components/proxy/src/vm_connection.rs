use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::pool::SendError;

/// Longest wait for a new connection. A reachable VM in either region answers within 60 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two pings of a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A connection is closed if a ping is not answered for this long.
const PING_TIMEOUT: Duration = Duration::from_millis(1000);
/// Flow control window of a stream and of a connection. It exceeds the bandwidth-delay product
/// between the regions, which is about 225 KB at 30 Mbit/s.
const WINDOW_BYTES: u32 = 1 << 20;

/// The HTTP/2 connection to another VM. Pings detect that the VM no longer answers.
pub struct VmConnection {
    address: SocketAddr,
    sender: Mutex<Option<SendRequest<Full<Bytes>>>>,
}

impl VmConnection {
    /// Creates a connection that is opened by the first request.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(VmConnection { address, sender: Mutex::default() })
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let connect_error = |source| SendError::Connect { address: self.address, source };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| connect_error(std::io::ErrorKind::TimedOut.into()))?
            .map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| connect_error(std::io::ErrorKind::TimedOut.into()))?
            .map_err(|error| connect_error(std::io::Error::other(error)))?;
        // The task ends with the connection, which closes when its last sender is dropped.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn sender(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let mut cached = self.sender.lock().await;
        if let Some(sender) = cached.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        let sender = self.connect().await?;
        *cached = Some(sender.clone());
        Ok(sender)
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut sender = self.sender().await?;
        sender.ready().await.map_err(|_| SendError::Unsent)?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Unsent),
                None => Err(SendError::Broken(error.into_error().into())),
            },
        }
    }
}
