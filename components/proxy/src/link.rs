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

/// Longest wait for a new connection. Both regions answer within 60 ms when they answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two pings of a connection.
const PING_EVERY: Duration = Duration::from_millis(500);
/// A connection whose ping is not answered for this long has gone silent and is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(1000);
/// Bytes that a VM sends ahead on one request and on one connection; the delay between regions
/// times 30 Mbit/s is about 225 KB.
const WINDOW: u32 = 1 << 20;

/// The HTTP/2 connection to another VM. Pings find out when it goes silent.
pub struct VmLink {
    address: SocketAddr,
    sender: Mutex<Option<SendRequest<Full<Bytes>>>>,
}

impl VmLink {
    /// A link that connects when it is needed.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(VmLink { address, sender: Mutex::default() })
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let failed = |source| SendError::Connect { address: self.address, source };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| failed(std::io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let shake = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_EVERY)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .initial_stream_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = tokio::time::timeout(CONNECT_TIMEOUT, shake)
            .await
            .map_err(|_| failed(std::io::ErrorKind::TimedOut.into()))?
            .map_err(|error| failed(std::io::Error::other(error)))?;
        // The task ends with the connection, which closes when its last sender is dropped.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn sender(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let mut held = self.sender.lock().await;
        if let Some(sender) = held.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        let sender = self.connect().await?;
        *held = Some(sender.clone());
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
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }
}
