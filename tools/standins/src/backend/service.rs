use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::{BoxFuture, pending};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::observations::{Observations, RequestCounts};
use super::options::{FaultSwitches, Options, OptionsError};
use super::slots::Slots;
use crate::acceptor::{Acceptor, Connection, lock};
use crate::fault_switches;
use crate::response::{
    Body, BodyContent, ConnectionAborted, HandlerResult, build_response, json_response,
    streamed_body,
};
use crate::server::{Service, query_parameter};

/// Header with the reason why a request was not run.
const NOT_RUN_HEADER: &str = "x-not-run";

/// State and request handling of a backend server.
pub(crate) struct BackendService {
    options: Options,
    service_times: LogNormal<f64>,
    rng: Mutex<StdRng>,
    switches: watch::Sender<FaultSwitches>,
    acceptor: Arc<Acceptor>,
    slots: Arc<Slots>,
    observations: Arc<Mutex<Observations>>,
    timing: Mutex<Timing>,
}

struct Timing {
    started_at: Instant,
    paused_until: Instant,
    silenced_at: Option<Instant>,
}

/// Random numbers of one request. All of them are drawn for every request, so that a fault switch
/// does not change the numbers of later requests.
struct RandomDraws {
    fail: f64,
    stall: f64,
    service_time_s: f64,
}

/// Counts a request as cancelled when dropped, unless `finish` was called.
struct CancellationCounter(Option<Arc<Mutex<Observations>>>);

impl CancellationCounter {
    fn finish(mut self, count: impl FnOnce(&mut RequestCounts)) {
        if let Some(observations) = self.0.take() {
            count(&mut lock(&observations).counts);
        }
    }
}

impl Drop for CancellationCounter {
    fn drop(&mut self) {
        if let Some(observations) = self.0.take() {
            lock(&observations).counts.cancelled += 1;
        }
    }
}

impl BackendService {
    pub(crate) fn new(options: Options, acceptor: Arc<Acceptor>) -> Result<Self, OptionsError> {
        if !(1..=100_000).contains(&options.slots) {
            return Err(OptionsError::InvalidSlots);
        }
        let now = Instant::now();
        Ok(BackendService {
            service_times: options.service_time_distribution()?,
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            switches: watch::channel(FaultSwitches::default()).0,
            acceptor,
            slots: Arc::new(Slots::new(options.slots, options.max_queued)),
            observations: Arc::default(),
            timing: Mutex::new(Timing { started_at: now, paused_until: now, silenced_at: None }),
            options,
        })
    }

    fn draw(&self) -> RandomDraws {
        let mut rng = lock(&self.rng);
        RandomDraws {
            fail: rng.random(),
            stall: rng.random(),
            service_time_s: self.service_times.sample(&mut *rng),
        }
    }

    /// Waits while the server is paused; never returns on a silenced connection.
    async fn wait_while_paused(&self, connection: &Connection) {
        loop {
            let (paused_until, silenced_at) = {
                let timing = lock(&self.timing);
                (timing.paused_until, timing.silenced_at)
            };
            if silenced_at.is_some_and(|at| connection.opened_at <= at) {
                pending::<()>().await;
            }
            if Instant::now() >= paused_until {
                return;
            }
            sleep_until(paused_until).await;
        }
    }

    async fn respond_to_probe(&self, path: &str) -> HandlerResult {
        sleep(self.options.probe_delay).await;
        lock(&self.observations).counts.probes += 1;
        let switches = self.switches.borrow().clone();
        let load = self.slots.load_at(Duration::from_millis(switches.lag_ms));
        if path == "/load" {
            return json_response(StatusCode::OK, &switches.load_lie.unwrap_or(load));
        }
        let healthy = switches.health_lie.unwrap_or(!load.draining);
        let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json_response(status, &json!({"healthy": healthy}))
    }

