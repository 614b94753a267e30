use std::time::{Duration, Instant};

use adapter::{ResponseHead, decode_response_head};
use bytes::{Bytes, BytesMut};
use dispatch::BackendKey;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::node::Node;
use crate::pool::SendError;

/// Largest answer that is read. Answers are delivered whole, so that one that was cut is noticed
/// before a byte of it is passed on.
const MOST_BYTES: usize = 16 << 20;

/// A request as it is sent to a backend server.
#[derive(Clone)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Id that the answer must name.
    pub request_id: Box<str>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// A whole answer of a backend server.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Decoded head.
    pub head: ResponseHead,
    /// Whole body.
    pub body: Bytes,
}

/// How sending a request to one backend server ended.
#[derive(Debug)]
pub enum Ended {
    /// A whole answer.
    Answered(Answer),
    /// No byte of it was sent, because there was no connection.
    Unsent(Box<str>),
    /// No byte of it was sent, because an idle connection had been closed.
    Stale,
    /// It may have run: the connection broke, or the answer was not whole or not its own.
    Broken(Box<str>),
}

fn unusable(answer: &ResponseHead, status: StatusCode, request_id: &str) -> Option<&'static str> {
    if answer.request_id.as_deref().is_some_and(|id| id != request_id) {
        return Some("the answer belongs to another request");
    }
    if status.is_success() && (!answer.signed || answer.encoded) {
        return Some("the answer is not the backend server's own");
    }
    if status.is_informational() {
        return Some("the answer is no final answer");
    }
    None
}

impl Outgoing {
    /// The request as the HTTP library sends it.
    pub fn request(self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.target;
        *request.headers_mut() = self.headers;
        request
    }
}

/// Reads a body to its end; an error if it was cut or is too large.
pub async fn read_whole(mut incoming: Incoming) -> Result<Bytes, Box<str>> {
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        match frame {
            Err(error) => return Err(format!("the answer was cut: {error}").into()),
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    body.extend_from_slice(&data);
                }
            }
        }
        if body.len() > MOST_BYTES {
            return Err("the answer is too large".into());
        }
    }
    Ok(body.freeze())
}

/// Sends a request to a backend server and reads the whole answer.
pub async fn exchange(
    node: &Node,
    key: BackendKey,
    address: std::net::SocketAddr,
    remote: bool,
    outgoing: Outgoing,
) -> Ended {
    let options = &node.options;
    let age = if outgoing.idempotent { options.idle_most } else { options.idle_once };
    let limit = if remote { options.connect_remote } else { options.connect };
    let opened = node.pools.checkout(key, address, age, limit).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(SendError::Connect(error)) => return Ended::Unsent(error.to_string().into()),
        Err(_) => return Ended::Stale,
    };
    let request_id = outgoing.request_id.clone();
    let response = match connection.send(outgoing.request()).await {
        Ok(response) => response,
        Err(SendError::Broken(error)) => return Ended::Broken(error.to_string().into()),
        Err(_) => return Ended::Stale,
    };
    let (parts, incoming) = response.into_parts();
    let head = decode_response_head(parts.status, &parts.headers);
    if let Some(reason) = unusable(&head, parts.status, &request_id) {
        return Ended::Broken(reason.into());
    }
    let body = match read_whole(incoming).await {
        Ok(body) => body,
        Err(cause) => return Ended::Broken(cause),
    };
    if !head.closes {
        let keep = head.keep_alive.map_or(options.idle_most, |stated| {
            // The backend server's clock started before this one.
            stated.saturating_sub(Duration::from_millis(500)).min(options.idle_most)
        });
        node.pools.give_back(key, connection, keep);
    }
    Ended::Answered(Answer { status: parts.status, headers: parts.headers, head, body })
}

/// Whether a backend server that broke a connection accepts another: it has not died.
pub async fn is_alive(address: std::net::SocketAddr, limit: Duration) -> bool {
    let start = Instant::now();
    let connected = tokio::time::timeout(limit, tokio::net::TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_))) && start.elapsed() <= limit
}
