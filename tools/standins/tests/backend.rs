//! Tests of the backend server stand-in.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use serde_json::{Value, json};
use standins::Server;
use standins::backend::{Options, serve};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// Time after which a request counts as unanswered; a response takes about 1 ms here.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

type Sender = SendRequest<Full<Bytes>>;

async fn start(change: impl FnOnce(&mut Options)) -> Server {
    let mut options = Options {
        median_time: Duration::from_millis(1),
        p99_time: Duration::from_millis(2),
        probe_delay: Duration::ZERO,
        ..Options::default()
    };
    change(&mut options);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    serve(listener, options).expect("server")
}

async fn connect(server: &Server) -> Sender {
    let stream = TcpStream::connect(server.address()).await.expect("connection");
    let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(connection);
    sender
}

async fn send(
    sender: &mut Sender,
    path: &str,
    headers: &[(&str, &str)],
) -> hyper::Result<Response<Incoming>> {
    sender.ready().await?;
    let mut request = Request::post(path).header("host", "backend");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::from_static(b"abc"));
    sender.send_request(request.body(body).expect("request")).await
}

async fn get(server: &Server, path: &str) -> Value {
    let mut sender = connect(server).await;
    let request = Request::get(path).body(Full::default()).expect("request");
    let response = sender.send_request(request).await.expect("response");
    let bytes = response.into_body().collect().await.expect("body").to_bytes();
    serde_json::from_slice(&bytes).expect("JSON")
}

