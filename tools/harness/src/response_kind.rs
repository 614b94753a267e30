use sha2::{Digest, Sha256};

use crate::caller::HttpResponse;

/// What a response is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The whole response of a backend server to this very request.
    Complete,
    /// A refusal by the fleet in due form.
    Refused {
        /// `kind` of the body.
        kind: String,
        /// `not-run` or `unknown`.
        outcome: String,
    },
    /// Anything else, with the finding.
    Invalid(String),
}

impl ResponseKind {
    /// Judges the response to a request with this target and body.
    pub fn classify(reply: &HttpResponse, target: &str, body: &[u8]) -> Self {
        let outcome = reply.header("papayareel-outcome");
        let json = reply.json();
        let wrong = |what: &str| {
            let text = String::from_utf8_lossy(&reply.body[..reply.body.len().min(300)]);
            ResponseKind::Invalid(format!("{target}: {what}: {} {outcome:?} {text}", reply.status))
        };
        if !outcome.is_empty() {
            let (kind, message) = (json["kind"].as_str(), json["message"].as_str());
            let known = outcome == "not-run" || outcome == "unknown";
            return match (kind, message) {
                (Some(kind), Some(message)) if known && !message.is_empty() => {
                    ResponseKind::Refused { kind: kind.to_owned(), outcome: outcome.to_owned() }
                }
                _ => wrong("the refusal has no kind, no message or an unknown outcome"),
            };
        }
        if reply.status != 200 {
            return wrong("neither a response nor a refusal with an outcome");
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if let Some(length) = query.strip_prefix("bytes=").and_then(|n| n.parse::<usize>().ok()) {
            let whole = reply.body.len() == length
                && reply.body.iter().enumerate().all(|(i, byte)| *byte == (i % 251) as u8);
            return if whole { ResponseKind::Complete } else { wrong("the pattern is not whole") };
        }
        let digest: String = Sha256::digest(body).iter().map(|b| format!("{b:02x}")).collect();
        if json["path"].as_str() != Some(path) || json["sha256"].as_str() != Some(&digest) {
            return wrong("the response belongs to another request");
        }
        ResponseKind::Complete
    }
}
