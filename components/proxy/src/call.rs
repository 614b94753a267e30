use bytes::Bytes;
use config::{Access, KeyDigest, Lookup, digest_key};
use http::{HeaderMap, Method, request};
use kernel::prelude::*;
use retry::{Fingerprint, RequestDigest};
use telemetry::request_span;
use tracing::Span;

use crate::headers::{
    DEADLINE_HEADER, HOP_BY_HOP_HEADERS, IDEMPOTENCY_HEADER, KEY_HEADER, RESERVED_HEADERS,
};

/// Longest deadline of a request; longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// A request that has passed the checks of route, key and headers.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request ID, for logs and traces.
    pub id: Box<str>,
    /// Organisation; empty on public routes.
    pub organisation: OrganisationId,
    /// Digest of the organisation's key; none on public routes.
    pub key: Option<KeyDigest>,
    /// Scheduling weight of the organisation. Above 0.
    pub organisation_weight: f64,
    /// Route.
    pub route: RouteId,
    /// Service of the route.
    pub service: ServiceId,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Scheduling weight of the route. Above 0.
    pub route_weight: f64,
    /// Time by which the response is due.
    pub deadline: Uptime,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Box<str>>,
    /// Number of VMs that have forwarded the request.
    pub hops: u8,
    /// Whether a token of the organisation's rate limit has been spent on it.
    pub admitted: bool,
    /// Whether the VM responsible for its idempotency key has allowed it to run.
    pub key_checked: bool,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Span of the request on this VM; it stays open until its last child span ends.
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
        let matched = lookup.find_route(head.method.as_str(), path).ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::RouteUnknown,
                format!("no route takes {} {path}; check the path and the method", head.method),
            )
        })?;
        let route = matched.route;
        let span = request_span(&head.headers, &route.service);
        span.record("route", matched.id);
        let key = head.headers.get(KEY_HEADER).map(|v| v.as_bytes());
        let organisation = match lookup.authorize(route, key) {
            Access::Public => OrganisationId::default(),
            Access::Granted(organisation) => organisation,
            Access::Denied(kind) => return Err(access_refusal(kind)),
        };
        let deadline = parse_deadline(&head.headers)?.unwrap_or(route.deadline).min(MAX_DEADLINE);
        let idempotency_key = parse_idempotency_key(&head.headers)?;
        if !route.idempotent && idempotency_key.is_none() {
            return Err(Refusal::not_run(
                RefusalKind::IdempotencyKeyMissing,
                format!("requests on this route may run once; send {IDEMPOTENCY_HEADER}"),
            ));
        }
        span.record("organisation", &*organisation);
        let organisation_weight =
            lookup.config.organisations.get(&organisation).map_or(1.0, |o| o.weight);
        Ok(Call {
            id,
            key: (!route.public).then(|| digest_key(key.unwrap_or_default())),
            organisation,
            organisation_weight,
            route: matched.id.into(),
            service: route.service.clone(),
            idempotent: route.idempotent,
            route_weight: route.weight,
            deadline: now + deadline,
            idempotency_key,
            hops: 0,
            admitted: false,
            key_checked: false,
            method: head.method.clone(),
            target: head.uri.path_and_query().map_or("/", |t| t.as_str()).into(),
            headers: forwardable_headers(&head.headers),
            body: Bytes::new(),
            span,
        })
    }

    /// Fingerprint by which the crash guard identifies the request.
    pub fn fingerprint(&self) -> Fingerprint {
        let digest = RequestDigest::of(self.method.as_str(), &self.target, &self.body);
        Fingerprint::of(&self.organisation, &self.route, &digest)
    }

    /// Checks that the key still gives access; it may have been withdrawn since `check`.
    pub fn recheck(&self, lookup: &Lookup) -> Result<(), Refusal> {
        let Some(digest) = &self.key else {
            return Ok(());
        };
        match lookup.config.keys.get(digest) {
            Some(key) if key.withdrawn => Err(access_refusal(RefusalKind::KeyWithdrawn)),
            Some(key) if key.organisation != self.organisation => {
                Err(access_refusal(RefusalKind::KeyForeign))
            }
            Some(_) => Ok(()),
            None => Err(access_refusal(RefusalKind::KeyUnknown)),
        }
    }

    /// Time until the deadline, or a refusal if it has passed.
    pub fn remaining(&self, now: Uptime) -> Result<Duration, Refusal> {
        self.deadline.checked_sub(now).filter(|remaining| !remaining.is_zero()).ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::DeadlinePassed,
                "the deadline has passed; allow more time",
            )
        })
    }
}

fn access_refusal(kind: RefusalKind) -> Refusal {
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

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or("");
    let millis: i64 = text.parse().map_err(|_| {
        Refusal::not_run(
            RefusalKind::BadDeadline,
            format!("{DEADLINE_HEADER} must be a whole number of milliseconds above 0"),
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

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, Refusal> {
    /// Maximum length of an idempotency key, which bounds the size of the idempotency table.
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

/// Returns the headers without hop-by-hop headers and those that only the fleet may set.
pub fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let mut connection_headers: Vec<Box<str>> = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        for name in value.to_str().unwrap_or("").split(',') {
            connection_headers.push(name.trim().to_ascii_lowercase().into());
        }
    }
    let is_dropped = |name: &str| {
        HOP_BY_HOP_HEADERS.contains(&name)
            || RESERVED_HEADERS.contains(&name)
            || connection_headers.iter().any(|n| &**n == name)
    };
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_dropped(name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
