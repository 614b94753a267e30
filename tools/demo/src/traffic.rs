use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use harness::{Caller, HttpResponse};
use http::Method;
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::demo_config::api_key;

/// Outcomes of the requests of all streams.
#[derive(Debug, Default)]
pub struct TrafficStats {
    /// Requests that got a correct and complete response of a backend server.
    pub answered: u64,
    /// Refused requests, by error kind and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Incorrect responses and requests without a response.
    pub wrong: u64,
    /// Descriptions of the first incorrect responses.
    pub wrong_samples: Vec<String>,
    /// Milliseconds from request to complete response, for each answered request of an
    /// organisation that stays below its rate.
    pub latencies_ms: Vec<f64>,
}

impl TrafficStats {
    fn record_wrong(&mut self, text: String) {
        self.wrong += 1;
        if self.wrong_samples.len() < 5 {
            self.wrong_samples.push(text);
        }
    }
}

/// Requests of one organisation to one service at a constant rate.
#[derive(Clone, Debug)]
pub struct RequestStream {
    /// Address of the VM that the caller connects to.
    pub address: SocketAddr,
    /// Organisation that sends the requests.
    pub organisation: &'static str,
    /// Service; its name is the path prefix of its route too.
    pub service: &'static str,
    /// Prefix of idempotency keys; `None` for idempotent routes.
    pub idempotency_prefix: Option<String>,
    /// Requests per second.
    pub rate: f64,
    /// Whether the organisation stays below its rate limit.
    pub within_rate: bool,
    /// How long to send requests.
    pub duration: Duration,
}

/// Sends the requests of a stream at even intervals and checks every response.
pub async fn run(stream: RequestStream, stream_index: usize, stats: Arc<Mutex<TrafficStats>>) {
    let mut caller = Caller::new(stream.address);
    let key = api_key(stream.organisation);
    let start = Instant::now();
    let mut sent = 0_u32;
    while start.elapsed() < stream.duration {
        let due = Duration::from_secs_f64(f64::from(sent) / stream.rate);
        tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
        let target = format!("/{}/{stream_index}-{sent}", stream.service);
        let body = format!("body of {stream_index}-{sent}");
        let mut headers = vec![("papayareel-key", key.as_str())];
        let idempotency_key =
            stream.idempotency_prefix.as_ref().map(|p| format!("{p}{stream_index}-{sent}"));
        if let Some(idempotency_key) = &idempotency_key {
            headers.push(("idempotency-key", idempotency_key));
        }
        let sent_at = Instant::now();
        let response = caller.send(&Method::POST, &target, &headers, body.clone()).await;
        let latency = sent_at.elapsed();
        let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
        match response {
            Ok(response) => {
                check(&mut stats, &response, &target, &body, latency, stream.within_rate)
            }
            Err(error) => stats.record_wrong(format!("{target}: {error:#}")),
        }
        sent += 1;
    }
}

fn check(
    stats: &mut TrafficStats,
    response: &HttpResponse,
    target: &str,
    body: &str,
    latency: Duration,
    within_rate: bool,
) {
    let outcome = response.header("papayareel-outcome");
    let json = response.json();
    if !outcome.is_empty() {
        let kind = json["kind"].as_str().unwrap_or("untyped");
        *stats.refused.entry(format!("{kind} ({outcome})")).or_default() += 1;
        return;
    }
    let path_matches = json["path"].as_str().is_some_and(|path| path == target);
    let digest: String =
        Sha256::digest(body.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    let body_matches = json["sha256"].as_str() == Some(&digest);
    if !response.status.is_success() {
        *stats
            .refused
            .entry(format!("backend status {}", response.status.as_u16()))
            .or_default() += 1;
    } else if path_matches && body_matches {
        stats.answered += 1;
        // Requests above the rate limit wait for tokens, so their latency does not show the fleet's.
        if within_rate {
            stats.latencies_ms.push(latency.as_secs_f64() * 1e3);
        }
    } else {
        stats.record_wrong(format!("{target}: unexpected response {}", truncate(&json)));
    }
}

fn truncate(json: &Value) -> String {
    json.to_string().chars().take(200).collect()
}
