use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use adapter::{RequestHead, RequestHeadError, decode_request_head};
use bytes::Bytes;
use dispatch::{AccessDenied, CallerLimits, GatewayConfig, GatewayRoute};
use http::Request;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use kernel::prelude::*;
use tokio::time::Instant;

use crate::attempts::{Admitted, serve, stopping_refusal};
use crate::body::BodyError;
use crate::caller_connection::ArrivedAt;
use crate::connection_progress::ConnectionProgress;
use crate::crashes::crash_refusal;
use crate::exchange::OutgoingRequest;
use crate::node::Node;
use crate::possible_runs::PossibleRuns;
use crate::rates::{NoToken, admit};
use crate::response::{CallerResponse, refusal_response};
use crate::running_requests::RequestKey;
use crate::state::RouteEstimate;

/// Deadline of a request that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Maximum wait for the first configuration and list of backend servers; a starting VM has them
/// after about 0.4 s.
const MAX_SYNC_WAIT: Duration = Duration::from_millis(600);
/// Retry-After while this VM has no configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-After of a request whose body found no room: about the time of a running one.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-After of a request that got no token because its failure domain has no leader.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(300);
/// One in this many successful requests is logged.
const SUCCESS_LOG_INTERVAL: u64 = 64;

/// Value of a request by its priority: the platform values priorities 0, 1 and 2 at 3, 2 and 1.
fn request_value(priority: u32) -> f64 {
    f64::from(3_u32.saturating_sub(priority).max(1))
}

/// Responds to a caller's request and records the result in metrics and logs.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> CallerResponse {
    let (parts, mut body) = request.into_parts();
    let mut request = Request::from_parts(parts, ());
    let arrived_at: Option<ArrivedAt> = request.extensions_mut().remove();
    let waited = arrived_at.map_or(Duration::ZERO, |arrived_at| arrived_at.0.elapsed());
    let started = node.now().saturating_sub(waited);
    let connection: Arc<ConnectionProgress> = request.extensions_mut().remove().unwrap_or_default();
    let head = decode_request_head(request.headers());
    let id: Box<str> = head.as_ref().map_or_else(|_| "".into(), |h| h.request_id.clone());
    let running = node.running.begin(id.clone(), started, connection);
    let has_expectation = request.headers().contains_key(http::header::EXPECT);
    let result = admit_and_serve(&node, request, &mut body, head, started, running.key).await;
    // A caller that waits for leave to send its body may send another request instead of it.
    if !body.is_end_stream() && !has_expectation {
        let limits = node.config.load().as_ref().map(|config| config.limits).unwrap_or_default();
        tokio::spawn(discard_body(body, limits));
    }
    let elapsed = node.now().saturating_sub(started);
    match result {
        Ok(response) => {
            node.metrics.record_response(response.status().as_u16(), elapsed);
            if response.status().is_success() {
                if node.random().is_multiple_of(SUCCESS_LOG_INTERVAL) {
                    let (status, took_ms) =
                        (response.status().as_u16(), elapsed.as_millis() as u64);
                    telemetry::event!(
                        REQUEST_SERVED,
                        request = id,
                        status = status,
                        took_ms = took_ms
                    );
                }
            } else {
                let (status, took_ms) = (response.status().as_u16(), elapsed.as_millis() as u64);
                telemetry::event!(REQUEST_FAILED, request = id, status = status, took_ms = took_ms);
            }
            response
        }
        Err(refusal) => {
            node.metrics.record_refusal(refusal.kind, elapsed);
            telemetry::event!(
                REQUEST_REFUSED,
                request = id,
                kind = refusal.kind.as_str(),
                outcome = refusal.outcome.as_str(),
                took_ms = elapsed.as_millis() as u64,
                retry_ms = refusal.retry.unwrap_or_default().as_millis() as u64,
                cause = refusal.message,
            );
            refusal_response(&refusal, (!id.is_empty()).then_some(&*id))
        }
    }
}

