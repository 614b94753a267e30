use http::{HeaderValue, Response, StatusCode, header};
use kernel::prelude::*;
use serde_json::json;

use crate::body::{Body, full};
use crate::headers::OUTCOME_HEADER;

fn body_of(refusal: &Refusal) -> String {
    let body = json!({
        "kind": refusal.kind.as_str(),
        "outcome": refusal.outcome.as_str(),
        "message": refusal.message,
        "retry_after_ms": refusal.retry.map(|r| r.as_millis() as u64),
    });
    body.to_string()
}

/// Renders a refusal as the last response of an HTTP/1.1 connection.
pub fn refusal_text(refusal: &Refusal) -> Vec<u8> {
    let body = body_of(refusal);
    let status = status_of(refusal);
    let head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\n{OUTCOME_HEADER}: {}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        status.as_u16(),
        status.canonical_reason().unwrap_or_default(),
        refusal.outcome,
        body.len()
    );
    [head.into_bytes(), body.into_bytes()].concat()
}

fn status_of(refusal: &Refusal) -> StatusCode {
    StatusCode::from_u16(refusal.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Renders a refusal as a response.
pub fn refuse(refusal: &Refusal) -> Response<Body> {
    let mut response = Response::new(full(body_of(refusal)));
    *response.status_mut() = status_of(refusal);
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
