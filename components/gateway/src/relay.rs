//! Relaying of requests to backend servers that this VM cannot connect to, through VMs that can.

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
use transport::SendFailure;

use crate::exchange::{
    BackendResponse, OutgoingRequest, SendOutcome, exchange, is_alive, read_response_body,
};
use crate::limits::record_limit;
use crate::node::Node;
use crate::notices::record_notice;
use crate::pool::open;
use crate::possible_runs::PossibleRuns;
use crate::response::{CallerResponse, build_response};

/// Header with the id of the backend server that a relayed request is for.
const BACKEND_HEADER: HeaderName = HeaderName::from_static("papayareel-relay-backend");
/// Header with the relay's task: one of the `TASK_` values.
const TASK_HEADER: HeaderName = HeaderName::from_static("papayareel-relay-task");
/// Header with the outcome of the relay's attempt: one of the `OUTCOME_` values.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("papayareel-relay-ended");
/// Task: check that a connection to the backend server can be opened.
const TASK_CONNECT: HeaderValue = HeaderValue::from_static("connect");
/// Task: send a request that may run more than once.
const TASK_IDEMPOTENT: HeaderValue = HeaderValue::from_static("repeatable");
/// Task: send a request that may run only once.
const TASK_NON_IDEMPOTENT: HeaderValue = HeaderValue::from_static("once");
/// Outcome: the response is that of the backend server.
const OUTCOME_COMPLETED: HeaderValue = HeaderValue::from_static("answered");
/// Outcome: nothing was sent.
const OUTCOME_UNSENT: HeaderValue = HeaderValue::from_static("unsent");
/// Outcome: the request may have run.
const OUTCOME_BROKEN: HeaderValue = HeaderValue::from_static("broken");

/// Timeout for connecting to a relay, which is in the same failure domain.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for checking whether a VM can connect to a backend server. A lost packet is
/// retransmitted after 200 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of VMs queried in one search. A network cut affects a quarter of them.
const MAX_CANDIDATES: usize = 3;

fn outcome_response(status: StatusCode, outcome: HeaderValue, cause: &str) -> CallerResponse {
    let mut response = build_response(status, "text/plain", cause.to_owned());
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    response
}

/// Performs a relay task for another VM.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> CallerResponse {
    let unsent =
        |cause: &str| outcome_response(StatusCode::SERVICE_UNAVAILABLE, OUTCOME_UNSENT, cause);
    let (mut parts, body) = request.into_parts();
    let task = parts.headers.remove(TASK_HEADER);
    let backend = parts.headers.remove(BACKEND_HEADER);
    let target = {
        let state = node.state();
        let key =
            backend.as_ref().and_then(|b| b.to_str().ok()).and_then(|b| state.backends.find(b));
        key.and_then(|key| Some((key, state.backends.get(key)?.entry.address)))
    };
    let (Some(task), Some((key, address))) = (task, target) else {
        return unsent("the relay does not know the backend server");
    };
    if task == TASK_CONNECT {
        return match is_alive(address, CHECK_TIMEOUT).await {
            true => outcome_response(StatusCode::NO_CONTENT, OUTCOME_COMPLETED, ""),
            false => unsent("the relay cannot connect either"),
        };
    }
    let Ok(head) = decode_request_head(&parts.headers) else {
        return unsent("the relayed request has no id");
    };
    let deadline = node.now() + head.deadline.unwrap_or_default();
    let store = &node.request_bodies;
    let Ok(body) = store.read(body, store.limit()).await else {
        return unsent("the relay has no room for the request, or it did not arrive whole");
    };
    // The time that such a request takes is not known here.
    if !node.may_send(deadline, head.deadline.unwrap_or_default()) {
        return unsent("the relay stops");
    }
    parts.headers.remove(CONTENT_LENGTH);
    let runs = PossibleRuns::default();
    let outgoing = OutgoingRequest {
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        request_id: head.request_id,
        idempotent: task == TASK_IDEMPOTENT,
        deadline,
        runs: runs.clone(),
    };
    let outcome = tokio::select! {
        outcome = exchange(&node, key, address, false, outgoing) => outcome,
        () = node.answers_due() => match runs.is_empty() {
            true => SendOutcome::Unsent("the relay ended".into()),
            false => SendOutcome::Broken("the relay ended".into()),
        },
    };
    match outcome {
        SendOutcome::Completed(response) => relayed_response(*response),
        SendOutcome::Unsent(cause) => unsent(&cause),
        SendOutcome::Stale => unsent("the relay's idle connection was closed"),
        SendOutcome::Withheld(cause) => unsent(cause),
        SendOutcome::Broken(cause) => {
            outcome_response(StatusCode::BAD_GATEWAY, OUTCOME_BROKEN, &cause)
        }
    }
}

/// Builds the response to the requesting VM from that of the backend server, including the headers
/// that callers must not see.
fn relayed_response(backend_response: BackendResponse) -> CallerResponse {
    let mut response = CallerResponse::new(Full::new(backend_response.body));
    *response.status_mut() = backend_response.status;
    let kept =
        backend_response.headers.iter().filter(|(n, _)| !is_hop_header(n) && *n != CONTENT_LENGTH);
    let headers: HeaderMap = kept.map(|(n, v)| (n.clone(), v.clone())).collect();
    *response.headers_mut() = headers;
    response.headers_mut().insert(OUTCOME_HEADER, OUTCOME_COMPLETED);
    response
}

