//! Requests to backend servers that this VM cannot connect to and another VM can.

use std::net::SocketAddr;
use std::sync::Arc;

use adapter::{decode_request_head, decode_response_head, is_hop_header};
use bytes::Bytes;
use dispatch::{BackendEntry, BackendKey, Distance};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use kernel::prelude::*;

use crate::answer::{CallerAnswer, plain};
use crate::exchange::{Answer, Ended, Outgoing, exchange, is_alive, read_whole};
use crate::node::Node;
use crate::pool::{SendError, open};

/// Backend server that a relayed request is for.
const BACKEND: HeaderName = HeaderName::from_static("papayareel-relay-backend");
/// What is asked of the relay: one of the words below.
const TASK: HeaderName = HeaderName::from_static("papayareel-relay-task");
/// How the attempt of the relay ended: one of the words below.
const ENDED: HeaderName = HeaderName::from_static("papayareel-relay-ended");
/// Task: connect to the backend server, and send nothing.
const CONNECT: HeaderValue = HeaderValue::from_static("connect");
/// Task: send a request that may run more than once.
const REPEATABLE: HeaderValue = HeaderValue::from_static("repeatable");
/// Task: send a request that may run once.
const ONCE: HeaderValue = HeaderValue::from_static("once");
/// End: the answer is that of the backend server.
const ANSWERED: HeaderValue = HeaderValue::from_static("answered");
/// End: nothing was sent.
const UNSENT: HeaderValue = HeaderValue::from_static("unsent");
/// End: the request may have run.
const BROKEN: HeaderValue = HeaderValue::from_static("broken");

/// Longest wait for a connection to a relay, which is in the same failure domain.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Longest check whether a VM can connect to a backend server. A lost packet is sent again after
/// 200 ms.
const CHECK_LIMIT: Duration = Duration::from_millis(250);
/// VMs that are asked in one search. A cut takes the way of a quarter of them.
const MOST_ASKED: usize = 3;

fn ended(status: StatusCode, end: HeaderValue, cause: &str) -> CallerAnswer {
    let mut answer = plain(status, "text/plain", cause.to_owned());
    answer.headers_mut().insert(ENDED, end);
    answer
}

/// Does a task for another VM.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> CallerAnswer {
    let unsent = |cause: &str| ended(StatusCode::SERVICE_UNAVAILABLE, UNSENT, cause);
    let (mut parts, body) = request.into_parts();
    let task = parts.headers.remove(TASK);
    let backend = parts.headers.remove(BACKEND);
    let target = {
        let state = node.state();
        let key =
            backend.as_ref().and_then(|b| b.to_str().ok()).and_then(|b| state.backends.find(b));
        key.and_then(|key| Some((key, state.backends.get(key)?.entry.address)))
    };
    let (Some(task), Some((key, address))) = (task, target) else {
        return unsent("the relay does not know the backend server");
    };
    if task == CONNECT {
        return match is_alive(address, CHECK_LIMIT).await {
            true => ended(StatusCode::NO_CONTENT, ANSWERED, ""),
            false => unsent("the relay cannot connect either"),
        };
    }
    let Ok(head) = decode_request_head(&parts.headers) else {
        return unsent("the relayed request has no id");
    };
    let Ok(body) = read_whole(body).await else {
        return unsent("the relayed request did not arrive whole");
    };
    parts.headers.remove(CONTENT_LENGTH);
    let outgoing = Outgoing {
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        request_id: head.request_id,
        idempotent: task == REPEATABLE,
    };
    match exchange(&node, key, address, false, outgoing).await {
        Ended::Answered(answer) => pass_back(answer),
        Ended::Unsent(cause) => unsent(&cause),
        Ended::Stale => unsent("the relay's idle connection was closed"),
        Ended::Broken(cause) => ended(StatusCode::BAD_GATEWAY, BROKEN, &cause),
    }
}

/// Passes a backend server's answer to the VM that asked, with what only VMs may see.
fn pass_back(answer: Answer) -> CallerAnswer {
    let mut response = CallerAnswer::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let kept = answer.headers.iter().filter(|(n, _)| !is_hop_header(n) && *n != CONTENT_LENGTH);
    let headers: HeaderMap = kept.map(|(n, v)| (n.clone(), v.clone())).collect();
    *response.headers_mut() = headers;
    response.headers_mut().insert(ENDED, ANSWERED);
    response
}

fn address_of(node: &Node, vm: Incarnation) -> Option<SocketAddr> {
    let port = node.boot.load().listen.relay.port();
    let state = node.state();
    state.local_vms.get(&vm).map(|beat| SocketAddr::new(beat.peers.ip(), port))
}

