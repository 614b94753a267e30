use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use adapter::{RequestHead, RequestHeadError, decode_request_head};
use bytes::Bytes;
use dispatch::{AccessDenied, GatewayConfig, GatewayRoute, QuotaDecision, may_start};
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kernel::prelude::*;
use tokio::time::Instant;

use crate::answer::{CallerAnswer, refuse};
use crate::exchange::Outgoing;
use crate::node::Node;
use crate::send::{Job, serve};

/// Time that a request without a deadline of its own gets.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest wait for the first configuration of a VM that starts, which takes about 0.4 s.
const START_WAIT: Duration = Duration::from_millis(600);
/// Retry-After while this VM has no configuration.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);
/// Retry-After of a VM that stops: another one serves at once.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// Retry-After of a request that crashes backend servers.
const CRASH_RETRY: Duration = Duration::from_secs(30);
/// Part of calm requests that are logged: one in this many.
const CALM_SAMPLE: u64 = 64;

/// Takes the worth of a rank: the platform's requests of rank 0, 1 and 2 are worth 3, 2 and 1.
fn worth(priority: u32) -> f64 {
    f64::from(3_u32.saturating_sub(priority).max(1))
}

/// Answers a request of a caller.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> CallerAnswer {
    let started = node.now();
    let head = decode_request_head(request.headers());
    let id: Box<str> = head.as_ref().map_or_else(|_| "".into(), |h| h.request_id.clone());
    let result = answer(&node, request, head, started).await;
    let took = node.now().saturating_sub(started);
    match result {
        Ok(answer) => {
            node.metrics.answered(answer.status().as_u16(), took);
            if answer.status().is_success() {
                if node.random().is_multiple_of(CALM_SAMPLE) {
                    let (status, took_ms) = (answer.status().as_u16(), took.as_millis() as u64);
                    telemetry::event!(
                        REQUEST_SERVED,
                        request = id,
                        status = status,
                        took_ms = took_ms
                    );
                }
            } else {
                let (status, took_ms) = (answer.status().as_u16(), took.as_millis() as u64);
                telemetry::event!(REQUEST_FAILED, request = id, status = status, took_ms = took_ms);
            }
            answer
        }
        Err(refusal) => {
            node.metrics.refused(refusal.kind, took);
            telemetry::event!(
                REQUEST_REFUSED,
                request = id,
                kind = refusal.kind.as_str(),
                outcome = refusal.outcome.as_str(),
                took_ms = took.as_millis() as u64,
                retry_ms = refusal.retry.unwrap_or_default().as_millis() as u64,
                cause = refusal.message,
            );
            refuse(&refusal, (!id.is_empty()).then_some(&*id))
        }
    }
}

fn checked(head: Result<RequestHead, RequestHeadError>) -> Result<RequestHead, Refusal> {
    head.map_err(|fault| match fault {
        RequestHeadError::InvalidRequestId => {
            Refusal::not_run(RefusalKind::BadRequest, "the request has no id; send one")
        }
        RequestHeadError::InvalidDeadline => {
            let message = "the deadline is no number of milliseconds; send one or none";
            Refusal::not_run(RefusalKind::BadDeadline, message)
        }
    })
}

