use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY, HttpResponse, gateway_request};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(25);
/// Time within which every request must have its end: the route's time, the second that the
/// platform allows beyond, and a start.
const LONGEST: Duration = Duration::from_secs(6);

/// What callers saw, by request id.
#[derive(Debug, Default)]
pub struct Seen {
    /// Status of writes that had an answer.
    pub writes: HashMap<String, u16>,
    /// Requests that were served.
    pub served: u32,
    /// Requests in all.
    pub sent: u32,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// What all callers saw.
pub type Shared = Arc<Mutex<Seen>>;

/// Locks what callers saw.
pub fn lock(seen: &Shared) -> std::sync::MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One caller that sends requests to random VMs until `until`.
pub async fn call(seed: u64, vms: Vec<SocketAddr>, until: Instant, seen: Shared) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("{seed:x}-{number}");
        let vm = vms[random.random_range(0..vms.len())];
        let write = random.random_bool(0.5);
        let (method, path) = match write {
            true => (Method::POST, format!("/write/{id}")),
            false => (Method::GET, format!("/read/{id}")),
        };
        let start = Instant::now();
        let reply = gateway_request(vm, method, &path, &id, GATEWAY_KEY);
        let reply = tokio::time::timeout(LONGEST, reply).await;
        note(&seen, &id, &path, write, start.elapsed(), reply);
        tokio::time::sleep(PAUSE).await;
    }
}

/// How a request ended for its caller: no end in time, no answer, or an answer.
type Ended = Result<anyhow::Result<HttpResponse>, tokio::time::error::Elapsed>;

fn note(seen: &Shared, id: &str, path: &str, write: bool, took: Duration, ended: Ended) {
    let mut seen = lock(seen);
    seen.sent += 1;
    let reply = match ended {
        Err(_) => return seen.violations.push(format!("{id}: no end after {took:?}")),
        // A connection that ends promises nothing: the VM may have been killed.
        Ok(Err(_)) => return,
        Ok(Ok(reply)) => reply,
    };
    let status = reply.status.as_u16();
    if write {
        seen.writes.insert(id.to_owned(), status);
    }
    if status == 200 {
        seen.served += 1;
        let own = reply.body == path.as_bytes() && reply.header("request-id") == id;
        if !own || reply.header("response-signature").is_empty() {
            seen.violations.push(format!("{id}: an answer that is not its own"));
        }
    }
    if (400..500).contains(&status) && ![408, 421, 429].contains(&status) {
        seen.violations.push(format!("{id}: denied with {status}"));
    }
}
