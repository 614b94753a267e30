use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::connection::{BatchResult, Connection, Exchange};
use crate::request::{Batch, Request, draw_batch};
use crate::response::Response;

/// Pause between two batches of a caller.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Time after the last byte of a request within which the VM may close the connection without
/// having read it.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Time after SIGTERM that counts as planned work: until 1 s after the grace period of 6 s.
const STOP_WINDOW: Duration = Duration::from_secs(7);
/// Time after SIGHUP in which a request is sent that counts as around planned work.
const RELOAD_WINDOW: Duration = Duration::from_secs(2);

/// A request whose connection ended without a response.
#[derive(Clone, Debug)]
pub struct CutRequest {
    /// Request id.
    pub id: String,
    /// VM that it was sent to.
    pub vm: SocketAddr,
    /// When its first byte was sent.
    pub sent_at: Instant,
    /// When its last byte had been sent; `None` if it was not.
    pub written_at: Option<Instant>,
    /// When the connection ended.
    pub ended_at: Instant,
    /// How the request before it on the connection ended, if that is known.
    pub behind: String,
}

impl CutRequest {
    /// Whether the VM had the time to read the whole request before it closed the connection.
    pub fn is_late(&self) -> bool {
        self.written_at.is_some_and(|at| at + CROSSING_TIME < self.ended_at)
    }
}

/// A failure that a VM gave as an answer of its own.
#[derive(Clone, Debug)]
pub struct OwnAnswer {
    /// Request id.
    pub id: String,
    /// VM that gave it.
    pub vm: SocketAddr,
    /// Status and kind of refusal.
    pub reason: String,
    /// When the first byte of the request was sent.
    pub sent_at: Instant,
    /// When the answer was read.
    pub answered_at: Instant,
    /// Time that the caller and the route allowed.
    pub budget: Duration,
}

/// Observations of the callers.
#[derive(Debug, Default)]
pub struct Observations {
    /// Status of each write that was sent, by request id; 0 if it got no response.
    pub writes: HashMap<String, u16>,
    /// Number of requests served.
    pub served: u32,
    /// Number of requests sent, or attempted on a connection that was refused.
    pub sent: u32,
    /// Number of requests by how they ended.
    pub reasons: BTreeMap<String, u32>,
    /// Requests that ended without a response.
    pub cut: Vec<CutRequest>,
    /// Failures that VMs gave in place of a backend server's answer.
    pub own_answers: Vec<OwnAnswer>,
    /// Requests sent behind one whose response said that the connection ends.
    pub behind_close: Vec<String>,
    /// VMs that were killed or paused, from when to when.
    pub disrupted: Vec<(SocketAddr, Instant, Instant)>,
    /// VMs that got SIGTERM, and when.
    pub stopped: Vec<(SocketAddr, Instant)>,
    /// VMs that got SIGHUP, and when.
    pub reloaded: Vec<(SocketAddr, Instant)>,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl Observations {
    /// Whether a VM was killed or paused while a request was on its way.
    pub fn is_excused(&self, cut: &CutRequest) -> bool {
        let overlaps = |from: Instant, to: Instant| from <= cut.ended_at && cut.sent_at <= to;
        self.disrupted.iter().any(|(vm, from, to)| *vm == cut.vm && overlaps(*from, *to))
    }

    /// Whether a request was cut around a stop or a reload of its VM, with no kill or pause of the
    /// VM since then.
    pub fn is_around_planned_work(&self, cut: &CutRequest) -> bool {
        let is_calm_since = |at: Instant| {
            let disrupted = |(vm, from, to): &(SocketAddr, Instant, Instant)| {
                *vm == cut.vm && *to >= at && *from <= cut.ended_at
            };
            !self.disrupted.iter().any(disrupted)
        };
        let counts = |work: &[(SocketAddr, Instant)], window: Duration| {
            let mut times = work.iter().filter(|(vm, _)| *vm == cut.vm).map(|(_, at)| *at);
            times.any(|at| at <= cut.ended_at && cut.sent_at <= at + window && is_calm_since(at))
        };
        counts(&self.stopped, STOP_WINDOW) || counts(&self.reloaded, RELOAD_WINDOW)
    }

    /// Time since the last SIGTERM of a VM before `at`, for messages.
    pub fn time_since_stop(&self, vm: SocketAddr, at: Instant) -> Option<Duration> {
        let stops = self.stopped.iter().filter(|(stopped, since)| *stopped == vm && *since <= at);
        stops.map(|(_, since)| at - *since).min()
    }

    fn count(&mut self, reason: impl Into<String>) {
        self.sent += 1;
        *self.reasons.entry(reason.into()).or_default() += 1;
    }
}

/// Observations shared by all callers.
pub type SharedObservations = Arc<Mutex<Observations>>;

/// Locks the observations, ignoring poisoning.
pub fn lock(observed: &SharedObservations) -> std::sync::MutexGuard<'_, Observations> {
    observed.lock().unwrap_or_else(PoisonError::into_inner)
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
    let mut connections: HashMap<SocketAddr, Connection> = HashMap::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let batch = draw_batch(&mut random, &format!("{seed:x}-{number}"));
        let vm = vms[random.random_range(0..vms.len())];
        let connection = match connections.remove(&vm) {
            Some(connection) if !connection.has_ended().await => Ok(connection),
            _ => Connection::open(vm).await,
        };
        match connection {
            Ok(mut connection) => {
                let result = connection.exchange(&batch).await;
                if result.ended_at.is_none()
                    && !result.timed_out
                    && result.exchanges.iter().all(|exchange| exchange.written_at.is_some())
                {
                    connections.insert(vm, connection);
                }
                record_batch(&mut lock(&observed), vm, &batch, result);
            }
            Err(error) => {
                let reason = match error.kind() {
                    io::ErrorKind::ConnectionRefused => "connect refused",
                    _ => "connect failed",
                };
                lock(&observed).count(reason);
            }
        }
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
}