fn relay_address(node: &Node, vm: Incarnation) -> Option<SocketAddr> {
    let port = node.boot_config.load().listen.relay.port();
    let state = node.state();
    state.local_vms.get(&vm).map(|heartbeat| SocketAddr::new(heartbeat.peers.ip(), port))
}

async fn call_relay(
    relay: SocketAddr,
    backend: &str,
    task: HeaderValue,
    mut request: Request<Full<Bytes>>,
) -> Result<http::Response<Incoming>, SendOutcome> {
    let Ok(backend) = HeaderValue::from_str(backend) else {
        return Err(SendOutcome::Unsent("the id of the backend server is no header value".into()));
    };
    request.headers_mut().insert(BACKEND_HEADER, backend);
    request.headers_mut().insert(TASK_HEADER, task);
    let connected = open(relay, RELAY_CONNECT_TIMEOUT).await;
    let mut connection =
        connected.map_err(|_| SendOutcome::Unsent("no connection to the relay".into()))?;
    connection.send(request).await.map_err(|error| match error {
        SendFailure::Broken(error) => SendOutcome::Broken(format!("relay: {error}").into()),
        SendFailure::Unsent => SendOutcome::Unsent("the relay closed the connection".into()),
    })
}

/// Sends a request to a backend server through a relay VM.
pub async fn exchange_through(
    node: &Node,
    vm: Incarnation,
    key: BackendKey,
    entry: &BackendEntry,
    outgoing: OutgoingRequest,
) -> SendOutcome {
    let Some(relay) = relay_address(node, vm) else {
        return SendOutcome::Unsent("the relay has left".into());
    };
    let task = if outgoing.idempotent { TASK_IDEMPOTENT } else { TASK_NON_IDEMPOTENT };
    let sent_at = node.now();
    let run = outgoing.runs.begin();
    let response = match call_relay(relay, &entry.id, task, outgoing.into_request()).await {
        Ok(response) => response,
        Err(outcome) => {
            if matches!(outcome, SendOutcome::Unsent(_)) {
                run.rule_out();
            }
            return outcome;
        }
    };
    let (mut parts, incoming) = response.into_parts();
    let outcome = parts.headers.remove(OUTCOME_HEADER);
    let body = match read_response_body(node, incoming).await {
        Ok(body) => body,
        Err(cause) => return SendOutcome::Broken(cause),
    };
    if outcome != Some(OUTCOME_COMPLETED) {
        let cause: Box<str> = String::from_utf8_lossy(&body).into();
        return if outcome == Some(OUTCOME_UNSENT) {
            run.rule_out();
            SendOutcome::Unsent(cause)
        } else {
            SendOutcome::Broken(cause)
        };
    }
    let head = decode_response_head(parts.status, &parts.headers);
    record_notice(node, key, &head);
    record_limit(node, key, &head, sent_at);
    if head.not_run {
        run.rule_out();
    }
    SendOutcome::Completed(Box::new(BackendResponse {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
    }))
}

/// VMs of this failure domain to query as relays, starting at a random one.
fn candidates(node: &Node) -> Vec<Incarnation> {
    let mut vms = node.state().election.eligible_vms(node.now());
    vms.retain(|vm| *vm != node.incarnation);
    if !vms.is_empty() {
        let first = (node.random() % vms.len() as u64) as usize;
        vms.rotate_left(first);
    }
    vms.truncate(MAX_CANDIDATES);
    vms
}

/// Whether a VM can connect to a backend server; `None` if the VM does not say so.
pub async fn can_connect(node: &Node, vm: Incarnation, backend: &str) -> Option<bool> {
    let relay = relay_address(node, vm)?;
    let call = call_relay(relay, backend, TASK_CONNECT, Request::new(Full::default()));
    let timeout = RELAY_CONNECT_TIMEOUT + CHECK_TIMEOUT;
    let result = tokio::time::timeout(timeout, call).await;
    let response = result.ok()?.ok()?;
    Some(response.status() == StatusCode::NO_CONTENT)
}

/// Starts searches for relays and checks of direct connections that are due. Only for backend
/// servers of the own failure domain, since the leaders of others reach theirs better.
pub fn update_relays(node: &Arc<Node>) {
    let now = node.now();
    let mut due = Vec::new();
    {
        let mut state = node.state();
        for (key, backend) in state.backends.iter_mut() {
            if node.distance(&backend.entry.domain) != Distance::Domain {
                continue;
            }
            let (needs_relay, needs_recheck) =
                (backend.reachability.start_search(now), backend.reachability.start_recheck(now));
            if needs_relay || needs_recheck {
                due.push((key, backend.entry.clone(), needs_relay));
            }
        }
    }
    for (key, entry, needs_relay) in due {
        let node = Arc::clone(node);
        if needs_relay {
            tokio::spawn(find_relay(node, key, entry.id));
        } else {
            tokio::spawn(recheck_direct(node, key, entry));
        }
    }
}

/// Searches for a VM that can connect to a backend server which this VM cannot reach.
async fn find_relay(node: Arc<Node>, key: BackendKey, backend: BackendId) {
    for vm in candidates(&node) {
        if can_connect(&node, vm, &backend).await != Some(true) {
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

/// Checks whether a backend server that is reached through a relay accepts direct connections.
async fn recheck_direct(node: Arc<Node>, key: BackendKey, entry: BackendEntry) {
    let reached = is_alive(entry.address, CHECK_TIMEOUT).await;
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
