use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY, HttpResponse, gateway_request};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time limit for the end of every request: 3 s of the route, 1 s that the platform allows beyond
/// it, and the start of a VM.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Observations of the callers.
#[derive(Debug, Default)]
pub struct Observations {
    /// Status of each write that got a response, by request id.
    pub writes: HashMap<String, u16>,
    /// Number of requests served.
    pub served: u32,
    /// Number of requests sent.
    pub sent: u32,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// Observations shared by all callers.
pub type SharedObservations = Arc<Mutex<Observations>>;

/// Locks the observations, ignoring poisoning.
pub fn lock(observed: &SharedObservations) -> std::sync::MutexGuard<'_, Observations> {
    observed.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends requests to random VMs until `end`, as one caller.
pub async fn send_requests(
    seed: u64,
    vms: Vec<SocketAddr>,
    end: Instant,
    observed: SharedObservations,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{seed:x}-{number}");
        let vm = vms[random.random_range(0..vms.len())];
        let write = random.random_bool(0.5);
        let (method, path) = match write {
            true => (Method::POST, format!("/write/{id}")),
            false => (Method::GET, format!("/read/{id}")),
        };
        let start = Instant::now();
        let response = gateway_request(vm, method, &path, &id, GATEWAY_KEY);
        let response = tokio::time::timeout(REQUEST_TIMEOUT, response).await;
        record_outcome(&observed, &id, &path, write, start.elapsed(), response);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Outcome of a request: timeout, no response, or a response.
type RequestOutcome = Result<anyhow::Result<HttpResponse>, tokio::time::error::Elapsed>;

fn record_outcome(
    observed: &SharedObservations,
    id: &str,
    path: &str,
    write: bool,
    elapsed: Duration,
    outcome: RequestOutcome,
) {
    let mut observed = lock(observed);
    observed.sent += 1;
    let response = match outcome {
        Err(_) => return observed.violations.push(format!("{id}: not finished after {elapsed:?}")),
        // A closed connection violates no guarantee: the VM may have been killed.
        Ok(Err(_)) => return,
        Ok(Ok(response)) => response,
    };
    let status = response.status.as_u16();
    if write {
        observed.writes.insert(id.to_owned(), status);
    }
    if status == 200 {
        observed.served += 1;
        let matches = response.body == path.as_bytes() && response.header("request-id") == id;
        if !matches || response.header("response-signature").is_empty() {
            observed
                .violations
                .push(format!("{id}: the response belongs to another request or has no signature"));
        }
    }
    if (400..500).contains(&status) && ![408, 421, 429].contains(&status) {
        observed.violations.push(format!("{id}: denied with status {status}"));
    }
}
