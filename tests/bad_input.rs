//! Guards against invalid requests that get a wrong status or a message without a remedy, that run
//! although they are refused, or that disturb other callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::{Context, ensure};
use config::{Change, digest_key};
use harness::{
    Caller, Fleet, HttpResponse, KEY, KEY_TO_WITHDRAW, Programs, RESTRICTED_KEY, ResponseKind,
    sample_layout,
};
use http::{HeaderMap, HeaderName, Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// Serializes the tests, since each fleet has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());
/// Every refusal message contains one of these words, because it says what the caller can do.
const REMEDY_WORDS: &[&str] =
    &["send", "check", "ask", "allow", "use", "retry", "append", "must be"];
/// Timeout for a response on a raw connection.
const RAW_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of requests of the valid caller.
const MAX_VALID_REQUESTS: usize = 50_000;

/// A fleet with a caller that sends valid requests, which must all be served.
struct TestFleet {
    fleet: Fleet,
    ended: Arc<AtomicBool>,
    valid_caller: JoinHandle<anyhow::Result<usize>>,
}

impl TestFleet {
    async fn start() -> anyhow::Result<TestFleet> {
        let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
        let mut shape = sample_layout(2);
        shape.settings["limits"] = serde_json::json!({
            "head_bytes": 8192, "body_bytes": 100_000, "head_timeout_ms": 1000,
        });
        let fleet = Fleet::start(programs, shape).await?;
        fleet.apply_sample_config().await?;
        let ended = Arc::new(AtomicBool::new(false));
        let valid_caller = tokio::spawn(send_valid(fleet.caller_address(0), Arc::clone(&ended)));
        Ok(TestFleet { fleet, ended, valid_caller })
    }

    async fn end(self) -> anyhow::Result<()> {
        self.ended.store(true, Ordering::Relaxed);
        let sent = self.valid_caller.await??;
        ensure!(sent > 0, "the valid caller sent nothing");
        // Refused with not-run: no request with this mark may have reached a backend server.
        ensure!(
            !self.fleet.any_received("bad-input").await?,
            "a backend server received a refused request"
        );
        Ok(())
    }
}

/// Sends valid requests on one connection; each must get the complete response of a backend server.
async fn send_valid(address: SocketAddr, ended: Arc<AtomicBool>) -> anyhow::Result<usize> {
    let mut caller = Caller::new(address);
    for i in 0..MAX_VALID_REQUESTS {
        if ended.load(Ordering::Relaxed) {
            return Ok(i);
        }
        let (target, body) = (format!("/manus/good-{i}"), format!("good {i}"));
        let headers = [("papayareel-key", KEY)];
        let reply = caller.send(&Method::POST, &target, &headers, body.clone()).await?;
        let verdict = ResponseKind::classify(&reply, &target, body.as_bytes());
        ensure!(verdict == ResponseKind::Complete, "the valid caller got {verdict:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(MAX_VALID_REQUESTS)
}

fn check_refusal(case: &str, reply: &HttpResponse, status: u16, kind: &str) -> anyhow::Result<()> {
    let json = reply.json();
    let found = format!("{case}: {} {:?} {json}", reply.status, reply.headers);
    ensure!(reply.status.as_u16() == status, "expected status {status}, got {found}");
    ensure!(json["kind"] == kind, "expected kind {kind}, got {found}");
    ensure!(
        reply.header("papayareel-outcome") == "not-run",
        "expected outcome not-run, got {found}"
    );
    let message = json["message"].as_str().unwrap_or_default();
    ensure!(
        REMEDY_WORDS.iter().any(|word| message.contains(word)),
        "the message names no remedy: {found}"
    );
    Ok(())
}

/// Sends bytes on a new connection and reads the response until the VM closes the connection.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> anyhow::Result<HttpResponse> {
    let mut stream = TcpStream::connect(address).await?;
    // The write may fail, since the VM may respond and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = async {
        let mut buffer = [0; 4096];
        while let Ok(length) = stream.read(&mut buffer).await {
            if length == 0 {
                return;
            }
            response.extend_from_slice(&buffer[..length]);
        }
    };
    tokio::time::timeout(RAW_TIMEOUT, read).await.context("the connection was not closed")?;
    parse_response(&response)
}

fn parse_response(response: &[u8]) -> anyhow::Result<HttpResponse> {
    let text = String::from_utf8_lossy(response);
    let (head, body) = text
        .split_once("\r\n\r\n")
        .with_context(|| format!("closed without a complete response, got {text:?}"))?;
    let mut lines = head.lines();
    let status = lines.next().and_then(|l| l.split(' ').nth(1)).context("no status")?;
    let mut headers = HeaderMap::new();
    for line in lines {
        let (name, value) = line.split_once(':').context("a header without a colon")?;
        headers.insert(HeaderName::try_from(name)?, value.trim().parse()?);
    }
    let body = body.to_owned().into();
    Ok(HttpResponse { status: StatusCode::try_from(status)?, headers, body })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_are_refused_with_kind_and_remedy() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let test = TestFleet::start().await?;
    let address = test.fleet.caller_address(0);
    let (key, other) = (("papayareel-key", KEY), ("papayareel-key", RESTRICTED_KEY));
    let unknown = ("papayareel-key", "papk-nobody-has-this");
    let long = "x".repeat(300);
    type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], u16, &'a str);
    let cases: &[Case] = &[
        ("no key", "/manus/bad-input", &[], 401, "key-missing"),
        ("unknown key", "/manus/bad-input", &[unknown], 401, "key-unknown"),
        ("empty key", "/manus/bad-input", &[("papayareel-key", "")], 401, "key-unknown"),
        ("foreign key", "/sluten/bad-input", &[other], 403, "key-foreign"),
        ("no route", "/bad-input", &[key], 404, "route-unknown"),
        ("half a segment", "/manusbad-input", &[key], 404, "route-unknown"),
        (
            "unreadable deadline",
            "/manus/bad-input",
            &[key, ("papayareel-deadline-ms", "soon")],
            400,
            "bad-deadline",
        ),
        (
            "deadline of 0",
            "/manus/bad-input",
            &[key, ("papayareel-deadline-ms", "0")],
            504,
            "deadline-passed",
        ),
        (
            "deadline in the past",
            "/manus/bad-input",
            &[key, ("papayareel-deadline-ms", "-5")],
            504,
            "deadline-passed",
        ),
        ("no idempotency key", "/sandning/bad-input", &[key], 400, "idempotency-key-missing"),
        (
            "empty idempotency key",
            "/sandning/bad-input",
            &[key, ("idempotency-key", "")],
            400,
            "idempotency-key-invalid",
        ),
        (
            "long idempotency key",
            "/sandning/bad-input",
            &[key, ("idempotency-key", &long)],
            400,
            "idempotency-key-invalid",
        ),
        (
            "unknown format of the idempotency key",
            "/sandning/bad-input",
            &[key, ("idempotency-key", "v9.1.2.3")],
            400,
            "idempotency-key-invalid",
        ),
        (
            "damaged prefix of the idempotency key",
            "/sandning/bad-input",
            &[key, ("idempotency-key", "v1.zz.2.3")],
            400,
            "idempotency-key-invalid",
        ),
    ];
    let mut caller = Caller::new(address);
    for (case, target, headers, status, kind) in cases {
        let reply = caller.send(&Method::POST, target, headers, "bad-input").await;
        check_refusal(case, &reply.with_context(|| (*case).to_owned())?, *status, kind)?;
    }
    test.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_keys_and_reused_idempotency_keys_are_refused() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let test = TestFleet::start().await?;
    let fleet = &test.fleet;
    let mut caller = Caller::new(fleet.caller_address(1));
    let spare = [("papayareel-key", KEY_TO_WITHDRAW)];
    let reply = caller.send(&Method::POST, "/manus/ok", &spare, "ok").await?;
    ensure!(
        ResponseKind::classify(&reply, "/manus/ok", b"ok") == ResponseKind::Complete,
        "{reply:?}"
    );
    let digest = digest_key(KEY_TO_WITHDRAW.as_bytes());
    let version = fleet.apply(0, vec![Change::WithdrawKey { digest }]).await?;
    fleet.wait_for_version(version).await?;
    let reply = caller.send(&Method::POST, "/manus/bad-input", &spare, "bad-input").await?;
    check_refusal("withdrawn key on an open connection", &reply, 401, "key-withdrawn")?;

    let (prefix, _) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    for idempotency_key in [format!("{prefix}twice"), "caller-made-twice".to_owned()] {
        let headers = [("papayareel-key", KEY), ("idempotency-key", &*idempotency_key)];
        let reply = caller.send(&Method::POST, "/sandning/first", &headers, "first").await?;
        let verdict = ResponseKind::classify(&reply, "/sandning/first", b"first");
        ensure!(verdict == ResponseKind::Complete, "{idempotency_key}: {verdict:?}");
        let reply = caller.send(&Method::POST, "/sandning/first", &headers, "bad-input").await?;
        check_refusal("another body", &reply, 409, "idempotency-conflict")?;
        let reply = caller.send(&Method::POST, "/sandning/bad-input", &headers, "first").await?;
        check_refusal("another path", &reply, 409, "idempotency-conflict")?;
        ensure!(
            fleet.run_count(&idempotency_key).await? == 1,
            "{idempotency_key} did not run exactly once"
        );
    }
    test.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_body_is_refused() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let test = TestFleet::start().await?;
    let address = test.fleet.caller_address(0);
    let body = "bad-input ".repeat(20_000);
    let head = format!("POST /manus/bad-input HTTP/1.1\r\nhost: x\r\npapayareel-key: {KEY}\r\n");
    let announced = format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    let reply = send_raw(address, announced.as_bytes()).await.context("announced length")?;
    check_refusal("announced length", &reply, 413, "body-too-large")?;
    // With chunked encoding, the length is known only while the body arrives.
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    let chunked = format!("{head}connection: close\r\ntransfer-encoding: chunked\r\n\r\n{chunk}");
    let reply = send_raw(address, chunked.as_bytes()).await.context("chunks")?;
    check_refusal("chunks", &reply, 413, "body-too-large")?;
    test.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_head_is_refused() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let test = TestFleet::start().await?;
    let filler = "x".repeat(40_000);
    let head = format!(
        "GET /manus/bad-input HTTP/1.1\r\nhost: x\r\npapayareel-key: {KEY}\r\nx-a: {filler}\r\n\r\n"
    );
    let reply = send_raw(test.fleet.caller_address(0), head.as_bytes()).await?;
    check_refusal("oversized head", &reply, 431, "head-too-large")?;
    test.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_head_is_refused() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let test = TestFleet::start().await?;
    let head = format!("GET /manus/bad-input HTTP/1.1\r\nhost: x\r\npapayareel-key: {KEY}\r\nx-");
    let reply = send_raw(test.fleet.caller_address(0), head.as_bytes()).await?;
    check_refusal("slow head", &reply, 408, "head-too-slow")?;
    test.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_are_refused() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let test = TestFleet::start().await?;
    for malformed in ["\x16\x03\x01 hello bad-input\r\n\r\n", "GET\r\n\r\n", "GET /a b c d\r\n\r\n"]
    {
        let reply = send_raw(test.fleet.caller_address(0), malformed.as_bytes()).await?;
        check_refusal(&format!("{malformed:?}"), &reply, 400, "bad-request")?;
    }
    test.end().await
}
