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

/// Time after which a request counts as unanswered. The stand-in answers in about 1 ms here.
const SILENCE: Duration = Duration::from_millis(300);

type Sender = SendRequest<Full<Bytes>>;

async fn start(change: impl FnOnce(&mut Options)) -> Server {
    let mut options = Options {
        median: Duration::from_millis(1),
        p99: Duration::from_millis(2),
        probe_cost: Duration::ZERO,
        ..Options::default()
    };
    change(&mut options);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    serve(listener, options).expect("server")
}

async fn open(server: &Server) -> Sender {
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
    let mut sender = open(server).await;
    let request = Request::get(path).body(Full::default()).expect("request");
    let response = sender.send_request(request).await.expect("response");
    let bytes = response.into_body().collect().await.expect("body").to_bytes();
    serde_json::from_slice(&bytes).expect("JSON")
}

/// Waits for a count that another task raises.
async fn until(server: &Server, count: &str, value: u64) {
    for _ in 0..500 {
        if server.seen(None)["counts"][count] == json!(value) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{count} is not {value}: {}", server.seen(None));
}

/// Guards against an echo that hides what a backend server received.
#[tokio::test]
async fn echo_tells_what_arrived() {
    let server = start(|_| {}).await;
    let mut sender = open(&server).await;
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

/// Guards against an answer "not present" that rests on text that was not kept.
#[tokio::test]
async fn forgotten_text_is_counted() {
    let server = start(|o| o.keep_bytes = 0).await;
    assert!(send(&mut open(&server).await, "/a", &[]).await.is_ok());
    assert_eq!(server.seen(Some("/a"))["forgotten"], json!(2));
}

/// Guards against a gray failure that shows in the health endpoint, and a stall that does not end.
#[tokio::test]
async fn stall_passes_health_checks_and_ends() {
    let server = start(|_| {}).await;
    server.control(json!({"stall": true})).expect("switch");
    let mut sender = open(&server).await;
    let mut stalled = Box::pin(send(&mut sender, "/a", &[]));
    assert!(timeout(SILENCE, &mut stalled).await.is_err());
    assert_eq!(get(&server, "/healthz").await, json!({"healthy": true}));
    assert_eq!(get(&server, "/load").await["busy"], json!(1));
    server.control(json!({"stall": false})).expect("switch");
    assert_eq!(stalled.await.expect("response").status(), StatusCode::OK);
}

/// Guards against refusals that ran, and against work beyond the slots.
#[tokio::test]
async fn full_or_draining_server_does_not_run() {
    let server = start(|o| (o.slots, o.waiting) = (1, 0)).await;
    server.control(json!({"stall": true})).expect("switch");
    let (mut first, mut second) = (open(&server).await, open(&server).await);
    let running = tokio::spawn(async move { send(&mut first, "/a", &[]).await });
    until(&server, "run", 1).await;
    let shed = send(&mut second, "/b", &[]).await.expect("response");
    assert_eq!(shed.headers()["x-not-run"], "shed");
    server.control(json!({"draining": true, "stall": false})).expect("switch");
    drop(shed.into_body().collect().await);
    let drained = send(&mut second, "/c", &[]).await.expect("response");
    assert_eq!(drained.headers()["x-not-run"], "draining");
    assert!(running.await.expect("task").is_ok());
    assert_eq!(server.seen(None)["counts"]["run"], json!(1));
}

/// Guards against cancelled or late work that keeps its slot.
#[tokio::test]
async fn cancellation_and_deadline_free_the_slot() {
    let server = start(|o| o.slots = 1).await;
    server.control(json!({"stall": true})).expect("switch");
    let mut sender = open(&server).await;
    assert!(timeout(SILENCE, send(&mut sender, "/a", &[])).await.is_err());
    drop(sender);
    until(&server, "cancelled", 1).await;
    server.control(json!({"stall": false, "slow_factor": 1e6})).expect("switch");
    let late = [("x-deadline-ms", "50")];
    let expired = send(&mut open(&server).await, "/b", &late).await.expect("response");
    assert_eq!(expired.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(get(&server, "/load").await["busy"], json!(0));
}

/// Guards against a cut body that looks whole, and a streamed body of the wrong size.
#[tokio::test]
async fn bodies_are_streamed_and_cut() {
    let server = start(|_| {}).await;
    let mut sender = open(&server).await;
    let whole = send(&mut sender, "/a?bytes=100000", &[]).await.expect("response");
    assert_eq!(whole.into_body().collect().await.expect("body").to_bytes().len(), 100_000);
    server.control(json!({"cut_body": true})).expect("switch");
    let cut = send(&mut sender, "/a?bytes=100000", &[]).await.expect("response");
    assert!(cut.into_body().collect().await.is_err());
    until(&server, "cancelled", 1).await;
}

/// Guards against a silence that reaches connections opened later.
#[tokio::test]
async fn silence_keeps_new_connections_working() {
    let server = start(|_| {}).await;
    let mut old = open(&server).await;
    assert!(send(&mut old, "/a", &[]).await.is_ok());
    server.control(json!({"silence": true})).expect("switch");
    assert!(timeout(SILENCE, send(&mut old, "/b", &[])).await.is_err());
    assert!(send(&mut open(&server).await, "/c", &[]).await.is_ok());
    assert_eq!(server.seen(Some("/b"))["present"], json!(false));
}

/// Guards against crashes that other requests survive, and a crash that leaves no trace.
#[tokio::test]
async fn crash_word_closes_every_connection() {
    let server = start(|_| {}).await;
    server.control(json!({"crash_word": "poison", "slow_factor": 1e6})).expect("switch");
    let (mut other, mut poison) = (open(&server).await, open(&server).await);
    let running = tokio::spawn(async move { send(&mut other, "/a", &[]).await });
    until(&server, "run", 1).await;
    assert!(send(&mut poison, "/x/poison", &[("x-request-id", "p")]).await.is_err());
    assert!(running.await.expect("task").is_err());
    let seen = server.seen(None);
    assert_eq!((&seen["counts"]["crashes"], &seen["runs"]["p"]), (&json!(1), &json!(1)));
}

/// Guards against switches that are silently ignored, and faults that outlast their time.
#[tokio::test]
async fn switches_are_checked_and_restored() {
    let server = start(|_| {}).await;
    let error = server.control(json!({"stal": true})).expect_err("unknown switch");
    assert!(error.contains("stall_fraction"), "{error}");
    assert!(server.control(json!({"fail_fraction": "half"})).is_err());
    server.control(json!({"fail_fraction": 1.0, "for_ms": 100})).expect("switch");
    let mut sender = open(&server).await;
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

/// Guards against a pause that lets anything through, or that never ends.
#[tokio::test]
async fn pause_holds_everything_back() {
    let server = start(|_| {}).await;
    let begin = Instant::now();
    server.control(json!({"pause_ms": 400})).expect("switch");
    assert_eq!(get(&server, "/healthz").await, json!({"healthy": true}));
    assert!(begin.elapsed() >= Duration::from_millis(400));
}

/// Guards against a connection limit and a cold start that do nothing.
#[tokio::test]
async fn connections_are_limited_and_starts_are_cold() {
    let server = start(|o| {
        o.connections = 1;
        (o.cold_start, o.cold_factor) = (Duration::from_secs(3600), 300.0);
    })
    .await;
    let mut first = open(&server).await;
    let begin = Instant::now();
    assert!(send(&mut first, "/a", &[]).await.is_ok());
    // A service time of 1 ms is far below 100 ms in any draw of this seed.
    assert!(begin.elapsed() >= Duration::from_millis(100), "{:?}", begin.elapsed());
    assert!(send(&mut open(&server).await, "/b", &[]).await.is_err());
}

/// Guards against health and load endpoints that cannot mislead.
#[tokio::test]
async fn health_and_load_lie() {
    let server = start(|_| {}).await;
    let lie = json!({"busy": 9, "queued": 0, "draining": true});
    server.control(json!({"health_lie": false, "load_lie": lie})).expect("switch");
    assert_eq!(get(&server, "/healthz").await, json!({"healthy": false}));
    assert_eq!(get(&server, "/load").await, lie);
    server
        .control(json!({"health_lie": null, "load_lie": null, "lag_ms": 60_000}))
        .expect("switch");
    server.control(json!({"draining": true})).expect("switch");
    assert_eq!(get(&server, "/healthz").await, json!({"healthy": true}));
}

/// Guards against a service time that is not the one asked for. The sample is fixed by its seed.
#[test]
fn service_time_has_median_and_99th_percentile() {
    let times = Options::default().service_time().expect("distribution");
    let mut sample: Vec<f64> = times.sample_iter(StdRng::seed_from_u64(7)).take(50_000).collect();
    sample.sort_by(f64::total_cmp);
    assert!((0.049..0.051).contains(&sample[25_000]), "{}", sample[25_000]);
    assert!((0.24..0.26).contains(&sample[49_500]), "{}", sample[49_500]);
}