fn denial(denied: AccessDenied) -> Refusal {
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

async fn read_body(request: Request<Incoming>, most: usize) -> Result<Bytes, Refusal> {
    let stated = request.headers().get(http::header::CONTENT_LENGTH);
    let stated = stated.and_then(|v| v.to_str().ok()).and_then(|v| v.parse::<usize>().ok());
    let too_large =
        || Refusal::not_run(RefusalKind::BodyTooLarge, format!("send at most {most} bytes"));
    if stated.is_some_and(|length| length > most) {
        return Err(too_large());
    }
    match Limited::new(request.into_body(), most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(error) => {
            let message = format!("the body did not arrive whole: {error}");
            Err(Refusal::not_run(RefusalKind::BadRequest, message))
        }
    }
}

/// Names a request by what crashes a backend server again: its caller, target and body.
fn fingerprint(organisation: Option<&str>, outgoing: &Outgoing) -> u64 {
    let mut hasher = DefaultHasher::new();
    organisation.hash(&mut hasher);
    outgoing.method.hash(&mut hasher);
    outgoing.target.hash(&mut hasher);
    outgoing.body.hash(&mut hasher);
    hasher.finish()
}

fn host_of(request: &Request<Incoming>) -> &str {
    let header = request.headers().get(http::header::HOST).and_then(|v| v.to_str().ok());
    header.or_else(|| request.uri().host()).unwrap_or("")
}

async fn answer(
    node: &Arc<Node>,
    request: Request<Incoming>,
    head: Result<RequestHead, RequestHeadError>,
    started: Uptime,
) -> Result<CallerAnswer, Refusal> {
    if !node.is_informed() {
        wait_for_knowledge(node, &head).await;
    }
    let Some(catalogue) = node.catalogue.load_full() else {
        let message = "this VM has no configuration yet; use another one";
        return Err(Refusal::not_run(RefusalKind::StaleConfiguration, message)
            .retry_after(UNCONFIGURED_RETRY));
    };
    let head = checked(head)?;
    let path = request.uri().path().to_owned();
    let Some(route) = catalogue.find_route(host_of(&request), &path) else {
        return Err(denial(AccessDenied::NoRoute));
    };
    let organisation = catalogue.authorize(route, head.key.as_deref()).map_err(denial)?;
    let priority = organisation.and_then(|o| o.priority).unwrap_or(route.priority);
    let organisation = organisation.map(|o| o.id.clone());
    let method = request.method().clone();
    let target = request.uri().path_and_query().map_or("/", |t| t.as_str());
    let target = target.parse().map_err(|_| {
        Refusal::not_run(RefusalKind::BadRequest, "the target of the request cannot be read")
    })?;
    let headers = request.headers().clone();
    let body = read_body(request, catalogue.limits.max_body_bytes).await?;
    let outgoing = Outgoing {
        method,
        target,
        headers,
        body,
        request_id: head.request_id.clone(),
        idempotent: route.idempotent,
    };
    let fingerprint = fingerprint(organisation.as_deref(), &outgoing);
    let service = admit(node, &catalogue, route, organisation.as_deref(), fingerprint)?;
    let deadline = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let job = Job {
        route: route.clone(),
        service,
        organisation,
        outgoing,
        fingerprint,
        started,
        until: started + deadline.min(route.timeout),
        due: started + route.latency_objective.min(deadline),
        priority,
        worth: worth(route.priority),
        version: catalogue.version,
    };
    serve(node, job).await
}

/// Waits for the first configuration and list of backend servers: a VM that starts has them soon,
/// and a caller that is refused meanwhile would come to another VM that starts too.
async fn wait_for_knowledge(node: &Node, head: &Result<RequestHead, RequestHeadError>) {
    let deadline = head.as_ref().ok().and_then(|head| head.deadline).unwrap_or(DEFAULT_DEADLINE);
    let until = Instant::now() + START_WAIT.min(deadline / 6);
    while !node.is_informed() {
        let woken = node.configured.notified();
        if tokio::time::timeout_at(until, woken).await.is_err() {
            return;
        }
    }
}

/// Checks the crash guard and the rate, and chooses the service.
fn admit(
    node: &Node,
    catalogue: &GatewayConfig,
    route: &GatewayRoute,
    organisation: Option<&str>,
    fingerprint: u64,
) -> Result<ServiceId, Refusal> {
    let now = node.now();
    let mut state = node.state();
    let usual = state.usual.get(&route.id).copied().unwrap_or_default().time;
    if let Some(stopping) = node.stopping_for()
        && !may_start(
            stopping,
            node.boot.load().fleet_limits.grace_period,
            Duration::from_secs_f64(usual),
        )
    {
        let message = "this VM stops; use another one";
        return Err(Refusal::not_run(RefusalKind::Stopping, message).retry_after(STOPPING_RETRY));
    }
    if state.crashes.is_blocked(now, fingerprint) {
        let message = "backend servers died while they ran this request; do not send it again";
        return Err(Refusal::not_run(RefusalKind::CrashSuspect, message).retry_after(CRASH_RETRY));
    }
    if let Some(organisation) = organisation
        && let QuotaDecision::Refused(retry) = state.quota.admit(now, organisation)
    {
        if let Some(first) = route.services.first()
            && let Some(service) = state.services.get_mut(&first.service)
        {
            service.outcomes.record(now, false);
        }
        let message = format!(
            "organisation {organisation} is above its rate (configuration {})",
            catalogue.version
        );
        return Err(Refusal::not_run(RefusalKind::RateExceeded, message).retry_after(retry));
    }
    let split = state.splits.entry(route.id.clone()).or_default();
    let chosen = split.next_service(&route.services);
    let service = route.services[chosen].service.clone();
    if let Some(allowance) = state.services.entry(service.clone()).or_default().allowance.as_mut() {
        allowance.record_first_attempt(now);
    }
    Ok(service)
}