    fn not_run_response(&self, reason: &'static str) -> HandlerResult {
        let body = json!({"id": self.options.id, "not_run": reason});
        let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &body)?;
        response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static(reason));
        Ok(response)
    }

    fn crash(&self) {
        lock(&self.observations).counts.crashes += 1;
        if self.options.exit_on_crash {
            std::process::exit(70);
        }
        lock(&self.timing).started_at = Instant::now();
        self.acceptor.close_all();
    }

    /// Returns the service time of a request that begins now.
    fn service_time(&self, draws: &RandomDraws) -> Duration {
        let age = lock(&self.timing).started_at.elapsed();
        let cold_factor = if age < self.options.cold_start {
            let remaining = 1.0 - age.as_secs_f64() / self.options.cold_start.as_secs_f64();
            1.0 + (self.options.cold_factor - 1.0) * remaining
        } else {
            1.0
        };
        let seconds = draws.service_time_s * cold_factor * self.switches.borrow().slow_factor;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Waits until the request is no longer stalled by a fault switch.
    async fn wait_while_stalled(&self, draws: &RandomDraws) {
        let mut switches = self.switches.subscribe();
        let is_stalled = |s: &FaultSwitches| s.stall || draws.stall < s.stall_fraction;
        let ended = switches.wait_for(|switches| !is_stalled(switches)).await;
        drop(ended);
    }

    async fn run_request(
        &self,
        connection: &Connection,
        head: Parts,
        body: Bytes,
    ) -> HandlerResult {
        let counter = CancellationCounter(Some(self.observations.clone()));
        if self.switches.borrow().draining {
            counter.finish(|counts| counts.drained += 1);
            return self.not_run_response("draining");
        }
        let deadline = parse_deadline(&head);
        let Some(slot) = self.slots.acquire(deadline).await else {
            counter.finish(|counts| counts.shed += 1);
            return self.not_run_response("shed");
        };
        let draws = self.draw();
        let runs = self.count_run(&head);
        let crash_word = self.switches.borrow().crash_word.clone();
        if crash_word.is_some_and(|word| head.uri.path().contains(&word)) {
            self.crash();
            return Err(ConnectionAborted);
        }
        if draws.fail < self.switches.borrow().fail_fraction {
            counter.finish(|counts| counts.failed += 1);
            let error =
                json!({"id": self.options.id, "error": "failed by the fault switch fail_fraction"});
            return json_response(StatusCode::INTERNAL_SERVER_ERROR, &error);
        }
        self.wait_while_stalled(&draws).await;
        let work = sleep(self.service_time(&draws));
        let in_time = match deadline {
            Some(deadline) => timeout_at(deadline, work).await.is_ok(),
            None => {
                work.await;
                true
            }
        };
        self.wait_while_paused(connection).await;
        if !in_time {
            counter.finish(|counts| counts.expired += 1);
            let error = json!({"id": self.options.id, "error": "the deadline has passed"});
            return json_response(StatusCode::GATEWAY_TIMEOUT, &error);
        }
        let content = match query_parameter(&head.uri, "bytes").and_then(|bytes| bytes.parse().ok())
        {
            Some(length) => BodyContent::Pattern(length),
            None => BodyContent::Bytes(self.encode_echo(&head, &body, runs)?),
        };
        Ok(self.stream_response(content, (counter, slot)))
    }

    fn stream_response<S: Send + 'static>(
        &self,
        content: BodyContent,
        guard: (CancellationCounter, S),
    ) -> Response<Body> {
        let length = content.len();
        let sent = if self.switches.borrow().cut_body { length / 2 } else { length };
        let body =
            streamed_body(content, sent, guard, |(counter, slot): (CancellationCounter, S)| {
                drop(slot);
                counter.finish(|counts| counts.answered += 1);
            });
        let mut response = build_response(StatusCode::OK, body);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    /// Counts a run. Returns how often this request has run, or 0 if it has no key and no id.
    fn count_run(&self, head: &Parts) -> u64 {
        let mut observations = lock(&self.observations);
        observations.counts.run += 1;
        let id = head.headers.get("idempotency-key").or_else(|| head.headers.get("x-request-id"));
        let Some(id) = id.and_then(|id| id.to_str().ok()) else { return 0 };
        let runs = observations.runs.entry(id.into()).or_default();
        *runs += 1;
        *runs
    }

    fn encode_echo(
        &self,
        head: &Parts,
        body: &[u8],
        runs: u64,
    ) -> Result<Bytes, ConnectionAborted> {
        let mut headers: Map<String, Value> = Map::new();
        for (name, value) in &head.headers {
            let value = json!(String::from_utf8_lossy(value.as_bytes()));
            match headers.get_mut(name.as_str()) {
                Some(Value::Array(values)) => values.push(value),
                _ => drop(headers.insert(name.to_string(), json!([value]))),
            }
        }
        let digest: String =
            Sha256::digest(body).iter().map(|byte| format!("{byte:02x}")).collect();
        let echo = json!({
            "id": self.options.id,
            "method": head.method.as_str(),
            "path": head.uri.path(),
            "query": head.uri.query(),
            "headers": headers,
            "length": body.len(),
            "sha256": digest,
            "runs": runs,
        });
        serde_json::to_vec(&echo).map(Bytes::from).map_err(|_| ConnectionAborted)
    }

    async fn handle_request(
        &self,
        connection: &Connection,
        request: Request<Incoming>,
    ) -> HandlerResult {
        let earlier_requests = connection.request_count.fetch_add(1, Ordering::Relaxed);
        self.wait_while_paused(connection).await;
        if earlier_requests == 0 {
            sleep(self.options.connect_delay).await;
        }
        let (head, body) = request.into_parts();
        {
            let mut observations = lock(&self.observations);
            observations.counts.received += 1;
            observations.record(format_head(&head), self.options.max_kept_bytes);
        }
        if matches!(head.uri.path(), "/healthz" | "/load") {
            return self.respond_to_probe(head.uri.path()).await;
        }
        let body = body.collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
        if !body.is_empty() {
            lock(&self.observations).record(body.to_vec(), self.options.max_kept_bytes);
        }
        self.run_request(connection, head, body).await
    }
}

