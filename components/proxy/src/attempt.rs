use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use kernel::prelude::*;
use kernel::{AttemptOutcome, LoadReport};
use retry::GuardDecision;
use serde::Deserialize;
use telemetry::inject_context;
use tracing::Span;

use crate::body::Body;
use crate::call::{Call, forwardable_headers};
use crate::fleet::Fleet;
use crate::headers::{
    BACKEND_DEADLINE_HEADER, NOT_RUN_HEADER, ORGANISATION_HEADER, REQUEST_ID_HEADER,
};
use crate::pool::{Connection, Pool};
use crate::record::Responder;
use crate::response_body::{BodyObserver, ObservedBody, is_framed};
use crate::slot::Slot;

/// Longest idle time of a connection that an idempotent request may reuse.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(30);
/// Longest idle time of a connection that a non-idempotent request may reuse. The server of a
/// connection with a longer idle time may have become unreachable unnoticed.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);
/// Longest wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a load report, which has three fields.
const MAX_LOAD_BYTES: usize = 4096;

/// How far the request of a failed attempt got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// No byte of the request has reached the backend server.
    NotSent,
    /// The backend server reported that it did not run the request.
    NotRun,
    /// The backend server may have run the request.
    MaybeRun,
}

/// An attempt without a usable response.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    /// Whether the backend server may have run the request.
    pub delivery: Delivery,
    /// Refusal for the caller if no further attempt is made.
    pub refusal: Refusal,
}

impl AttemptFailure {
    fn new(delivery: Delivery, kind: RefusalKind, message: String) -> Self {
        let refusal = match delivery {
            Delivery::MaybeRun => Refusal::unknown(kind, message),
            Delivery::NotSent | Delivery::NotRun => Refusal::not_run(kind, message),
        };
        AttemptFailure { delivery, refusal }
    }
}

impl AttemptFailure {
    /// Failure of a request that the crash guard holds back at present.
    pub fn crash_suspect() -> Self {
        let message = "the request may have crashed a backend server; retry in a second";
        let refusal = Refusal::not_run(RefusalKind::CrashSuspect, message);
        AttemptFailure { delivery: Delivery::NotSent, refusal }
    }
}

impl From<Refusal> for AttemptFailure {
    fn from(refusal: Refusal) -> Self {
        AttemptFailure { delivery: Delivery::NotSent, refusal }
    }
}

/// Time from sending a successful attempt to its response head, stored as an extension of the
/// response.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTime(pub Duration);

/// Sends the request to the slot's backend server and waits for the head of its response.
pub async fn run(
    mut slot: Slot,
    call: &Call,
    fleet: &Arc<dyn Fleet>,
) -> Result<Response<Body>, AttemptFailure> {
    slot.start_span(&call.span);
    let max_age = if call.idempotent { MAX_IDLE_IDEMPOTENT } else { MAX_IDLE_NON_IDEMPOTENT };
    let mut connection = match slot.pool.checkout(max_age).await {
        Ok(connection) => connection,
        Err(error) => {
            slot.end(AttemptOutcome::ConnectFailed);
            return Err(AttemptFailure::new(
                Delivery::NotSent,
                RefusalKind::NoBackend,
                error.to_string(),
            ));
        }
    };
    // The key may have been withdrawn or the deadline passed while the request was queued.
    call.recheck(&fleet.lookup())?;
    let remaining = call.remaining(fleet.now())?;
    if slot.start_guarded(&call.fingerprint()) != GuardDecision::Run {
        // A request with the same fingerprint became a crash suspect while this one was queued.
        return Err(AttemptFailure::crash_suspect());
    }
    slot.mark_sent(connection.reused);
    let cancel = slot.cancel.clone();
    tokio::select! {
        biased;
        result = connection.send(build_request(call, remaining, &slot.span)) => match result {
            Ok(response) => receive_response(slot, connection, call, response),
            Err(error) if error.is_unsent() => {
                // The pooled connection had just been closed, which is no evidence about the health
                // of the backend server.
                slot.end(AttemptOutcome::Cancelled);
                Err(AttemptFailure::new(
                    Delivery::NotSent,
                    RefusalKind::BackendFailed,
                    error.to_string(),
                ))
            }
            Err(error) => {
                slot.end(AttemptOutcome::Reset);
                let kind = RefusalKind::BackendFailed;
                Err(AttemptFailure::new(Delivery::MaybeRun, kind, error.to_string()))
            }
        },
        () = cancel.cancelled() => {
            slot.end(AttemptOutcome::Cancelled);
            let message =
                "the connection to the backend server went silent; the request may have run";
            Err(AttemptFailure::new(
                Delivery::MaybeRun,
                RefusalKind::BackendTimeout,
                message.to_owned(),
            ))
        }
        () = tokio::time::sleep(remaining) => {
            slot.end(AttemptOutcome::TimedOut);
            let message = "the backend server did not respond in time; the request may have run";
            Err(AttemptFailure::new(
                Delivery::MaybeRun,
                RefusalKind::BackendTimeout,
                message.to_owned(),
            ))
        }
    }
}

