use sha2::{Digest, Sha256};

use crate::caller::HttpResponse;

/// Result of checking the response to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The complete response of a backend server to this request.
    Complete,
    /// A well-formed refusal by the fleet.
    Refused {
        /// Field `kind` of the body.
        kind: String,
        /// `not-run` or `unknown`.
        outcome: String,
    },
    /// Any other response, with a description of what is wrong.
    Invalid(String),
}

impl ResponseKind {
    /// Classifies the response to a request with this target and body.
    pub fn classify(response: &HttpResponse, target: &str, body: &[u8]) -> Self {
        let outcome = response.header("papayareel-outcome");
        let json = response.json();
        let invalid = |what: &str| {
            let text = String::from_utf8_lossy(&response.body[..response.body.len().min(300)]);
            ResponseKind::Invalid(format!(
                "{target}: {what}: {} {outcome:?} {text}",
                response.status
            ))
        };
        if !outcome.is_empty() {
            let (kind, message) = (json["kind"].as_str(), json["message"].as_str());
            let known_outcome = outcome == "not-run" || outcome == "unknown";
            return match (kind, message) {
                (Some(kind), Some(message)) if known_outcome && !message.is_empty() => {
                    ResponseKind::Refused { kind: kind.to_owned(), outcome: outcome.to_owned() }
                }
                _ => invalid("the refusal has no kind, no message or an unknown outcome"),
            };
        }
        if response.status != 200 {
            return invalid("neither a success nor a refusal with an outcome");
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if let Some(length) = query.strip_prefix("bytes=").and_then(|n| n.parse::<usize>().ok()) {
            let complete = response.body.len() == length
                && response.body.iter().enumerate().all(|(i, byte)| *byte == (i % 251) as u8);
            return if complete {
                ResponseKind::Complete
            } else {
                invalid("the body differs from the requested pattern")
            };
        }
        let digest: String = Sha256::digest(body).iter().map(|b| format!("{b:02x}")).collect();
        if json["path"].as_str() != Some(path) || json["sha256"].as_str() != Some(&digest) {
            return invalid("the response belongs to another request");
        }
        ResponseKind::Complete
    }
}