/// Waits until a count that another task increments has the given value.
async fn wait_for_count(server: &Server, count: &str, value: u64) {
    for _ in 0..500 {
        if server.observed(None)["counts"][count] == json!(value) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{count} is not {value}: {}", server.observed(None));
}

/// Guards against an echo that omits something the backend server received, which would let tests
/// miss a forwarded secret or a second run.
#[tokio::test]
async fn echo_contains_the_received_request() {
    let server = start(|_| {}).await;
    let mut sender = connect(&server).await;
    for runs in 1..=2 {
        let headers = [("idempotency-key", "k1"), ("x-secret", "hush")];
        let response = send(&mut sender, "/a?b=c", &headers).await.expect("response");
        let bytes = response.into_body().collect().await.expect("body").to_bytes();
        let echo: Value = serde_json::from_slice(&bytes).expect("JSON");
        assert_eq!(echo["headers"]["x-secret"], json!(["hush"]));
        assert_eq!((&echo["runs"], &echo["length"]), (&json!(runs), &json!(3)));
        let abc = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
        assert_eq!(echo["sha256"], json!(abc));
    }
    assert_eq!(get(&server, "/seen?text=hush").await["present"], json!(true));
    assert_eq!(get(&server, "/seen?text=husk").await["present"], json!(false));
    assert_eq!(get(&server, "/seen").await["runs"]["k1"], json!(2));
}

/// Guards against the report "not present" about text that the server received but did not keep.
#[tokio::test]
async fn text_that_is_not_kept_is_counted() {
    let server = start(|o| o.max_kept_bytes = 0).await;
    assert!(send(&mut connect(&server).await, "/a", &[]).await.is_ok());
    assert_eq!(server.observed(Some("/a"))["forgotten"], json!(2));
}

/// Guards against a stall that health checks notice, since it would be no gray failure, and against
/// a stall that outlasts its switch.
#[tokio::test]
async fn stalled_server_passes_health_checks_until_the_stall_ends() {
    let server = start(|_| {}).await;
    server.control(json!({"stall": true})).expect("switch");
    let mut sender = connect(&server).await;
    let mut stalled = Box::pin(send(&mut sender, "/a", &[]));
    assert!(timeout(NO_RESPONSE_TIMEOUT, &mut stalled).await.is_err());
    assert_eq!(get(&server, "/healthz").await, json!({"healthy": true}));
    assert_eq!(get(&server, "/load").await["busy"], json!(1));
    server.control(json!({"stall": false})).expect("switch");
    assert_eq!(stalled.await.expect("response").status(), StatusCode::OK);
}

/// Guards against running a refused request, and against running more requests than slots.
#[tokio::test]
async fn full_or_draining_server_does_not_run() {
    let server = start(|o| (o.slots, o.max_queued) = (1, 0)).await;
    server.control(json!({"stall": true})).expect("switch");
    let (mut first, mut second) = (connect(&server).await, connect(&server).await);
    let running = tokio::spawn(async move { send(&mut first, "/a", &[]).await });
    wait_for_count(&server, "run", 1).await;
    let shed = send(&mut second, "/b", &[]).await.expect("response");
    assert_eq!(shed.headers()["x-not-run"], "shed");
    server.control(json!({"draining": true, "stall": false})).expect("switch");
    drop(shed.into_body().collect().await);
    let drained = send(&mut second, "/c", &[]).await.expect("response");
    assert_eq!(drained.headers()["x-not-run"], "draining");
    assert!(running.await.expect("task").is_ok());
    assert_eq!(server.observed(None)["counts"]["run"], json!(1));
}

/// Guards against a slot that stays in use after its request was cancelled or passed its deadline.
#[tokio::test]
async fn cancellation_and_deadline_free_the_slot() {
    let server = start(|o| o.slots = 1).await;
    server.control(json!({"stall": true})).expect("switch");
    let mut sender = connect(&server).await;
    assert!(timeout(NO_RESPONSE_TIMEOUT, send(&mut sender, "/a", &[])).await.is_err());
    drop(sender);
    wait_for_count(&server, "cancelled", 1).await;
    server.control(json!({"stall": false, "slow_factor": 1e6})).expect("switch");
    let late = [("x-deadline-ms", "50")];
    let expired = send(&mut connect(&server).await, "/b", &late).await.expect("response");
    assert_eq!(expired.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(get(&server, "/load").await["busy"], json!(0));
}

/// Guards against a truncated body that looks complete, and a streamed body of the wrong length.
#[tokio::test]
async fn bodies_are_streamed_and_truncated() {
    let server = start(|_| {}).await;
    let mut sender = connect(&server).await;
    let complete = send(&mut sender, "/a?bytes=100000", &[]).await.expect("response");
    assert_eq!(complete.into_body().collect().await.expect("body").to_bytes().len(), 100_000);
    server.control(json!({"cut_body": true})).expect("switch");
    let cut = send(&mut sender, "/a?bytes=100000", &[]).await.expect("response");
    assert!(cut.into_body().collect().await.is_err());
    wait_for_count(&server, "cancelled", 1).await;
}

/// Guards against the switch `silence` affecting connections that were opened later.
#[tokio::test]
async fn silence_affects_only_open_connections() {
    let server = start(|_| {}).await;
    let mut old = connect(&server).await;
    assert!(send(&mut old, "/a", &[]).await.is_ok());
    server.control(json!({"silence": true})).expect("switch");
    assert!(timeout(NO_RESPONSE_TIMEOUT, send(&mut old, "/b", &[])).await.is_err());
    assert!(send(&mut connect(&server).await, "/c", &[]).await.is_ok());
    assert_eq!(server.observed(Some("/b"))["present"], json!(false));
}

/// Guards against requests on other connections surviving a crash, and against a crash that is not
/// counted.
#[tokio::test]
async fn crash_word_closes_every_connection() {
    let server = start(|_| {}).await;
    server.control(json!({"crash_word": "poison", "slow_factor": 1e6})).expect("switch");
    let (mut other, mut poison) = (connect(&server).await, connect(&server).await);
    let running = tokio::spawn(async move { send(&mut other, "/a", &[]).await });
    wait_for_count(&server, "run", 1).await;
    assert!(send(&mut poison, "/x/poison", &[("x-request-id", "p")]).await.is_err());
    assert!(running.await.expect("task").is_err());
    let seen = server.observed(None);
    assert_eq!((&seen["counts"]["crashes"], &seen["runs"]["p"]), (&json!(1), &json!(1)));
}

/// Guards against unknown switches and invalid values that are silently ignored, and against faults
/// that outlast `for_ms`.
#[tokio::test]
async fn switches_are_checked_and_restored() {
    let server = start(|_| {}).await;
    let error = server.control(json!({"stal": true})).expect_err("unknown switch");
    assert!(error.contains("stall_fraction"), "{error}");
    assert!(server.control(json!({"fail_fraction": "half"})).is_err());
    server.control(json!({"fail_fraction": 1.0, "for_ms": 100})).expect("switch");
    let mut sender = connect(&server).await;
    let failed = send(&mut sender, "/a", &[]).await.expect("response");
    assert_eq!(failed.status(), StatusCode::INTERNAL_SERVER_ERROR);
    for _ in 0..500 {
        if get(&server, "/control").await["fail_fraction"] == json!(0.0) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the switch was not restored");
}

/// Guards against a pause that lets requests through, or that never ends.
#[tokio::test]
async fn pause_delays_every_request() {
    let server = start(|_| {}).await;
    let start = Instant::now();
    server.control(json!({"pause_ms": 400})).expect("switch");
    assert_eq!(get(&server, "/healthz").await, json!({"healthy": true}));
    assert!(start.elapsed() >= Duration::from_millis(400));
}

/// Guards against a connection limit and a cold start without effect.
#[tokio::test]
async fn connections_are_limited_and_cold_starts_are_slow() {
    let server = start(|o| {
        o.max_connections = 1;
        (o.cold_start, o.cold_factor) = (Duration::from_secs(3600), 300.0);
    })
    .await;
    let mut first = connect(&server).await;
    let start = Instant::now();
    assert!(send(&mut first, "/a", &[]).await.is_ok());
    // Without the cold start the service time is about 1 ms, far below 100 ms with this seed.
    assert!(start.elapsed() >= Duration::from_millis(100), "{:?}", start.elapsed());
    assert!(send(&mut connect(&server).await, "/b", &[]).await.is_err());
}

/// Guards against health and load endpoints that ignore the switches for false and outdated reports.
#[tokio::test]
async fn health_and_load_reports_can_be_overridden() {
    let server = start(|_| {}).await;
    let false_load = json!({"busy": 9, "queued": 0, "draining": true});
    server.control(json!({"health_lie": false, "load_lie": false_load})).expect("switch");
    assert_eq!(get(&server, "/healthz").await, json!({"healthy": false}));
    assert_eq!(get(&server, "/load").await, false_load);
    server
        .control(json!({"health_lie": null, "load_lie": null, "lag_ms": 60_000}))
        .expect("switch");
    server.control(json!({"draining": true})).expect("switch");
    assert_eq!(get(&server, "/healthz").await, json!({"healthy": true}));
}

/// Guards against service times with another median or 99th percentile than the options ask for.
/// The sample is fixed by its seed.
#[test]
fn service_time_has_median_and_99th_percentile() {
    let times = Options::default().service_time_distribution().expect("distribution");
    let mut sample: Vec<f64> = times.sample_iter(StdRng::seed_from_u64(7)).take(50_000).collect();
    sample.sort_by(f64::total_cmp);
    assert!((0.049..0.051).contains(&sample[25_000]), "{}", sample[25_000]);
    assert!((0.24..0.26).contains(&sample[49_500]), "{}", sample[49_500]);
}
