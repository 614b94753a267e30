use http::{HeaderValue, Response, StatusCode, header};
use kernel::prelude::*;
use serde_json::json;

use crate::body::{Body, full};
use crate::headers::OUTCOME_HEADER;

/// Renders a refusal as a response.
pub fn refuse(refusal: &Refusal) -> Response<Body> {
    let body = json!({
        "kind": refusal.kind.as_str(),
        "outcome": refusal.outcome.as_str(),
        "message": refusal.message,
        "retry_after_ms": refusal.retry.map(|r| r.as_millis() as u64),
    });
    let mut response = Response::new(full(body.to_string()));
    *response.status_mut() =
        StatusCode::from_u16(refusal.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(refusal.outcome.as_str()));
    if let Some(retry) = refusal.retry {
        // The header counts whole seconds; rounding down would bring callers back too early.
        let seconds = retry.as_secs_f64().ceil() as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Outcome of a response that the fleet made; none if a backend server made it.
pub fn outcome(headers: &http::HeaderMap) -> Option<Outcome> {
    match headers.get(OUTCOME_HEADER)?.to_str().ok()? {
        "not-run" => Some(Outcome::NotRun),
        _ => Some(Outcome::Unknown),
    }
}