fn check_head(head: Result<RequestHead, RequestHeadError>) -> Result<RequestHead, Refusal> {
    head.map_err(|error| match error {
        RequestHeadError::InvalidRequestId => {
            Refusal::not_run(RefusalKind::BadRequest, "the request has no id; send one")
        }
        RequestHeadError::InvalidDeadline => {
            let message = "the deadline is no number of milliseconds; send one or none";
            Refusal::not_run(RefusalKind::BadDeadline, message)
        }
    })
}

fn denied_refusal(denied: AccessDenied) -> Refusal {
    match denied {
        AccessDenied::NoRoute => {
            Refusal::not_run(RefusalKind::RouteUnknown, "no route has this host and path")
        }
        AccessDenied::NoKey => Refusal::not_run(RefusalKind::KeyMissing, "the route needs a key"),
        AccessDenied::UnknownKey => {
            Refusal::not_run(RefusalKind::KeyUnknown, "no organisation has this key")
        }
    }
}

async fn read_body(node: &Node, body: &mut Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    let read = node.request_bodies.read(body, max_bytes).await;
    read.map_err(|error| match error {
        BodyError::TooLarge { limit } => {
            Refusal::not_run(RefusalKind::BodyTooLarge, format!("send at most {limit} bytes"))
        }
        BodyError::NoRoom { .. } => Refusal::not_run(RefusalKind::Overloaded, error.to_string())
            .retry_after(NO_ROOM_RETRY_AFTER),
        BodyError::Truncated(_) => {
            let message = format!("the body did not arrive whole: {error}");
            Refusal::not_run(RefusalKind::BadRequest, message)
        }
    })
}

/// Reads the rest of the body of a refused request. The HTTP library closes a connection behind a
/// body that was not read, and drops the requests that follow.
async fn discard_body(mut body: Incoming, limits: CallerLimits) {
    let mut left = limits.max_body_bytes;
    let discard = async {
        while let Some(Ok(frame)) = body.frame().await {
            let Some(rest) = left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) else {
                return;
            };
            left = rest;
        }
    };
    // A body that takes longer or is larger ends the connection.
    let _ = tokio::time::timeout(limits.head_timeout, discard).await;
}

/// Identifies requests that would crash a backend server again: hashes the organisation, method,
/// target and body.
fn fingerprint(organisation: Option<&str>, outgoing: &OutgoingRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    organisation.hash(&mut hasher);
    outgoing.method.hash(&mut hasher);
    outgoing.target.hash(&mut hasher);
    outgoing.body.hash(&mut hasher);
    hasher.finish()
}

fn request_host(request: &Request<()>) -> &str {
    let header = request.headers().get(http::header::HOST).and_then(|v| v.to_str().ok());
    header.or_else(|| request.uri().host()).unwrap_or("")
}

async fn admit_and_serve(
    node: &Arc<Node>,
    request: Request<()>,
    body: &mut Incoming,
    head: Result<RequestHead, RequestHeadError>,
    started: Uptime,
    key: RequestKey,
) -> Result<CallerResponse, Refusal> {
    if !node.is_synced() {
        wait_until_synced(node, &head).await;
    }
    let config = node.config.load_full().filter(|_| node.is_synced());
    let Some(config) = config else {
        let message = "this VM has no confirmed configuration yet; use another one";
        return Err(Refusal::not_run(RefusalKind::StaleConfiguration, message)
            .retry_after(UNCONFIGURED_RETRY_AFTER));
    };
    let head = check_head(head)?;
    let path = request.uri().path().to_owned();
    let Some(route) = config.find_route(request_host(&request), &path) else {
        return Err(denied_refusal(AccessDenied::NoRoute));
    };
    let organisation = config.authorize(route, head.key.as_deref()).map_err(denied_refusal)?;
    let priority = organisation.and_then(|o| o.priority).unwrap_or(route.priority);
    let organisation = organisation.map(|o| o.id.clone());
    let method = request.method().clone();
    let target = request.uri().path_and_query().map_or("/", |t| t.as_str());
    let target = target.parse().map_err(|_| {
        Refusal::not_run(RefusalKind::BadRequest, "the target of the request cannot be read")
    })?;
    let headers = request.headers().clone();
    let deadline = started + head.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let body = read_body(node, body, config.limits.max_body_bytes);
    let body = tokio::time::timeout(deadline.saturating_sub(node.now()), body);
    let body = tokio::select! {
        body = body => body,
        () = node.answers_due() => return Err(stopping_refusal()),
    };
    let body = body.map_err(|_| {
        let message = "the body did not arrive before the deadline; send it faster";
        Refusal::not_run(RefusalKind::DeadlinePassed, message)
    })??;
    let outgoing = OutgoingRequest {
        method,
        target,
        headers,
        body,
        request_id: head.request_id.clone(),
        idempotent: route.kind.is_idempotent(),
        deadline,
        runs: PossibleRuns::default(),
    };
    let fingerprint = fingerprint(organisation.as_deref(), &outgoing);
    check_request(node, route, fingerprint, deadline)?;
    if let Some(organisation) = &organisation {
        check_rate(node, &config, route, organisation, deadline).await?;
    }
    let service = choose_service(node, route);
    let patience = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let admitted = Admitted {
        route: route.clone(),
        service,
        organisation,
        outgoing,
        key,
        fingerprint,
        started,
        objective_deadline: started + route.latency_objective.min(patience),
        priority,
        value: request_value(route.priority),
        config_version: config.version,
    };
    serve(node, admitted).await
}

