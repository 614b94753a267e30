use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use config::{KeyDigest, Lookup};
use hmac::{Hmac, Mac};
use http::{HeaderMap, HeaderValue, Method, Request, Response, request};
use http_body_util::{BodyExt, Full};
use kernel::VmEntry;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use telemetry::{forward_span, inject_context, request_span};
use tracing::Span;

use crate::attempt::{AttemptFailure, Delivery};
use crate::body::Body;
use crate::call::{Call, forwardable_headers};
use crate::forwarded_body::ForwardedBody;
use crate::headers::{FORWARD_HEADER, OUTCOME_HEADER, PROOF_HEADER, REQUEST_ID_HEADER};
use crate::record::Responder;
use crate::vm_connection::VmConnection;

/// Maximum number of times that a request is forwarded. The last receiver runs or refuses it.
pub const MAX_HOPS: u8 = 2;
/// Metadata of a forwarded request. It contains the digest of the key, not the key.
#[derive(Debug, Serialize, Deserialize)]
struct ForwardHead {
    id: Box<str>,
    organisation: OrganisationId,
    key: Option<KeyDigest>,
    route: RouteId,
    left_ms: u64,
    hops: u8,
    admitted: bool,
    cleared: bool,
}

/// Forwards requests to other VMs and checks those that other VMs forward.
pub struct Forwarder {
    secret: Box<[u8]>,
    connections: Mutex<HashMap<Incarnation, Arc<VmConnection>>>,
}

impl Forwarder {
    /// Creates a forwarder that authenticates requests with the fleet secret.
    pub fn new(secret: impl Into<Box<[u8]>>) -> Self {
        Forwarder { secret: secret.into(), connections: Mutex::default() }
    }

