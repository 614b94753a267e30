use http::{HeaderValue, Response, StatusCode, header};
use kernel::prelude::*;
use serde_json::json;

use crate::body::{Body, full};
use crate::headers::OUTCOME_HEADER;

fn refusal_body(refusal: &Refusal) -> String {
    let body = json!({
        "kind": refusal.kind.as_str(),
        "outcome": refusal.outcome.as_str(),
        "message": refusal.message,
        "retry_after_ms": refusal.retry.map(|r| r.as_millis() as u64),
    });
    body.to_string()
}

/// Encodes a refusal as the last response of an HTTP/1.1 connection.
pub fn encode_refusal(refusal: &Refusal) -> Vec<u8> {
    let body = refusal_body(refusal);
    let status = refusal_status(refusal);
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

fn refusal_status(refusal: &Refusal) -> StatusCode {
    StatusCode::from_u16(refusal.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Builds the response for a refusal.
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = Response::new(full(refusal_body(refusal)));
    *response.status_mut() = refusal_status(refusal);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(refusal.outcome.as_str()));
    if let Some(retry) = refusal.retry {
        // The header has whole seconds; rounding down would let callers retry too early.
        let seconds = retry.as_secs_f64().ceil() as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Outcome of a response made by the fleet; none if a backend server made it.
pub fn response_outcome(headers: &http::HeaderMap) -> Option<Outcome> {
    match headers.get(OUTCOME_HEADER)?.to_str().ok()? {
        "not-run" => Some(Outcome::NotRun),
        _ => Some(Outcome::Unknown),
    }
}
