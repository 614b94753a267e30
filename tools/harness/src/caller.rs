use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Time limit for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns a header as text; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as JSON; null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Client with one connection, which is reopened after it was closed.
pub struct Caller {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a caller that connects with its first request.
    pub fn new(address: SocketAddr) -> Self {
        Caller { address, sender: None }
    }

    async fn connect(&mut self) -> anyhow::Result<SendRequest<Full<Bytes>>> {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        let stream = TcpStream::connect(self.address)
            .await
            .with_context(|| format!("cannot connect to {}", self.address))?;
        stream.set_nodelay(true).context("cannot set TCP_NODELAY")?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Sends a request and reads the complete response.
    pub async fn send(
        &mut self,
        method: &Method,
        target: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<HttpResponse> {
        let mut request = Request::builder().method(method).uri(target);
        if !headers.iter().any(|(name, _)| *name == "host") {
            request = request.header("host", self.address.to_string());
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).context("the request is invalid")?;
        let mut sender = self.connect().await?;
        let exchange = async {
            let response = sender.send_request(request).await.context("no response")?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.context("the response was truncated")?.to_bytes();
            anyhow::Ok(HttpResponse { status: head.status, headers: head.headers, body })
        };
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
            .await
            .context("no complete response in time")??;
        self.sender = Some(sender);
        Ok(response)
    }
}

/// Sends one request on a new connection.
pub async fn send_request(
    address: SocketAddr,
    method: &Method,
    target: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> anyhow::Result<HttpResponse> {
    Caller::new(address).send(method, target, headers, body).await
}
