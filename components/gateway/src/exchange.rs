use std::time::{Duration, Instant};

use adapter::{ResponseHead, decode_response_head, set_deadline};
use bytes::Bytes;
use dispatch::{Availability, BackendKey};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use kernel::Uptime;
use transport::{BodyEnd, SendFailure};

use crate::limits::{count_send, record_limit};
use crate::node::Node;
use crate::notices::record_notice;
use crate::pool::OpenError;
use crate::possible_runs::PossibleRuns;

/// Maximum size of a response body. Responses are buffered whole, so that a truncated one is
/// detected before any byte of it reaches the caller.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Maximum part of the memory for response bodies that one of them may take, so that a backend
/// server that sends without end leaves room for others.
const MAX_RESPONSE_FRACTION: usize = 4;

/// A request as it is sent to a backend server.
#[derive(Clone)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Request id; a response with another one is rejected.
    pub request_id: Box<str>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller must have a response.
    pub deadline: Uptime,
    /// Its runs on backend servers, over all attempts.
    pub runs: PossibleRuns,
}

/// A complete response of a backend server.
#[derive(Debug)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The platform's headers, decoded.
    pub head: ResponseHead,
    /// Complete body.
    pub body: Bytes,
}

/// How sending a request to one backend server ended.
#[derive(Debug)]
pub enum SendOutcome {
    /// The backend server responded completely.
    Completed(Box<BackendResponse>),
    /// Nothing was sent, usually because no connection could be opened. A relay may also refuse.
    Unsent(Box<str>),
    /// Nothing was sent, because a pooled connection had been closed.
    Stale,
    /// Nothing was sent, because by the time of sending the request or the backend server was no
    /// longer fit for it.
    Withheld(&'static str),
    /// It may have run: the connection broke, or the response was truncated or not the backend
    /// server's own.
    Broken(Box<str>),
}

fn find_response_error(
    head: &ResponseHead,
    status: StatusCode,
    headers: &HeaderMap,
    request_id: &str,
    reused: bool,
) -> Option<&'static str> {
    // A response without an id cannot be told from a second one to the previous request of the
    // connection. A backend server that is not the one asked for names no request.
    match head.request_id.as_deref() {
        Some(id) if id != request_id => return Some("the answer belongs to another request"),
        None if reused || !head.misdirected => return Some("the answer names no request"),
        _ => {}
    }
    if status.is_success() && (!head.signed || head.encoded) {
        return Some("the answer is not the backend server's own");
    }
    if BodyEnd::of(headers) == BodyEnd::Unknown {
        return Some("the answer has an unknown transfer encoding");
    }
    None
}

impl OutgoingRequest {
    /// Converts to the type that the HTTP library sends.
    pub fn into_request(self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.target;
        *request.headers_mut() = self.headers;
        request
    }
}

/// Why a request must not be sent now, although a slot was taken and a connection opened for it. A
/// process can be paused in between.
fn withheld_reason(node: &Node, key: BackendKey, deadline: Uptime) -> Option<&'static str> {
    let now = node.now();
    if now >= deadline {
        return Some("the deadline passed before the request was sent");
    }
    match node.state().backends.get(key).map(|backend| backend.availability(now)) {
        None | Some(Availability::Leaving) => Some("the backend server has left"),
        Some(Availability::Paused(_)) => Some("the backend server has asked for a pause"),
        Some(Availability::Ready) => None,
    }
}

/// Reads the body of a response.
pub async fn read_response_body(node: &Node, incoming: Incoming) -> Result<Bytes, Box<str>> {
    let store = &node.response_bodies;
    let max_bytes = MAX_RESPONSE_BYTES.min(store.limit() / MAX_RESPONSE_FRACTION);
    store.read(incoming, max_bytes).await.map_err(|error| format!("the answer: {error}").into())
}

/// Sends a request to a backend server and reads the complete response.
pub async fn exchange(
    node: &Node,
    key: BackendKey,
    address: std::net::SocketAddr,
    remote: bool,
    mut outgoing: OutgoingRequest,
) -> SendOutcome {
    let options = &node.options;
    let max_idle = if outgoing.idempotent { options.max_idle } else { options.non_idempotent_idle };
    let timeout = if remote { options.remote_connect_timeout } else { options.connect_timeout };
    let checkout = node.pools.checkout(key, address, max_idle, timeout).await;
    let mut connection = match checkout {
        Ok(connection) => connection,
        Err(OpenError::Connect(error)) => return SendOutcome::Unsent(error.to_string().into()),
        Err(_) => return SendOutcome::Stale,
    };
    if let Some(reason) = withheld_reason(node, key, outgoing.deadline) {
        return SendOutcome::Withheld(reason);
    }
    set_deadline(&mut outgoing.headers, outgoing.deadline.saturating_sub(node.now()));
    let request_id = outgoing.request_id.clone();
    let reused = connection.has_responded();
    let sent_at = node.now();
    let run = outgoing.runs.begin();
    count_send(node, key);
    let response = match connection.send(outgoing.into_request()).await {
        Ok(response) => response,
        Err(SendFailure::Broken(error)) => return SendOutcome::Broken(error.to_string().into()),
        Err(SendFailure::Unsent) => {
            run.rule_out();
            return SendOutcome::Stale;
        }
    };
    let (parts, incoming) = response.into_parts();
    let head = decode_response_head(parts.status, &parts.headers);
    if let Some(reason) =
        find_response_error(&head, parts.status, &parts.headers, &request_id, reused)
    {
        return SendOutcome::Broken(reason.into());
    }
    record_notice(node, key, &head);
    record_limit(node, key, &head, sent_at);
    let body = match read_response_body(node, incoming).await {
        Ok(body) => body,
        Err(cause) => return SendOutcome::Broken(cause),
    };
    if head.not_run {
        run.rule_out();
    }
    if !head.closes && head.request_id.is_some() {
        let idle_limit = head.keep_alive.map_or(options.max_idle, |stated| {
            // The backend server started its idle timer earlier than this side does.
            stated.saturating_sub(Duration::from_millis(500)).min(options.max_idle)
        });
        node.pools.release(key, connection, idle_limit);
    }
    SendOutcome::Completed(Box::new(BackendResponse {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
    }))
}

/// Whether a backend server that broke a connection accepts a new one and so has not died.
pub async fn is_alive(address: std::net::SocketAddr, timeout: Duration) -> bool {
    let start = Instant::now();
    let connected = tokio::time::timeout(timeout, tokio::net::TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_))) && start.elapsed() <= timeout
}