/// Waits for the first configuration and list of backend servers. A starting VM has them soon, and
/// a caller that it refused would come to another VM that is starting as well.
async fn wait_until_synced(node: &Node, head: &Result<RequestHead, RequestHeadError>) {
    let deadline = head.as_ref().ok().and_then(|head| head.deadline).unwrap_or(DEFAULT_DEADLINE);
    let wait_deadline = Instant::now() + MAX_SYNC_WAIT.min(deadline / 6);
    while !node.is_synced() {
        let woken = node.synced.notified();
        if tokio::time::timeout_at(wait_deadline, woken).await.is_err() {
            return;
        }
    }
}

/// Refuses a request for shutdown or earlier crashes.
fn check_request(
    node: &Node,
    route: &GatewayRoute,
    fingerprint: u64,
    deadline: Uptime,
) -> Result<(), Refusal> {
    let now = node.now();
    let state = node.state();
    let estimate: RouteEstimate = state.estimates.get(&route.id).copied().unwrap_or_default();
    if !node.may_send(deadline, estimate.time()) {
        return Err(stopping_refusal());
    }
    if state.crash_suspects.is_blocked(now, fingerprint) {
        return Err(crash_refusal());
    }
    Ok(())
}

/// Refuses a request that gets no token of its organisation's rate.
async fn check_rate(
    node: &Node,
    config: &GatewayConfig,
    route: &GatewayRoute,
    organisation: &OrganisationId,
    deadline: Uptime,
) -> Result<(), Refusal> {
    let admitted = tokio::select! {
        admitted = admit(node, organisation, deadline) => admitted,
        () = node.answers_due() => return Err(stopping_refusal()),
    };
    let Err(no_token) = admitted else { return Ok(()) };
    let now = node.now();
    if let Some(first) = route.services.first()
        && let Some(service) = node.state().services.get_mut(&first.service)
    {
        service.outcomes.record(now, false);
    }
    Err(match no_token {
        NoToken::AboveRate(retry) => {
            let message = format!(
                "organisation {organisation} is above its rate (configuration {})",
                config.version
            );
            Refusal::not_run(RefusalKind::RateExceeded, message).retry_after(retry)
        }
        NoToken::NoOwner => {
            let message = "the VM that admits within the rates does not respond; use another VM";
            Refusal::not_run(RefusalKind::Overloaded, message).retry_after(NO_OWNER_RETRY_AFTER)
        }
    })
}

/// Chooses the service of a request by the traffic split.
fn choose_service(node: &Node, route: &GatewayRoute) -> ServiceId {
    let now = node.now();
    let mut state = node.state();
    let split = state.traffic_splits.entry(route.id.clone()).or_default();
    let index = split.next_service(&route.services);
    let service = route.services[index].service.clone();
    if let Some(budget) = state.services.entry(service.clone()).or_default().retry_budget.as_mut() {
        budget.record_first_attempt(now);
    }
    service
}
