use adapter::{caller_response_headers, refusal_headers, refusal_status};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use kernel::Refusal;
use serde_json::json;

use crate::exchange::BackendResponse;

/// Response to a caller.
pub type CallerResponse = Response<Full<Bytes>>;

/// Builds the caller's response from that of a backend server.
pub fn caller_response(backend_response: BackendResponse) -> CallerResponse {
    let mut response = Response::new(Full::new(backend_response.body));
    *response.status_mut() = backend_response.status;
    *response.headers_mut() = caller_response_headers(&backend_response.headers);
    response
}

/// Builds the response for a refusal.
pub fn refusal_response(refusal: &Refusal, request_id: Option<&str>) -> CallerResponse {
    let body = json!({
        "kind": refusal.kind.as_str(),
        "outcome": refusal.outcome.as_str(),
        "message": refusal.message,
    });
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = refusal_status(refusal);
    *response.headers_mut() = refusal_headers(refusal, request_id);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// Builds a response with a status, a content type and a body.
pub fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> CallerResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}
