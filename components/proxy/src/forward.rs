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

use crate::attempt::{Failure, Sent};
use crate::body::{Body, BodyError};
use crate::call::{Call, pass_on};
use crate::headers::{FORWARD_HEADER, OUTCOME_HEADER, PROOF_HEADER, REQUEST_ID_HEADER};
use crate::link::VmLink;
use crate::record::Answerer;

/// Most VMs that may forward one request. The last one runs it.
pub const MAX_HOPS: u8 = 2;
/// What a VM tells the next about a request. It holds the digest of the key, not the key.
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
    links: Mutex<HashMap<Incarnation, Arc<VmLink>>>,
}

impl Forwarder {
    /// A forwarder that proves itself with the fleet secret.
    pub fn new(secret: impl Into<Box<[u8]>>) -> Self {
        Forwarder { secret: secret.into(), links: Mutex::default() }
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

    /// Whether the head says that another VM forwards the request.
    pub fn is_forwarded(headers: &HeaderMap) -> bool {
        headers.contains_key(FORWARD_HEADER)
    }

    /// Checks a forwarded request; nothing in it is trusted without the proof.
    pub fn accept(
        &self,
        head: &request::Parts,
        body: Bytes,
        lookup: &Lookup,
        now: Uptime,
    ) -> Result<Call, Refusal> {
        let bad = |what: &str| {
            let text = format!("the forward header {what}; check that all VMs have one secret");
            Refusal::not_run(RefusalKind::BadRequest, text)
        };
        let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let sent = text(FORWARD_HEADER).ok_or_else(|| bad("cannot be read"))?;
        let proof = text(PROOF_HEADER).and_then(read_hex).ok_or_else(|| bad("has no proof"))?;
        let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
        self.mac(sent, &head.method, target, &body)
            .and_then(|mac| mac.verify_slice(&proof).ok())
            .ok_or_else(|| bad("has a wrong proof"))?;
        let sent: ForwardHead = serde_json::from_str(sent).map_err(|_| bad("has a wrong form"))?;
        let route = lookup.config.routes.get(&sent.route).ok_or_else(|| {
            let text = format!("route {:?} does not exist on this VM; retry", sent.route);
            Refusal::not_run(RefusalKind::RouteUnknown, text)
        })?;
        let idempotency = head.headers.get(crate::headers::IDEMPOTENCY_HEADER);
        let organisation = lookup.config.organisations.get(&sent.organisation);
        let span = request_span(&head.headers, &route.service);
        span.record("route", &*sent.route).record("organisation", &*sent.organisation);
        let call = Call {
            id: sent.id,
            share: organisation.map_or(1.0, |o| o.weight),
            organisation: sent.organisation,
            key: sent.key,
            route: sent.route,
            service: route.service.clone(),
            idempotent: route.idempotent,
            weight: route.weight,
            deadline: now + Duration::from_millis(sent.left_ms),
            idempotency: idempotency.and_then(|v| v.to_str().ok()).map(Into::into),
            hops: sent.hops,
            admitted: sent.admitted,
            cleared: sent.cleared,
            method: head.method.clone(),
            target: target.into(),
            headers: pass_on(&head.headers),
            body,
            span,
        };
        call.recheck(lookup)?;
        Ok(call)
    }

    fn build(&self, call: &Call, left: Duration, span: &Span) -> Option<Request<Full<Bytes>>> {
        let head = serde_json::to_string(&ForwardHead {
            id: call.id.clone(),
            organisation: call.organisation.clone(),
            key: call.key,
            route: call.route.clone(),
            left_ms: left.as_millis() as u64,
            hops: call.hops + 1,
            admitted: call.admitted,
            cleared: call.cleared,
        })
        .ok()?;
        let mac = self.mac(&head, &call.method, &call.target, &call.body)?;
        let proof: String =
            mac.finalize().into_bytes().iter().map(|b| format!("{b:02x}")).collect();
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        // HTTP/2 needs a scheme and an authority; the receiver looks at neither.
        *request.uri_mut() = format!("http://fleet{}", call.target).parse().ok()?;
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        inject_context(span, headers);
        headers.insert(FORWARD_HEADER, HeaderValue::from_str(&head).ok()?);
        headers.insert(PROOF_HEADER, HeaderValue::from_str(&proof).ok()?);
        Some(request)
    }

    fn link(&self, vm: &VmEntry) -> Arc<VmLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(links.entry(vm.incarnation).or_insert_with(|| VmLink::new(vm.callers)))
    }

    /// Drops the connections to VMs that are gone.
    pub fn retain(&self, keep: impl Fn(Incarnation) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|incarnation, _| keep(*incarnation));
    }

    /// Sends the request to another VM and waits for the head of its response.
    pub async fn send(
        &self,
        call: &Call,
        to: &VmEntry,
        now: Uptime,
    ) -> Result<Response<Body>, Failure> {
        let left = call.left(now)?;
        let fail = |sent, message: String| {
            let kind = RefusalKind::PeerUnreachable;
            let refusal = match sent {
                Sent::Maybe => Refusal::unknown(kind, message),
                _ => Refusal::not_run(kind, message),
            };
            Err(Failure { sent, refusal })
        };
        let span = forward_span(&call.span, &to.vm, call.hops + 1);
        let Some(request) = self.build(call, left, &span) else {
            return fail(Sent::No, "the request cannot be forwarded; check its headers".to_owned());
        };
        let response = match tokio::time::timeout(left, self.link(to).send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_unsent() => return fail(Sent::No, error.to_string()),
            Ok(Err(error)) => return fail(Sent::Maybe, error.to_string()),
            Err(_) => {
                let text = "the VM that runs the request did not answer in time; it may have run";
                return fail(Sent::Maybe, text.to_owned());
            }
        };
        let (mut head, body) = response.into_parts();
        let keep = [OUTCOME_HEADER, REQUEST_ID_HEADER, "content-length", "retry-after"];
        let kept: Vec<_> =
            keep.iter().filter_map(|n| head.headers.get(*n).map(|v| (*n, v.clone()))).collect();
        head.headers = pass_on(&head.headers);
        for (name, value) in kept {
            head.headers.insert(name, value);
        }
        head.version = http::Version::HTTP_11;
        head.extensions.insert(Answerer::Vm(to.vm.clone()));
        let body = body.map_err(move |error| {
            // The span lasts as long as the body.
            span.in_scope(|| BodyError::Cut(error.into()))
        });
        Ok(Response::from_parts(head, body.boxed_unsync()))
    }
}

fn read_hex(text: &str) -> Option<Vec<u8>> {
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
