use adapter::{caller_response_headers, refusal_headers, refusal_status};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use kernel::Refusal;
use serde_json::json;

use crate::exchange::Answer;

/// Answer to a caller.
pub type CallerAnswer = Response<Full<Bytes>>;

/// Passes on the whole answer of a backend server.
pub fn pass_on(answer: Answer) -> CallerAnswer {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = caller_response_headers(&answer.headers);
    response
}

/// Makes the answer for a refusal.
pub fn refuse(refusal: &Refusal, request_id: Option<&str>) -> CallerAnswer {
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

/// A bare answer.
pub fn plain(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> CallerAnswer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    response
}
