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

use super::ledger::{Counts, Ledger};
use super::options::{Options, OptionsError, Switches};
use super::slots::Slots;
use crate::door::{Connection, Door, lock};
use crate::reply::{Body, Content, Hangup, Reply, json, response, streamed};
use crate::server::{Service, query};
use crate::switch;

/// Names the reason why a request was not run.
const NOT_RUN: &str = "x-not-run";

/// The work of a backend server.
pub(crate) struct Work {
    options: Options,
    time: LogNormal<f64>,
    rng: Mutex<StdRng>,
    switches: watch::Sender<Switches>,
    door: Arc<Door>,
    slots: Arc<Slots>,
    ledger: Arc<Mutex<Ledger>>,
    times: Mutex<Times>,
}

struct Times {
    boot: Instant,
    paused_until: Instant,
    silent_before: Option<Instant>,
}

/// Random choices for one request. All are drawn for each request, so that a switch does not shift
/// the choices of later requests.
struct Draw {
    fail: f64,
    stall: f64,
    time: f64,
}

/// Counts a request as cancelled unless it is ended in another way.
struct Watch(Option<Arc<Mutex<Ledger>>>);

impl Watch {
    fn end(mut self, count: impl FnOnce(&mut Counts)) {
        if let Some(ledger) = self.0.take() {
            count(&mut lock(&ledger).counts);
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(ledger) = self.0.take() {
            lock(&ledger).counts.cancelled += 1;
        }
    }
}

impl Work {
    pub(crate) fn new(options: Options, door: Arc<Door>) -> Result<Self, OptionsError> {
        if !(1..=100_000).contains(&options.slots) {
            return Err(OptionsError::Slots);
        }
        let now = Instant::now();
        Ok(Work {
            time: options.service_time()?,
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            switches: watch::channel(Switches::default()).0,
            door,
            slots: Arc::new(Slots::new(options.slots, options.waiting)),
            ledger: Arc::default(),
            times: Mutex::new(Times { boot: now, paused_until: now, silent_before: None }),
            options,
        })
    }

    fn draw(&self) -> Draw {
        let mut rng = lock(&self.rng);
        Draw { fail: rng.random(), stall: rng.random(), time: self.time.sample(&mut *rng) }
    }

    /// Waits while the process is paused, and forever on a silenced connection.
    async fn awake(&self, connection: &Connection) {
        loop {
            let (paused_until, silent_before) = {
                let times = lock(&self.times);
                (times.paused_until, times.silent_before)
            };
            if silent_before.is_some_and(|before| connection.opened <= before) {
                pending::<()>().await;
            }
            if Instant::now() >= paused_until {
                return;
            }
            sleep_until(paused_until).await;
        }
    }

    async fn probe(&self, path: &str) -> Reply {
        sleep(self.options.probe_cost).await;
        lock(&self.ledger).counts.probes += 1;
        let switches = self.switches.borrow().clone();
        let load = self.slots.load(Duration::from_millis(switches.lag_ms));
        if path == "/load" {
            return json(StatusCode::OK, &switches.load_lie.unwrap_or(load));
        }
        let healthy = switches.health_lie.unwrap_or(!load.draining);
        let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json(status, &json!({"healthy": healthy}))
    }

    fn refuse(&self, reason: &'static str) -> Reply {
        let body = json!({"id": self.options.id, "not_run": reason});
        let mut reply = json(StatusCode::SERVICE_UNAVAILABLE, &body)?;
        reply.headers_mut().insert(NOT_RUN, HeaderValue::from_static(reason));
        Ok(reply)
    }

    fn crash(&self) {
        lock(&self.ledger).counts.crashes += 1;
        if self.options.exit_on_crash {
            std::process::exit(70);
        }
        lock(&self.times).boot = Instant::now();
        self.door.close_all();
    }