/// Returns the deadline of a request, if its head has one.
fn parse_deadline(head: &Parts) -> Option<Instant> {
    let millis = head.headers.get("x-deadline-ms")?.to_str().ok()?.parse().ok()?;
    Instant::now().checked_add(Duration::from_millis(millis))
}

fn format_head(head: &Parts) -> Vec<u8> {
    let mut text = format!("{} {}\n", head.method, head.uri).into_bytes();
    for (name, value) in &head.headers {
        text.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\n"].concat());
    }
    text
}

impl Service for BackendService {
    fn handle(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, HandlerResult> {
        async move { self.handle_request(&connection, request).await }.boxed()
    }

    fn control(&self, mut patch: Map<String, Value>) -> Result<Map<String, Value>, String> {
        let pause: Option<u64> = fault_switches::take(&mut patch, "pause_ms")?;
        let silence: Option<bool> = fault_switches::take(&mut patch, "silence")?;
        let crash: Option<bool> = fault_switches::take(&mut patch, "crash")?;
        let (former, switches) = fault_switches::apply_watched(&self.switches, patch)?;
        let now = Instant::now();
        if let Some(millis) = pause {
            lock(&self.timing).paused_until = now + Duration::from_millis(millis);
        }
        if silence == Some(true) {
            lock(&self.timing).silenced_at = Some(now);
        }
        if self.slots.load_at(Duration::ZERO).draining != switches.draining {
            self.slots.change(|load| load.draining = switches.draining);
        }
        self.acceptor.set_refusing(switches.refuse);
        if crash == Some(true) {
            self.crash();
        }
        Ok(former)
    }

    fn fault_switches(&self) -> Value {
        json!(*self.switches.borrow())
    }

    fn observed(&self, text: Option<&str>) -> Value {
        let observations = lock(&self.observations);
        let (open, opened) = self.acceptor.connection_counts();
        json!({
            "id": self.options.id,
            "counts": observations.counts,
            "runs": observations.runs,
            "forgotten": observations.skipped(),
            "present": text.map(|text| observations.contains(text)),
            "connections": open,
            "connections_opened": opened,
            "load": self.slots.load_at(Duration::ZERO),
        })
    }
}