fn record_batch(observed: &mut Observations, vm: SocketAddr, batch: &Batch, result: BatchResult) {
    observed.violations.extend(result.violations);
    let mut behind = String::new();
    for (request, exchange) in batch.requests.iter().zip(result.exchanges) {
        let Exchange { sent_at, written_at, answer } = exchange;
        let Some(sent_at) = sent_at else {
            if answer.is_some() {
                let message = format!("{}: answered before it was sent", request.id);
                observed.violations.push(message);
            }
            continue;
        };
        if request.is_write {
            let status = answer.as_ref().map_or(0, |(response, _)| response.status);
            observed.writes.insert(request.id.clone(), status);
        }
        if let Some((response, answered_at)) = answer {
            let reason = record_response(observed, request, &response);
            let method = if request.is_write { "POST" } else { "GET" };
            let closes = if response.closes { ", closes" } else { "" };
            behind = format!("{method} {reason}{closes}");
            observed.count(reason.clone());
            if response.signature.is_empty() && response.status != 200 {
                observed.own_answers.push(OwnAnswer {
                    id: request.id.clone(),
                    vm,
                    reason,
                    sent_at,
                    answered_at,
                    budget: request.budget,
                });
            }
            continue;
        }
        if result.closes {
            observed.behind_close.push(request.id.clone());
        }
        let Some(ended_at) = result.ended_at else {
            observed.count("not finished");
            continue;
        };
        let cut = CutRequest {
            id: request.id.clone(),
            vm,
            sent_at,
            written_at,
            ended_at,
            behind: behind.clone(),
        };
        let reason = match written_at {
            None => "closed before the last byte",
            Some(_) if cut.is_late() => "closed",
            Some(_) => "closed within 200 ms",
        };
        if cut.behind.is_empty() {
            observed.count(reason);
        } else {
            observed.count(format!("{reason}, behind {}", cut.behind));
        }
        observed.cut.push(cut);
    }
}

/// Checks a response; returns how the request ended.
fn record_response(observed: &mut Observations, request: &Request, response: &Response) -> String {
    let (id, status) = (&request.id, response.status);
    if response.id != *id {
        let message = format!("{id}: the response {status} has the request id {:?}", response.id);
        observed.violations.push(message);
    }
    if status == 200 {
        observed.served += 1;
        // The stand-in signs with its id and the size of the body that it received.
        let signed = response.signature.ends_with(&format!(".{}", request.body_bytes));
        if response.body != request.path.as_bytes() || !signed {
            observed.violations.push(format!(
                "{id}: the response belongs to another request or body, or has no signature"
            ));
        }
        return "served".to_owned();
    }
    if (400..500).contains(&status) && ![408, 421, 429].contains(&status) {
        observed.violations.push(format!("{id}: denied with status {status}"));
    }
    if response.signature.is_empty() {
        format!("{status} {}", response.refusal_kind())
    } else {
        format!("{status} of a backend server")
    }
}
