use std::net::SocketAddr;
use std::sync::Arc;

use adapter::{READINESS_PATH, is_resolve_path, parse_resolve_query, resolve_response_body};
use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::node::Node;
use crate::response::{CallerResponse, build_response};

/// Time without a heartbeat after which another failure domain's leader is not handed out.
const MAX_OTHER_LEADER_SILENCE: std::time::Duration = std::time::Duration::from_millis(3500);

/// Addresses for a caller in a failure domain: its leader, or the local leader if that is unknown.
fn addresses(node: &Node, domain: &str) -> Vec<SocketAddr> {
    let now = node.now();
    let boot_config = node.boot_config.load();
    let state = node.state();
    if *domain != *boot_config.place.domain
        && let Some(leader) = state
            .other_leaders
            .get(domain)
            .filter(|leader| leader.received_at + MAX_OTHER_LEADER_SILENCE > now)
    {
        return vec![leader.heartbeat.callers];
    }
    match state.election.leader() {
        Some(leader) if leader != node.incarnation => {
            if let Some(heartbeat) = state.local_vms.get(&leader) {
                return vec![heartbeat.callers];
            }
        }
        _ => {}
    }
    let can_serve = node.is_synced() && !node.is_stopping();
    boot_config.listen.callers.filter(|_| can_serve).into_iter().collect()
}

/// Tells a caller which addresses to use.
pub async fn resolve(node: Arc<Node>, request: Request<Incoming>) -> CallerResponse {
    if !is_resolve_path(request.uri().path()) {
        return build_response(StatusCode::NOT_FOUND, "text/plain", "ask for addresses here\n");
    }
    let query = parse_resolve_query(request.uri().query().unwrap_or(""));
    let addresses = addresses(&node, &query.domain);
    if addresses.is_empty() {
        let message = "no VM of this failure domain is able to serve yet\n";
        return build_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", message);
    }
    let max_ttl = node.boot_config.load().fleet_limits.max_ttl;
    let body = resolve_response_body(&addresses, node.options.resolve_ttl.min(max_ttl));
    build_response(StatusCode::OK, "application/json", body)
}

/// Tells the platform whether this VM is ready.
pub async fn readiness(node: Arc<Node>, request: Request<Incoming>) -> CallerResponse {
    if request.uri().path() != READINESS_PATH {
        return build_response(StatusCode::NOT_FOUND, "text/plain", "");
    }
    if node.is_stopping() {
        return build_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping\n");
    }
    if !node.is_synced() {
        return build_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not informed yet\n");
    }
    build_response(StatusCode::OK, "text/plain", "ready\n")
}

/// Returns the metrics of this VM in the Prometheus text format.
pub async fn metrics(node: Arc<Node>, _request: Request<Incoming>) -> CallerResponse {
    build_response(StatusCode::OK, "text/plain; version=0.0.4", node.metrics.render())
}
