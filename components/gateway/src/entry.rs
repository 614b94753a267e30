use std::net::SocketAddr;
use std::sync::Arc;

use adapter::{READINESS_PATH, is_resolve_path, parse_resolve_query, resolve_response_body};
use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::answer::{CallerAnswer, plain};
use crate::node::Node;

/// Age after which the home of another failure domain is not handed out.
const HOME_AGE: std::time::Duration = std::time::Duration::from_millis(3500);

/// Addresses for a caller in a failure domain: its home, or the home here if none is known.
fn addresses(node: &Node, domain: &str) -> Vec<SocketAddr> {
    let now = node.now();
    let boot = node.boot.load();
    let state = node.state();
    if *domain != *boot.place.domain
        && let Some(home) = state.homes.get(domain).filter(|h| h.at + HOME_AGE > now)
    {
        return vec![home.beat.callers];
    }
    match state.election.leader() {
        Some(home) if home != node.vm => {
            if let Some(beat) = state.local_vms.get(&home) {
                return vec![beat.callers];
            }
        }
        _ => {}
    }
    let able = node.is_informed() && !node.is_stopping();
    boot.listen.callers.filter(|_| able).into_iter().collect()
}

/// Answers a caller that asks for addresses.
pub async fn entry(node: Arc<Node>, request: Request<Incoming>) -> CallerAnswer {
    if !is_resolve_path(request.uri().path()) {
        return plain(StatusCode::NOT_FOUND, "text/plain", "ask for addresses here\n");
    }
    let query = parse_resolve_query(request.uri().query().unwrap_or(""));
    let addresses = addresses(&node, &query.domain);
    if addresses.is_empty() {
        let message = "no VM of this failure domain is able to serve yet\n";
        return plain(StatusCode::SERVICE_UNAVAILABLE, "text/plain", message);
    }
    let longest = node.boot.load().fleet_limits.max_resolve_ttl;
    let body = resolve_response_body(&addresses, node.options.entry_ttl.min(longest));
    plain(StatusCode::OK, "application/json", body)
}

/// Answers the platform's question whether this VM is ready.
pub async fn readiness(node: Arc<Node>, request: Request<Incoming>) -> CallerAnswer {
    if request.uri().path() != READINESS_PATH {
        return plain(StatusCode::NOT_FOUND, "text/plain", "");
    }
    if node.is_stopping() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping\n");
    }
    if !node.is_informed() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not informed yet\n");
    }
    plain(StatusCode::OK, "text/plain", "ready\n")
}

/// Answers with the metrics of this VM.
pub async fn metrics(node: Arc<Node>, _request: Request<Incoming>) -> CallerAnswer {
    plain(StatusCode::OK, "text/plain; version=0.0.4", node.metrics.render())
}
