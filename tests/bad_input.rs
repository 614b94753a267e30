//! Guards against bad requests that get a wrong status or no remedy, that run although they are
//! refused, or that disturb other callers.

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

/// One fleet at a time, since each has several processes.
static ONE: Mutex<()> = Mutex::const_new(());
/// Words of which every message has one, because it names what the caller can do.
const REMEDIES: &[&str] = &["send", "check", "ask", "allow", "use", "retry", "append", "must be"];
/// Longest wait for an answer on a raw connection.
const LIMIT: Duration = Duration::from_secs(30);
/// Bound on the requests of the well-behaved caller.
const MOST: usize = 50_000;

/// A fleet with a well-behaved caller, which has to be served all the time.
struct Site {
    fleet: Fleet,
    ended: Arc<AtomicBool>,
    good: JoinHandle<anyhow::Result<usize>>,
}

impl Site {
    async fn start() -> anyhow::Result<Site> {
        let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
        let mut shape = sample_layout(2);
        shape.settings["limits"] = serde_json::json!({
            "head_bytes": 8192, "body_bytes": 100_000, "head_timeout_ms": 1000,
        });
        let fleet = Fleet::start(programs, shape).await?;
        fleet.apply_sample_config().await?;
        let ended = Arc::new(AtomicBool::new(false));
        let good = tokio::spawn(behave(fleet.caller_address(0), Arc::clone(&ended)));
        Ok(Site { fleet, ended, good })
    }

    async fn end(self) -> anyhow::Result<()> {
        self.ended.store(true, Ordering::Relaxed);
        let sent = self.good.await??;
        ensure!(sent > 0, "the well-behaved caller sent nothing");
        // The refusals say not-run: nothing with the mark of a bad request may have arrived.
        ensure!(!self.fleet.any_received("bad-input").await?, "a backend server got a bad request");
        Ok(())
    }
}

/// Sends good requests on one connection; each must be answered by a backend server.
async fn behave(address: SocketAddr, ended: Arc<AtomicBool>) -> anyhow::Result<usize> {
    let mut caller = Caller::new(address);
    for i in 0..MOST {
        if ended.load(Ordering::Relaxed) {
            return Ok(i);
        }
        let (target, body) = (format!("/manus/good-{i}"), format!("good {i}"));
        let headers = [("papayareel-key", KEY)];
        let reply = caller.send(&Method::POST, &target, &headers, body.clone()).await?;
        let verdict = ResponseKind::classify(&reply, &target, body.as_bytes());
        ensure!(verdict == ResponseKind::Complete, "the well-behaved caller got {verdict:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(MOST)
}

fn expect(what: &str, reply: &HttpResponse, status: u16, kind: &str) -> anyhow::Result<()> {
    let json = reply.json();
    let found = format!("{what}: {} {:?} {json}", reply.status, reply.headers);
    ensure!(reply.status.as_u16() == status, "status {status} is due, {found}");
    ensure!(json["kind"] == kind, "kind {kind} is due, {found}");
    ensure!(reply.header("papayareel-outcome") == "not-run", "outcome not-run is due, {found}");
    let message = json["message"].as_str().unwrap_or_default();
    ensure!(REMEDIES.iter().any(|word| message.contains(word)), "no remedy, {found}");
    Ok(())
}

/// Sends bytes on a connection of its own and reads what comes back until the other side closes.
async fn raw(address: SocketAddr, bytes: &[u8]) -> anyhow::Result<HttpResponse> {
    let mut stream = TcpStream::connect(address).await?;
    // The other side may answer and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = async {
        let mut piece = [0; 4096];
        while let Ok(length) = stream.read(&mut piece).await {
            if length == 0 {
                return;
            }
            answer.extend_from_slice(&piece[..length]);
        }
    };
    tokio::time::timeout(LIMIT, read).await.context("the connection stays open")?;
    parse(&answer)
}

fn parse(answer: &[u8]) -> anyhow::Result<HttpResponse> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text
        .split_once("\r\n\r\n")
        .with_context(|| format!("closed without a whole response, only {text:?}"))?;
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
async fn every_bad_request_is_refused_with_its_kind_and_a_remedy() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let site = Site::start().await?;
    let address = site.fleet.caller_address(0);
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
    for (what, target, headers, status, kind) in cases {
        let reply = caller.send(&Method::POST, target, headers, "bad-input").await;
        expect(what, &reply.with_context(|| (*what).to_owned())?, *status, kind)?;
    }
    site.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_keys_and_repeated_idempotency_keys_are_refused() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let site = Site::start().await?;
    let fleet = &site.fleet;
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
    expect("withdrawn key on an open connection", &reply, 401, "key-withdrawn")?;

    let (prefix, _) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    for once in [format!("{prefix}twice"), "caller-made-twice".to_owned()] {
        let headers = [("papayareel-key", KEY), ("idempotency-key", &*once)];
        let reply = caller.send(&Method::POST, "/sandning/first", &headers, "first").await?;
        let verdict = ResponseKind::classify(&reply, "/sandning/first", b"first");
        ensure!(verdict == ResponseKind::Complete, "{once}: {verdict:?}");
        let reply = caller.send(&Method::POST, "/sandning/first", &headers, "bad-input").await?;
        expect("another body", &reply, 409, "idempotency-conflict")?;
        let reply = caller.send(&Method::POST, "/sandning/bad-input", &headers, "first").await?;
        expect("another path", &reply, 409, "idempotency-conflict")?;
        ensure!(fleet.run_count(&once).await? == 1, "{once} did not run exactly once");
    }
    site.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_oversized_body_is_refused() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let site = Site::start().await?;
    let address = site.fleet.caller_address(0);
    let body = "bad-input ".repeat(20_000);
    let head = format!("POST /manus/bad-input HTTP/1.1\r\nhost: x\r\npapayareel-key: {KEY}\r\n");
    let announced = format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    let reply = raw(address, announced.as_bytes()).await.context("announced length")?;
    expect("announced length", &reply, 413, "body-too-large")?;
    // The length is found out only while the chunks come in.
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    let chunked = format!("{head}connection: close\r\ntransfer-encoding: chunked\r\n\r\n{chunk}");
    let reply = raw(address, chunked.as_bytes()).await.context("chunks")?;
    expect("chunks", &reply, 413, "body-too-large")?;
    site.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_oversized_head_is_refused() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let site = Site::start().await?;
    let filler = "x".repeat(40_000);
    let head = format!(
        "GET /manus/bad-input HTTP/1.1\r\nhost: x\r\npapayareel-key: {KEY}\r\nx-a: {filler}\r\n\r\n"
    );
    let reply = raw(site.fleet.caller_address(0), head.as_bytes()).await?;
    expect("oversized head", &reply, 431, "head-too-large")?;
    site.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_head_is_refused() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let site = Site::start().await?;
    let head = format!("GET /manus/bad-input HTTP/1.1\r\nhost: x\r\npapayareel-key: {KEY}\r\nx-");
    let reply = raw(site.fleet.caller_address(0), head.as_bytes()).await?;
    expect("slow head", &reply, 408, "head-too-slow")?;
    site.end().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_is_refused() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let site = Site::start().await?;
    for garbage in ["\x16\x03\x01 hello bad-input\r\n\r\n", "GET\r\n\r\n", "GET /a b c d\r\n\r\n"] {
        let reply = raw(site.fleet.caller_address(0), garbage.as_bytes()).await?;
        expect(&format!("{garbage:?}"), &reply, 400, "bad-request")?;
    }
    site.end().await
}
