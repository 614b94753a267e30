use bytes::Bytes;
use config::{Access, KeyDigest, Lookup, digest_key};
use http::{HeaderMap, Method, request};
use kernel::prelude::*;
use retry::{Fingerprint, RequestDigest};
use telemetry::request_span;
use tracing::Span;

use crate::headers::{DEADLINE_HEADER, FLEET_HEADERS, HOP_HEADERS, IDEMPOTENCY_HEADER, KEY_HEADER};

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// A request that was checked and may be run.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the request, for logs and traces.
    pub id: Box<str>,
    /// Organisation that it runs for; empty on open routes.
    pub organisation: OrganisationId,
    /// Digest of the key that it came with; none on open routes.
    pub key: Option<KeyDigest>,
    /// Weight of the organisation. Above 0.
    pub share: f64,
    /// Route.
    pub route: RouteId,
    /// Service of the route.
    pub service: ServiceId,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Weight of the route. Above 0.
    pub weight: f64,
    /// Time by which the answer is due.
    pub deadline: Uptime,
    /// The caller's idempotency key.
    pub idempotency: Option<Box<str>>,
    /// Number of VMs that have forwarded it.
    pub hops: u8,
    /// Whether its token was spent on an earlier VM.
    pub admitted: bool,
    /// Whether the VM that may run it has handed it on to be run.
    pub cleared: bool,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    /// Headers for the backend server.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Span of the request on this VM; it ends with the last span below it.
    pub span: Span,
}

impl Call {
    /// Checks the head of a caller's request against the configuration.
    pub fn check(
        head: &request::Parts,
        lookup: &Lookup,
        now: Uptime,
        id: Box<str>,
    ) -> Result<Call, Refusal> {
        let path = head.uri.path();
        let found = lookup.find_route(head.method.as_str(), path).ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::RouteUnknown,
                format!("no route takes {} {path}; check the path and the method", head.method),
            )
        })?;
        let route = found.route;
        let span = request_span(&head.headers, &route.service);
        span.record("route", found.id);
        let key = head.headers.get(KEY_HEADER).map(|v| v.as_bytes());
        let organisation = match lookup.authorize(route, key) {
            Access::Public => OrganisationId::default(),
            Access::Granted(organisation) => organisation,
            Access::Denied(kind) => return Err(deny(kind)),
        };
        let deadline = read_deadline(&head.headers)?.unwrap_or(route.deadline).min(MAX_DEADLINE);
        let idempotency = read_idempotency(&head.headers)?;
        if !route.idempotent && idempotency.is_none() {
            return Err(Refusal::not_run(
                RefusalKind::IdempotencyKeyMissing,
                format!("requests on this route may run once; send {IDEMPOTENCY_HEADER}"),
            ));
        }
        span.record("organisation", &*organisation);
        let share = lookup.config.organisations.get(&organisation).map_or(1.0, |o| o.weight);
        Ok(Call {
            id,
            key: (!route.public).then(|| digest_key(key.unwrap_or_default())),
            organisation,
            share,
            route: found.id.into(),
            service: route.service.clone(),
            idempotent: route.idempotent,
            weight: route.weight,
            deadline: now + deadline,
            idempotency,
            hops: 0,
            admitted: false,
            cleared: false,
            method: head.method.clone(),
            target: head.uri.path_and_query().map_or("/", |t| t.as_str()).into(),
            headers: pass_on(&head.headers),
            body: Bytes::new(),
            span,
        })
    }

    /// What the crash guard knows the request by.
    pub fn fingerprint(&self) -> Fingerprint {
        let digest = RequestDigest::of(self.method.as_str(), &self.target, &self.body);
        Fingerprint::of(&self.organisation, &self.route, &digest)
    }

    /// Checks that the key still gives access; it may have been withdrawn since.
    pub fn recheck(&self, lookup: &Lookup) -> Result<(), Refusal> {
        let Some(digest) = &self.key else {
            return Ok(());
        };
        match lookup.config.keys.get(digest) {
            Some(key) if key.withdrawn => Err(deny(RefusalKind::KeyWithdrawn)),
            Some(key) if key.organisation != self.organisation => {
                Err(deny(RefusalKind::KeyForeign))
            }
            Some(_) => Ok(()),
            None => Err(deny(RefusalKind::KeyUnknown)),
        }
    }

    /// Time left until the deadline, or a refusal if there is none.
    pub fn left(&self, now: Uptime) -> Result<Duration, Refusal> {
        self.deadline.checked_sub(now).filter(|left| !left.is_zero()).ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::DeadlinePassed,
                "the deadline has passed; allow more time",
            )
        })
    }
}

fn deny(kind: RefusalKind) -> Refusal {
    let message = match kind {
        RefusalKind::KeyMissing => "the route needs a key; send it in papayareel-key",
        RefusalKind::KeyWithdrawn => "the key was withdrawn; ask the operator for a new one",
        RefusalKind::KeyForeign => {
            "the key's organisation may not use this route; ask the operator"
        }
        _ => "no organisation has this key; check it or ask the operator for one",
    };
    Refusal::not_run(kind, message)
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or("");
    let millis: i64 = text.parse().map_err(|_| {
        Refusal::not_run(
            RefusalKind::BadDeadline,
            format!("{DEADLINE_HEADER} is no whole number of milliseconds; send one above 0"),
        )
    })?;
    if millis <= 0 {
        return Err(Refusal::not_run(
            RefusalKind::DeadlinePassed,
            "the deadline has passed already; allow more time",
        ));
    }
    Ok(Some(Duration::from_millis(millis.unsigned_abs())))
}

fn read_idempotency(headers: &HeaderMap) -> Result<Option<Box<str>>, Refusal> {
    /// Longest idempotency key, so that the answer table stays bounded.
    const MAX_KEY_BYTES: usize = 200;
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(text.into())),
        _ => Err(Refusal::not_run(
            RefusalKind::IdempotencyKeyInvalid,
            format!("{IDEMPOTENCY_HEADER} must be 1 to {MAX_KEY_BYTES} visible ASCII characters"),
        )),
    }
}

/// Headers without those of the connection and those that only the fleet may set.
pub fn pass_on(headers: &HeaderMap) -> HeaderMap {
    let mut named: Vec<Box<str>> = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        for name in value.to_str().unwrap_or("").split(',') {
            named.push(name.trim().to_ascii_lowercase().into());
        }
    }
    let dropped = |name: &str| {
        HOP_HEADERS.contains(&name)
            || FLEET_HEADERS.contains(&name)
            || named.iter().any(|n| &**n == name)
    };
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !dropped(name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
