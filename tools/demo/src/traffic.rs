use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use harness::{Caller, HttpResponse};
use http::Method;
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::desired::key_of;

/// What the callers saw.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests answered by a backend server, right and whole.
    pub answered: u64,
    /// Requests refused, by kind and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Responses that were wrong, with the first few described.
    pub wrong: u64,
    /// Descriptions of the first wrong responses.
    pub wrong_samples: Vec<String>,
    /// Milliseconds from request to whole response, for each answered request of organisations
    /// within their rate.
    pub times_ms: Vec<f64>,
}

impl Tally {
    fn wrong(&mut self, text: String) {
        self.wrong += 1;
        if self.wrong_samples.len() < 5 {
            self.wrong_samples.push(text);
        }
    }
}

/// One stream of requests.
#[derive(Clone, Debug)]
pub struct Stream {
    /// VM that the caller connects to.
    pub address: SocketAddr,
    /// Organisation.
    pub organisation: &'static str,
    /// Service, also the route.
    pub service: &'static str,
    /// Prefix of idempotency keys; none for idempotent routes.
    pub prefix: Option<String>,
    /// Requests per second.
    pub rate: f64,
    /// Whether the organisation stays within its rate.
    pub within: bool,
    /// Time to send for.
    pub time: Duration,
}

/// Sends the requests of a stream at an even pace, and checks every response.
pub async fn run(stream: Stream, number: usize, tally: Arc<Mutex<Tally>>) {
    let mut caller = Caller::new(stream.address);
    let key = key_of(stream.organisation);
    let start = Instant::now();
    let mut sent = 0_u32;
    while start.elapsed() < stream.time {
        let due = Duration::from_secs_f64(f64::from(sent) / stream.rate);
        tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
        let target = format!("/{}/{number}-{sent}", stream.service);
        let body = format!("body of {number}-{sent}");
        let mut headers = vec![("papayareel-key", key.as_str())];
        let once = stream.prefix.as_ref().map(|p| format!("{p}{number}-{sent}"));
        if let Some(once) = &once {
            headers.push(("idempotency-key", once));
        }
        let begin = Instant::now();
        let reply = caller.send(&Method::POST, &target, &headers, body.clone()).await;
        let took = begin.elapsed();
        let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
        match reply {
            Ok(reply) => check(&mut tally, &reply, &target, &body, took, stream.within),
            Err(error) => tally.wrong(format!("{target}: {error:#}")),
        }
        sent += 1;
    }
}

fn check(
    tally: &mut Tally,
    reply: &HttpResponse,
    target: &str,
    body: &str,
    took: Duration,
    within: bool,
) {
    let outcome = reply.header("papayareel-outcome");
    let json = reply.json();
    if !outcome.is_empty() {
        let kind = json["kind"].as_str().unwrap_or("untyped");
        *tally.refused.entry(format!("{kind} ({outcome})")).or_default() += 1;
        return;
    }
    let own = json["path"].as_str().is_some_and(|path| path == target);
    let digest: String =
        Sha256::digest(body.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    let whole = json["sha256"].as_str() == Some(&digest);
    if !reply.status.is_success() {
        *tally.refused.entry(format!("backend status {}", reply.status.as_u16())).or_default() += 1;
    } else if own && whole {
        tally.answered += 1;
        // An organisation above its rate waits for tokens; its times say nothing of the fleet.
        if within {
            tally.times_ms.push(took.as_secs_f64() * 1e3);
        }
    } else {
        tally.wrong(format!("{target} got {}", short(&json)));
    }
}

fn short(json: &Value) -> String {
    json.to_string().chars().take(200).collect()
}
