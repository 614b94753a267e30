use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use harness::{Caller, GATEWAY_KEY, HttpResponse, gateway_request_on};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time beyond a request's deadline within which it must end: 1 s that the platform allows, and the
/// start of a VM.
const MAX_LATENESS: Duration = Duration::from_secs(3);

/// A request whose connection ended without a response.
#[derive(Clone, Debug)]
pub struct CutRequest {
    /// Request id.
    pub id: String,
    /// VM that it was sent to.
    pub vm: SocketAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the connection ended.
    pub ended_at: Instant,
}

/// Observations of the callers.
#[derive(Debug, Default)]
pub struct Observations {
    /// Status of each write that got a response, by request id.
    pub writes: HashMap<String, u16>,
    /// Number of requests served.
    pub served: u32,
    /// Number of requests sent.
    pub sent: u32,
    /// Requests that ended without a response.
    pub cut: Vec<CutRequest>,
    /// VMs that were killed or paused, from when to when.
    pub disrupted: Vec<(SocketAddr, Instant, Instant)>,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl Observations {
    /// Whether a VM was killed or paused while a request was on its way.
    pub fn is_excused(&self, cut: &CutRequest) -> bool {
        let overlaps = |from: Instant, to: Instant| from <= cut.ended_at && cut.sent_at <= to;
        self.disrupted.iter().any(|(vm, from, to)| *vm == cut.vm && overlaps(*from, *to))
    }
}

/// Observations shared by all callers.
pub type SharedObservations = Arc<Mutex<Observations>>;

/// Locks the observations, ignoring poisoning.
pub fn lock(observed: &SharedObservations) -> std::sync::MutexGuard<'_, Observations> {
    observed.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request to send.
struct Request {
    id: String,
    method: Method,
    path: String,
    deadline_ms: u32,
}

/// Draws a request: reads and writes of up to 2.8 s, and long reads of up to 5.5 s. Most are short.
fn draw_request(random: &mut SmallRng, id: String) -> Request {
    let work_ms = match random.random_range(0..10) {
        0..7 => random.random_range(5..50),
        7..9 => random.random_range(300..1500),
        _ => random.random_range(2000..2800),
    };
    let (method, route, work_ms, deadline_ms) = match random.random_range(0..5) {
        0..2 => (Method::POST, "write", work_ms, 4000),
        2..4 => (Method::GET, "read", work_ms, 4000),
        _ => (Method::GET, "long", 2 * work_ms.min(2750), 10_000),
    };
    let path = format!("/{route}/work-{work_ms}/{id}");
    Request { id, method, path, deadline_ms }
}

/// Sends requests to random VMs until `end`, as one caller. A connection is used until the VM
/// closes it.
pub async fn send_requests(
    seed: u64,
    vms: Vec<SocketAddr>,
    end: Instant,
    observed: SharedObservations,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut callers: HashMap<SocketAddr, Caller> = HashMap::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let request = draw_request(&mut random, format!("{seed:x}-{number}"));
        let vm = vms[random.random_range(0..vms.len())];
        let caller = callers.entry(vm).or_insert_with(|| Caller::new(vm));
        let Request { id, method, path, deadline_ms } = &request;
        let sent_at = Instant::now();
        let send = gateway_request_on(caller, method.clone(), path, id, GATEWAY_KEY, *deadline_ms);
        let limit = Duration::from_millis(u64::from(*deadline_ms)) + MAX_LATENESS;
        match tokio::time::timeout(limit, send).await {
            Err(_) => {
                let message = format!("{id}: not finished after {:?}", sent_at.elapsed());
                lock(&observed).violations.push(message);
            }
            Ok(Err(_)) => {
                let id = id.clone();
                lock(&observed).cut.push(CutRequest { id, vm, sent_at, ended_at: Instant::now() });
            }
            Ok(Ok(response)) => record_response(&observed, &request, &response),
        }
        lock(&observed).sent += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

fn record_response(observed: &SharedObservations, request: &Request, response: &HttpResponse) {
    let mut observed = lock(observed);
    let (id, status) = (&request.id, response.status.as_u16());
    if request.method == Method::POST {
        observed.writes.insert(id.clone(), status);
    }
    if status == 200 {
        observed.served += 1;
        let matches =
            response.body == request.path.as_bytes() && response.header("request-id") == id;
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