    /// Service time of a request that begins now.
    fn service_time(&self, draw: &Draw) -> Duration {
        let age = lock(&self.times).boot.elapsed();
        let cold = if age < self.options.cold_start {
            let left = 1.0 - age.as_secs_f64() / self.options.cold_start.as_secs_f64();
            1.0 + (self.options.cold_factor - 1.0) * left
        } else {
            1.0
        };
        let seconds = draw.time * cold * self.switches.borrow().slow_factor;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Holds a stalled request until its stall is switched off.
    async fn stall(&self, draw: &Draw) {
        let mut switches = self.switches.subscribe();
        let stalls = |s: &Switches| s.stall || draw.stall < s.stall_fraction;
        let ended = switches.wait_for(|switches| !stalls(switches)).await;
        drop(ended);
    }

    async fn run(&self, connection: &Connection, head: Parts, body: Bytes) -> Reply {
        let watch = Watch(Some(self.ledger.clone()));
        if self.switches.borrow().draining {
            watch.end(|counts| counts.drained += 1);
            return self.refuse("draining");
        }
        let by = deadline(&head);
        let Some(slot) = self.slots.enter(by).await else {
            watch.end(|counts| counts.shed += 1);
            return self.refuse("shed");
        };
        let draw = self.draw();
        let runs = self.count_run(&head);
        let word = self.switches.borrow().crash_word.clone();
        if word.is_some_and(|word| head.uri.path().contains(&word)) {
            self.crash();
            return Err(Hangup);
        }
        if draw.fail < self.switches.borrow().fail_fraction {
            watch.end(|counts| counts.failed += 1);
            let error = json!({"id": self.options.id, "error": "failed by a switch"});
            return json(StatusCode::INTERNAL_SERVER_ERROR, &error);
        }
        self.stall(&draw).await;
        let work = sleep(self.service_time(&draw));
        let in_time = match by {
            Some(by) => timeout_at(by, work).await.is_ok(),
            None => {
                work.await;
                true
            }
        };
        self.awake(connection).await;
        if !in_time {
            watch.end(|counts| counts.expired += 1);
            let error = json!({"id": self.options.id, "error": "the deadline has passed"});
            return json(StatusCode::GATEWAY_TIMEOUT, &error);
        }
        let content = match query(&head.uri, "bytes").and_then(|bytes| bytes.parse().ok()) {
            Some(length) => Content::Pattern(length),
            None => Content::Bytes(self.echo(&head, &body, runs)?),
        };
        Ok(self.respond(content, (watch, slot)))
    }

    fn respond<S: Send + 'static>(&self, content: Content, held: (Watch, S)) -> Response<Body> {
        let length = content.len();
        let sent = if self.switches.borrow().cut_body { length / 2 } else { length };
        let body = streamed(content, sent, held, |(watch, slot): (Watch, S)| {
            drop(slot);
            watch.end(|counts| counts.answered += 1);
        });
        let mut reply = response(StatusCode::OK, body);
        let headers = reply.headers_mut();
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        reply
    }

    /// Counts a run; returns how often this request has run, or 0 if it names no key and no id.
    fn count_run(&self, head: &Parts) -> u64 {
        let mut ledger = lock(&self.ledger);
        ledger.counts.run += 1;
        let id = head.headers.get("idempotency-key").or_else(|| head.headers.get("x-request-id"));
        let Some(id) = id.and_then(|id| id.to_str().ok()) else { return 0 };
        let runs = ledger.runs.entry(id.into()).or_default();
        *runs += 1;
        *runs
    }

    fn echo(&self, head: &Parts, body: &[u8], runs: u64) -> Result<Bytes, Hangup> {
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
        serde_json::to_vec(&echo).map(Bytes::from).map_err(|_| Hangup)
    }

    async fn receive(&self, connection: &Connection, request: Request<Incoming>) -> Reply {
        let earlier = connection.requests.fetch_add(1, Ordering::Relaxed);
        self.awake(connection).await;
        if earlier == 0 {
            sleep(self.options.connect_cost).await;
        }
        let (head, body) = request.into_parts();
        {
            let mut ledger = lock(&self.ledger);
            ledger.counts.received += 1;
            ledger.keep(head_text(&head), self.options.keep_bytes);
        }
        if matches!(head.uri.path(), "/healthz" | "/load") {
            return self.probe(head.uri.path()).await;
        }
        let body = body.collect().await.map_err(|_| Hangup)?.to_bytes();
        if !body.is_empty() {
            lock(&self.ledger).keep(body.to_vec(), self.options.keep_bytes);
        }
        self.run(connection, head, body).await
    }
}

/// The deadline that the head names.
fn deadline(head: &Parts) -> Option<Instant> {
    let millis = head.headers.get("x-deadline-ms")?.to_str().ok()?.parse().ok()?;
    Instant::now().checked_add(Duration::from_millis(millis))
}

fn head_text(head: &Parts) -> Vec<u8> {
    let mut text = format!("{} {}\n", head.method, head.uri).into_bytes();
    for (name, value) in &head.headers {
        text.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\n"].concat());
    }
    text
}

impl Service for Work {
    fn answer(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Reply> {
        async move { self.receive(&connection, request).await }.boxed()
    }

    fn control(&self, mut patch: Map<String, Value>) -> Result<Map<String, Value>, String> {
        let pause: Option<u64> = switch::take(&mut patch, "pause_ms")?;
        let silence: Option<bool> = switch::take(&mut patch, "silence")?;
        let crash: Option<bool> = switch::take(&mut patch, "crash")?;
        let (former, switches) = switch::apply_watched(&self.switches, patch)?;
        let now = Instant::now();
        if let Some(millis) = pause {
            lock(&self.times).paused_until = now + Duration::from_millis(millis);
        }
        if silence == Some(true) {
            lock(&self.times).silent_before = Some(now);
        }
        if self.slots.load(Duration::ZERO).draining != switches.draining {
            self.slots.change(|load| load.draining = switches.draining);
        }
        self.door.refuse(switches.refuse);
        if crash == Some(true) {
            self.crash();
        }
        Ok(former)
    }

    fn switches(&self) -> Value {
        json!(*self.switches.borrow())
    }

    fn seen(&self, text: Option<&str>) -> Value {
        let ledger = lock(&self.ledger);
        let (open, opened) = self.door.counts();
        json!({
            "id": self.options.id,
            "counts": ledger.counts,
            "runs": ledger.runs,
            "forgotten": ledger.forgotten(),
            "present": text.map(|text| ledger.contains(text)),
            "connections": open,
            "connections_opened": opened,
            "load": self.slots.load(Duration::ZERO),
        })
    }
}