    fn mac(&self, head: &str, method: &Method, target: &str, body: &Bytes) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        mac.update(head.as_bytes());
        mac.update(b"\n");
        mac.update(method.as_str().as_bytes());
        mac.update(b"\n");
        mac.update(target.as_bytes());
        mac.update(b"\n");
        mac.update(&Sha256::digest(body));
        Some(mac)
    }

    /// Whether the headers mark a request forwarded by another VM.
    pub fn is_forwarded(headers: &HeaderMap) -> bool {
        headers.contains_key(FORWARD_HEADER)
    }

    /// Verifies the proof of a forwarded request and parses it. Nothing is trusted without a proof.
    pub fn verify(
        &self,
        head: &request::Parts,
        body: Bytes,
        lookup: &Lookup,
        now: Uptime,
    ) -> Result<Call, Refusal> {
        let invalid = |what: &str| {
            let text = format!("the forward header {what}; check that all VMs have one secret");
            Refusal::not_run(RefusalKind::BadRequest, text)
        };
        let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let forwarded = text(FORWARD_HEADER).ok_or_else(|| invalid("cannot be read"))?;
        let proof =
            text(PROOF_HEADER).and_then(decode_hex).ok_or_else(|| invalid("has no proof"))?;
        let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
        self.mac(forwarded, &head.method, target, &body)
            .and_then(|mac| mac.verify_slice(&proof).ok())
            .ok_or_else(|| invalid("has a wrong proof"))?;
        let forwarded: ForwardHead =
            serde_json::from_str(forwarded).map_err(|_| invalid("has a wrong form"))?;
        let route = lookup.config.routes.get(&forwarded.route).ok_or_else(|| {
            let text = format!("route {:?} does not exist on this VM; retry", forwarded.route);
            Refusal::not_run(RefusalKind::RouteUnknown, text)
        })?;
        let idempotency_key = head.headers.get(crate::headers::IDEMPOTENCY_HEADER);
        let organisation = lookup.config.organisations.get(&forwarded.organisation);
        let span = request_span(&head.headers, &route.service);
        span.record("route", &*forwarded.route).record("organisation", &*forwarded.organisation);
        let call = Call {
            id: forwarded.id,
            organisation_weight: organisation.map_or(1.0, |o| o.weight),
            organisation: forwarded.organisation,
            key: forwarded.key,
            route: forwarded.route,
            service: route.service.clone(),
            idempotent: route.idempotent,
            route_weight: route.weight,
            deadline: now + Duration::from_millis(forwarded.left_ms),
            idempotency_key: idempotency_key.and_then(|v| v.to_str().ok()).map(Into::into),
            hops: forwarded.hops,
            admitted: forwarded.admitted,
            key_checked: forwarded.cleared,
            method: head.method.clone(),
            target: target.into(),
            headers: forwardable_headers(&head.headers),
            body,
            span,
        };
        call.recheck(lookup)?;
        Ok(call)
    }

    fn build_request(
        &self,
        call: &Call,
        remaining: Duration,
        span: &Span,
    ) -> Option<Request<Full<Bytes>>> {
        let head = serde_json::to_string(&ForwardHead {
            id: call.id.clone(),
            organisation: call.organisation.clone(),
            key: call.key,
            route: call.route.clone(),
            left_ms: remaining.as_millis() as u64,
            hops: call.hops + 1,
            admitted: call.admitted,
            cleared: call.key_checked,
        })
        .ok()?;
        let mac = self.mac(&head, &call.method, &call.target, &call.body)?;
        let proof: String =
            mac.finalize().into_bytes().iter().map(|b| format!("{b:02x}")).collect();
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        // HTTP/2 requires a scheme and an authority; the receiver ignores both.
        *request.uri_mut() = format!("http://fleet{}", call.target).parse().ok()?;
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        inject_context(span, headers);
        headers.insert(FORWARD_HEADER, HeaderValue::from_str(&head).ok()?);
        headers.insert(PROOF_HEADER, HeaderValue::from_str(&proof).ok()?);
        Some(request)
    }

    fn connection(&self, vm: &VmEntry) -> Arc<VmConnection> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(
            connections.entry(vm.incarnation).or_insert_with(|| VmConnection::new(vm.callers)),
        )
    }

    /// Drops the connections to the VMs that `keep` rejects.
    pub fn retain(&self, keep: impl Fn(Incarnation) -> bool) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|incarnation, _| keep(*incarnation));
    }

    /// Sends the request to another VM and waits for the head of its response.
    pub async fn send(
        &self,
        call: &Call,
        to: &VmEntry,
        now: Uptime,
    ) -> Result<Response<Body>, AttemptFailure> {
        let remaining = call.remaining(now)?;
        let fail = |delivery, message: String| {
            let kind = RefusalKind::PeerUnreachable;
            let refusal = match delivery {
                Delivery::MaybeRun => Refusal::unknown(kind, message),
                _ => Refusal::not_run(kind, message),
            };
            Err(AttemptFailure { delivery, refusal })
        };
        let span = forward_span(&call.span, &to.vm, call.hops + 1);
        let Some(request) = self.build_request(call, remaining, &span) else {
            return fail(
                Delivery::NotSent,
                "the request cannot be forwarded; check its headers".to_owned(),
            );
        };
        let response = match tokio::time::timeout(remaining, self.connection(to).send(request))
            .await
        {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_unsent() => {
                return fail(Delivery::NotSent, error.to_string());
            }
            Ok(Err(error)) => return fail(Delivery::MaybeRun, error.to_string()),
            Err(_) => {
                let text = "the VM that runs the request did not respond in time; it may have run";
                return fail(Delivery::MaybeRun, text.to_owned());
            }
        };
        let (mut head, body) = response.into_parts();
        let kept_names = [OUTCOME_HEADER, REQUEST_ID_HEADER, "content-length", "retry-after"];
        let kept_headers: Vec<_> = kept_names
            .iter()
            .filter_map(|n| head.headers.get(*n).map(|v| (*n, v.clone())))
            .collect();
        head.headers = forwardable_headers(&head.headers);
        for (name, value) in kept_headers {
            head.headers.insert(name, value);
        }
        head.version = http::Version::HTTP_11;
        head.extensions.insert(Responder::Vm(to.vm.clone()));
        let body = ForwardedBody::new(body, span);
        Ok(Response::from_parts(head, body.boxed_unsync()))
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let value = |b: u8| char::from(b).to_digit(16);
    digits
        .chunks_exact(2)
        .map(|pair| Some((value(pair[0])? * 16 + value(pair[1])?) as u8))
        .collect()
}