fn build_request(call: &Call, remaining: Duration, span: &Span) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    // The target was valid in the caller's request, so it parses here too.
    *request.uri_mut() = call.target.parse().unwrap_or_default();
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    inject_context(span, headers);
    headers.insert(header::HOST, HeaderValue::from_static("backend"));
    headers.insert(BACKEND_DEADLINE_HEADER, HeaderValue::from(remaining.as_millis() as u64));
    for (name, text) in [(ORGANISATION_HEADER, &call.organisation), (REQUEST_ID_HEADER, &call.id)] {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    }
    request
}

/// Whether a response is to another request, as a second copy of an earlier response is. Backend
/// servers need not repeat the id.
fn names_other_request(headers: &HeaderMap, id: &str) -> bool {
    headers.get_all(REQUEST_ID_HEADER).iter().any(|value| value.as_bytes() != id.as_bytes())
}

fn receive_response(
    mut slot: Slot,
    connection: Connection,
    call: &Call,
    response: Response<Incoming>,
) -> Result<Response<Body>, AttemptFailure> {
    let response_time = slot.mark_head_received();
    let (mut head, body) = response.into_parts();
    if names_other_request(&head.headers, &call.id) {
        slot.end(AttemptOutcome::Reset);
        let message = "the backend server sent the response to another request; check that it \
                       sends one response to each; the request may have run";
        return Err(AttemptFailure::new(
            Delivery::MaybeRun,
            RefusalKind::BackendFailed,
            message.to_owned(),
        ));
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(NOT_RUN_HEADER) {
        let draining = head.headers[NOT_RUN_HEADER] == "draining";
        if draining {
            telemetry::event!(BACKEND_DRAINING, service = call.service, backend = slot.backend);
        }
        slot.end(if draining { AttemptOutcome::Draining } else { AttemptOutcome::Shed });
        let message = "the backend server is full or draining; retry later".to_owned();
        return Err(AttemptFailure::new(Delivery::NotRun, RefusalKind::Overloaded, message));
    }
    if !is_framed(&call.method, head.status, &head.headers) {
        slot.end(AttemptOutcome::ServerError);
        let message = "the response has no length or chunks, so a cut would go unnoticed; the request has run";
        return Err(AttemptFailure::new(
            Delivery::MaybeRun,
            RefusalKind::BackendFailed,
            message.to_owned(),
        ));
    }
    let server_error = head.status.is_server_error();
    let length = head.headers.get(header::CONTENT_LENGTH).cloned();
    head.headers = forwardable_headers(&head.headers);
    if let Some(length) = length {
        head.headers.insert(header::CONTENT_LENGTH, length);
    }
    head.extensions.insert(AttemptTime(response_time));
    head.extensions.insert(Responder::Backend(slot.backend.clone()));
    let observer = SlotObserver { slot, connection, server_error };
    Ok(Response::from_parts(head, ObservedBody::new(body, observer).boxed_unsync()))
}

/// Holds the slot and the connection until the response body ends.
struct SlotObserver {
    slot: Slot,
    connection: Connection,
    server_error: bool,
}

impl BodyObserver for SlotObserver {
    fn on_data(&mut self, _bytes: &Bytes) {}

    fn on_complete(self) {
        let pool = Arc::clone(&self.slot.pool);
        let server_error = self.server_error;
        self.slot.end(if server_error {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Success
        });
        pool.release(self.connection);
    }

    fn on_error(self) {
        self.slot.end(AttemptOutcome::Reset);
    }
}

/// Whether a backend server reports healthy on a new connection.
pub async fn is_reachable(address: SocketAddr) -> bool {
    probe(&Pool::new(address)).await.0
}

/// Sends a health check. Returns whether the backend server is healthy and the response time.
pub async fn probe(pool: &Arc<Pool>) -> (bool, Duration) {
    let start = Instant::now();
    let fetch = async { Some(get(pool, "/healthz").await?.status().is_success()) };
    let healthy = tokio::time::timeout(PROBE_TIMEOUT, fetch).await.ok().flatten();
    (healthy.unwrap_or(false), start.elapsed())
}

/// Fetches the load report; none if it does not arrive in time or is invalid.
pub async fn fetch_load(pool: &Arc<Pool>) -> Option<LoadReport> {
    let fetch = async {
        let body = Limited::new(get(pool, "/load").await?.into_body(), MAX_LOAD_BYTES);
        let load: LoadBody = serde_json::from_slice(&body.collect().await.ok()?.to_bytes()).ok()?;
        Some(LoadReport { running: load.busy, queued: load.queued, draining: load.draining })
    };
    tokio::time::timeout(PROBE_TIMEOUT, fetch).await.ok().flatten()
}

/// Load report of a backend server in JSON.
#[derive(Deserialize)]
struct LoadBody {
    busy: u32,
    queued: u32,
    draining: bool,
}

/// Sends a GET request on a new connection.
async fn get(pool: &Arc<Pool>, path: &'static str) -> Option<Response<Incoming>> {
    let mut connection = pool.checkout(Duration::ZERO).await.ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = http::Uri::from_static(path);
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("backend"));
    connection.send(request).await.ok()
}
