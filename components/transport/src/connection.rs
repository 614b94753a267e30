use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::backend_stream::{BackendStream, HeadAllowance};

/// Size of the buffer of a connection, and with it of a response head.
pub const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Highest status that HTTP defines (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// Why a connection has brought no response to a request that was sent.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// It broke, or brought bytes that are no response.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The response has a status that no final response has. The HTTP library takes any of three
    /// digits from 100 on.
    #[error("the answer has the status {0}, which no final answer has")]
    InvalidStatus(u16),
}

/// Why a request has no response.
#[derive(Debug)]
pub enum SendFailure {
    /// The connection was closed before any byte of the request was sent.
    Unsent,
    /// The connection failed after at least a part of the request was sent.
    Broken(ResponseError),
}

/// A connection that carries one request at a time. Dropping it closes it.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: HeadAllowance,
    has_responded: bool,
}

impl HttpConnection {
    /// Wraps an open TCP connection. The second value drives the connection until it closes.
    pub async fn new(
        stream: TcpStream,
    ) -> Result<(HttpConnection, impl Future<Output = ()> + Send), hyper::Error> {
        let allowance = HeadAllowance::default();
        let stream = BackendStream::new(stream, allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let drive = async move {
            // Whoever waits for a response gets the same error.
            let _ = connection.await;
        };
        Ok((HttpConnection { sender, allowance, has_responded: false }, drive))
    }

    /// Whether it can carry a request now. It cannot while the server still reads the previous one.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether it has brought a response, so that the next one may be a second copy of it.
    pub fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until it can carry a request; returns whether it can.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        // The head, and what the library reads ahead of the body.
        self.allowance.set(2 * MAX_BUFFER_BYTES);
        let result = self.sender.try_send_request(request).await;
        self.allowance.set(usize::MAX);
        self.has_responded |= result.is_ok();
        let response = result.map_err(|mut error| match error.take_message() {
            Some(_) => SendFailure::Unsent,
            None => SendFailure::Broken(error.into_error().into()),
        })?;
        let status = response.status();
        if status.is_informational() || status.as_u16() > MAX_STATUS {
            return Err(SendFailure::Broken(ResponseError::InvalidStatus(status.as_u16())));
        }
        Ok(response)
    }
}