async fn ask(
    relay: SocketAddr,
    backend: &str,
    task: HeaderValue,
    mut request: Request<Full<Bytes>>,
) -> Result<http::Response<Incoming>, Ended> {
    let Ok(backend) = HeaderValue::from_str(backend) else {
        return Err(Ended::Unsent("the id of the backend server is no header value".into()));
    };
    request.headers_mut().insert(BACKEND, backend);
    request.headers_mut().insert(TASK, task);
    let connected = open(relay, CONNECT_LIMIT).await;
    let mut connection =
        connected.map_err(|_| Ended::Unsent("no connection to the relay".into()))?;
    connection.send(request).await.map_err(|error| match error {
        SendError::Broken(error) => Ended::Broken(format!("relay: {error}").into()),
        _ => Ended::Unsent("the relay closed the connection".into()),
    })
}

/// Sends a request to a backend server through another VM.
pub async fn exchange_through(
    node: &Node,
    vm: Incarnation,
    entry: &BackendEntry,
    outgoing: Outgoing,
) -> Ended {
    let Some(relay) = address_of(node, vm) else {
        return Ended::Unsent("the relay has left".into());
    };
    let task = if outgoing.idempotent { REPEATABLE } else { ONCE };
    let response = match ask(relay, &entry.id, task, outgoing.request()).await {
        Ok(response) => response,
        Err(ended) => return ended,
    };
    let (mut parts, incoming) = response.into_parts();
    let end = parts.headers.remove(ENDED);
    let body = match read_whole(incoming).await {
        Ok(body) => body,
        Err(cause) => return Ended::Broken(cause),
    };
    if end != Some(ANSWERED) {
        let cause: Box<str> = String::from_utf8_lossy(&body).into();
        return if end == Some(UNSENT) { Ended::Unsent(cause) } else { Ended::Broken(cause) };
    }
    let head = decode_response_head(parts.status, &parts.headers);
    Ended::Answered(Answer { status: parts.status, headers: parts.headers, head, body })
}

/// VMs of this failure domain that could be relays, in random order.
fn candidates(node: &Node) -> Vec<Incarnation> {
    let mut line = node.state().election.eligible_vms(node.now());
    line.retain(|vm| *vm != node.vm);
    if !line.is_empty() {
        let first = (node.random() % line.len() as u64) as usize;
        line.rotate_left(first);
    }
    line.truncate(MOST_ASKED);
    line
}

async fn can_connect(node: &Node, vm: Incarnation, backend: &str) -> bool {
    let Some(relay) = address_of(node, vm) else { return false };
    let asked = ask(relay, backend, CONNECT, Request::new(Full::default()));
    let limit = CONNECT_LIMIT + CHECK_LIMIT;
    let answer = tokio::time::timeout(limit, asked).await;
    matches!(answer, Ok(Ok(response)) if response.status() == StatusCode::NO_CONTENT)
}

/// Looks for relays, and for the end of them, where it is time to. Only in the own failure domain:
/// the homes of others reach theirs better.
pub fn maintain(node: &Arc<Node>) {
    let now = node.now();
    let mut due = Vec::new();
    {
        let mut state = node.state();
        for (key, backend) in state.backends.iter_mut() {
            if node.distance(&backend.entry.domain) != Distance::Domain {
                continue;
            }
            let (seek, recheck) =
                (backend.reachability.start_search(now), backend.reachability.start_recheck(now));
            if seek || recheck {
                due.push((key, backend.entry.clone(), seek));
            }
        }
    }
    for (key, entry, seek) in due {
        let node = Arc::clone(node);
        if seek {
            tokio::spawn(find(node, key, entry.id));
        } else {
            tokio::spawn(recheck(node, key, entry));
        }
    }
}

/// Looks for a VM that can connect to a backend server that this one cannot connect to.
async fn find(node: Arc<Node>, key: BackendKey, backend: BackendId) {
    for vm in candidates(&node) {
        if !can_connect(&node, vm, &backend).await {
            continue;
        }
        if let Some(state) = node.state().backends.get_mut(key)
            && state.reachability.failures > 0
        {
            state.reachability.relay = Some(vm);
        }
        let vm = format!("{vm:016x}");
        telemetry::event!(RELAY_FOUND, backend = backend, vm = vm);
        return;
    }
    telemetry::event!(RELAY_MISSING, backend = backend);
}

/// Checks whether a relayed backend server can be reached directly again.
async fn recheck(node: Arc<Node>, key: BackendKey, entry: BackendEntry) {
    let reached = is_alive(entry.address, CHECK_LIMIT).await;
    let now = node.now();
    if let Some(state) = node.state().backends.get_mut(key) {
        if reached {
            state.record_reachable();
        } else {
            state.record_unreachable(now);
        }
    }
    if reached {
        telemetry::event!(RELAY_ENDED, backend = entry.id);
    }
}
