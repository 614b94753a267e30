//! Guards against uploads that run twice, arrive changed, or take up the memory of a small VM.

use std::time::{Duration, Instant};

use bytes::Bytes;
use harness::{
    GATEWAY_HOST, GATEWAY_KEY as KEY, GatewayFleet, gateway_request, send_request, wait_until,
};
use http::Method;
use standins::gateway_backend::BackendMode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory of the VM. Bodies of requests may take a quarter of it.
const MEMORY_MB: u32 = 40;
const MAX_BODY_BYTES: usize = 8_000_000;

async fn fleet() -> anyhow::Result<GatewayFleet> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.memory_mb = MEMORY_MB;
    fleet.max_body_bytes = MAX_BODY_BYTES;
    fleet.write_config(&[KEY]);
    Ok(fleet)
}

fn headers<'a>(id: &'a str, key: &'a str) -> [(&'static str, &'a str); 4] {
    [("host", GATEWAY_HOST), ("request-id", id), ("deadline-ms", "4000"), ("authorization", key)]
}

#[tokio::test]
async fn upload_runs_once_on_any_failure() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let servers = [
        fleet.start_backend(1, "a1", Duration::from_millis(10)).await?,
        fleet.start_backend(2, "a1", Duration::from_millis(10)).await?,
    ];
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let key = format!("Bearer {KEY}");
    for mode in [
        BackendMode::Normal,
        BackendMode::LosingResponses,
        BackendMode::WrongRequestId,
        BackendMode::Failing,
        BackendMode::MisleadingStatus,
    ] {
        servers.iter().for_each(|server| server.set_mode(mode));
        let id = format!("{mode:?}");
        let body = Bytes::from(vec![b'u'; 300_000]);
        let reply =
            send_request(leader, &Method::POST, "/upload/", &headers(&id, &key), body).await?;
        let runs: u32 = servers.iter().filter_map(|s| s.observed().runs.get(&id).copied()).sum();
        assert_eq!(runs, 1, "{mode:?}");
        assert_eq!(reply.status.is_success(), mode == BackendMode::Normal, "{}", reply.status);
        assert_ne!(reply.status.as_u16(), 503, "{mode:?}");
    }
    let received: usize = servers.iter().map(|s| s.observed().body_bytes).sum();
    assert_eq!(received, 5 * 300_000);
    Ok(())
}

/// A burst of 30 uploads of 1 MB within a moment, on a VM that may hold 10 MB of them: those that
/// find no room are refused at once and did not run, and all others are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn burst_beyond_the_memory_is_refused_at_once() -> anyhow::Result<()> {
    const COUNT: u32 = 30;
    let mut fleet = fleet().await?;
    let mut servers = Vec::new();
    for number in 1..=10 {
        servers.push(fleet.start_backend(number, "a1", Duration::from_millis(400)).await?);
    }
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let callers: Vec<_> = (0..COUNT)
        .map(|number| {
            tokio::spawn(async move {
                let (id, key) = (format!("u-{number}"), format!("Bearer {KEY}"));
                let body = Bytes::from(vec![b'u'; 1_000_000]);
                let start = Instant::now();
                let reply =
                    send_request(leader, &Method::POST, "/upload/", &headers(&id, &key), body)
                        .await;
                (id, reply, start.elapsed())
            })
        })
        .collect();
    let (mut served, mut refused) = (0, 0);
    for caller in callers {
        let (id, reply, elapsed) = caller.await?;
        let reply = reply?;
        let runs: u32 = servers.iter().filter_map(|s| s.observed().runs.get(&id).copied()).sum();
        match reply.status.as_u16() {
            200 => {
                assert_eq!(runs, 1, "{id}");
                served += 1;
            }
            503 => {
                assert_eq!(runs, 0, "{id} was refused although it ran");
                assert!(!reply.header("retry-after").is_empty());
                assert!(
                    elapsed < Duration::from_millis(1500),
                    "{id} was refused after {elapsed:?}"
                );
                refused += 1;
            }
            status => panic!("{id}: {status}"),
        }
    }
    assert!(served >= 10, "{served} of {COUNT} served");
    assert!(refused > 0, "the burst fits the memory, so the test shows nothing");
    // What was held is given back.
    let reply = gateway_request(leader, Method::GET, "/read/", "after", KEY).await?;
    assert_eq!(reply.status.as_u16(), 200);
    let key = format!("Bearer {KEY}");
    let serves = || async {
        let body = Bytes::from(vec![b'u'; 7_000_000]);
        let reply =
            send_request(leader, &Method::POST, "/upload/", &headers("large", &key), body).await;
        reply.is_ok_and(|reply| reply.status.as_u16() == 200)
    };
    assert!(wait_until(Duration::from_secs(2), serves).await);
    Ok(())
}

/// Guards against a caller that loses its refusal: a connection that is closed with unread bytes is
/// reset, which drops the response.
#[tokio::test]
async fn refusal_reaches_a_caller_that_is_still_sending() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let _server = fleet.start_backend(1, "a1", Duration::from_millis(10)).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let mut stream = TcpStream::connect(leader).await?;
    let head = format!(
        "POST /upload/ HTTP/1.1\r\nHost: {GATEWAY_HOST}\r\nRequest-Id: big\r\nDeadline-Ms: 4000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..20 {
        stream.write_all(&[b'u'; 20_000]).await?;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await?;
    let text = String::from_utf8_lossy(&text);
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert!(text.ends_with('}'), "the response was cut: {text}");
    Ok(())
}
