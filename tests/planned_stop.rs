//! Guards against requests that a VM takes around its SIGTERM and never answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use harness::{
    Caller, GATEWAY_KEY as KEY, GatewayFleet, HttpResponse, gateway_request_on, wait_until,
};
use http::Method;
use standins::gateway_backend::{BackendMode, GatewayBackend};

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// Service time of a slow request. The route allows 3 s.
const SLOW: Duration = Duration::from_millis(2750);

async fn fleet(service_time: Duration) -> anyhow::Result<(GatewayFleet, Vec<GatewayBackend>)> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    let mut backends = Vec::new();
    for number in 1..=8 {
        backends.push(fleet.start_backend(number, "a1", service_time).await?);
    }
    fleet.start(0, "a1")?;
    fleet.wait_until_ready(0, "a1").await?;
    Ok((fleet, backends))
}

async fn send(caller: &mut Caller, path: &str, id: &str) -> anyhow::Result<HttpResponse> {
    let method = if path.starts_with("/write/") { Method::POST } else { Method::GET };
    gateway_request_on(caller, method, path, id, KEY, 10_000).await
}

/// Opens a connection with a request that needs no backend server, and sends another one on it
/// `after` a time.
async fn send_on_kept_connection(
    address: SocketAddr,
    after: Duration,
    path: String,
    id: String,
) -> anyhow::Result<HttpResponse> {
    let mut caller = Caller::new(address);
    send(&mut caller, "/none/", &format!("{id}-first")).await?;
    tokio::time::sleep(after).await;
    send(&mut caller, &path, &id).await
}

fn run_count(backends: &[GatewayBackend], id: &str) -> u32 {
    backends.iter().map(|b| b.observed().runs.get(id).copied().unwrap_or(0)).sum()
}

/// Requests sent 3 s and more after SIGTERM were run and then cut off by the end of the process.
#[tokio::test]
async fn request_sent_late_in_a_planned_stop_is_answered_or_not_run() -> anyhow::Result<()> {
    let (mut fleet, backends) = fleet(SLOW).await?;
    let address = fleet.caller_address(0);
    let mut callers = Vec::new();
    for number in 0..44_u64 {
        let path = if number % 2 == 0 { "/write/" } else { "/read/" };
        let (id, after) = (format!("late-{number}"), Duration::from_millis(100 * number));
        let sent = send_on_kept_connection(address, after, path.into(), id.clone());
        callers.push((number, id, tokio::spawn(sent)));
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.processes[0].signal("TERM")?;
    let mut served = 0;
    for (number, id, caller) in callers {
        let response = caller.await?;
        let runs = run_count(&backends, &id);
        match response {
            // On a connection that was closed before its request was read, nothing has run.
            Err(error) => assert_eq!(runs, 0, "{id} ran and was not answered: {error:#}"),
            Ok(response) if response.status == 503 => assert_eq!(runs, 0, "{id} ran"),
            Ok(response) => {
                assert_eq!(response.status, 200, "{id}");
                // A read may be hedged.
                assert!(runs == 1 || number % 2 == 1, "{id} ran {runs} times");
                served += 1;
            }
        }
    }
    assert!(served > 10, "{served} served");
    assert!(fleet.processes[0].wait(GRACE).await?);
    Ok(())
}

/// A request that a backend server never answers ended with a closed connection and no log line,
/// and the last line of the log said that all requests were finished.
#[tokio::test]
async fn request_that_outlasts_the_grace_period_is_answered_and_logged() -> anyhow::Result<()> {
    let (mut fleet, backends) = fleet(Duration::from_millis(30)).await?;
    let address = fleet.caller_address(0);
    let mut caller = Caller::new(address);
    for number in 0..5 {
        assert_eq!(send(&mut caller, "/long/", &format!("w-{number}")).await?.status, 200);
    }
    backends.iter().for_each(|backend| backend.set_mode(BackendMode::Hanging));
    fleet.processes[0].signal("TERM")?;
    let start = Instant::now();
    let response = send(&mut caller, "/long/", "outlasting").await?;
    assert_eq!(response.status, 504, "{:?}", response.body);
    let took = start.elapsed();
    assert!(took > GRACE.mul_f64(5.0 / 6.0) && took < GRACE, "answered after {took:?}");
    assert_eq!(response.header("connection"), "close");
    assert!(fleet.processes[0].wait(GRACE).await?);
    let log = fleet.log(0);
    let line = log.lines().find(|line| line.contains("request-unfinished")).unwrap_or_default();
    assert!(line.contains("outlasting") && line.contains("\"stage\":\"sent\""), "{log}");
    Ok(())
}

/// A waiting request was given a slot after the check for the stop, and was cut off as well.
#[tokio::test]
async fn waiting_request_is_refused_at_a_stop() -> anyhow::Result<()> {
    let (fleet, backends) = fleet(Duration::from_millis(30)).await?;
    let address = fleet.caller_address(0);
    backends.iter().for_each(|backend| backend.set_mode(BackendMode::Hanging));
    let callers: Vec<_> = (0..60)
        .map(|number| {
            tokio::spawn(async move {
                let id = format!("w-{number}");
                let response = send(&mut Caller::new(address), "/long/", &id).await;
                anyhow::Ok((id, response?))
            })
        })
        .collect();
    let is_full = || async { backends.iter().map(|b| b.in_flight()).sum::<u32>() >= 32 };
    assert!(wait_until(Duration::from_secs(2), is_full).await);
    let start = Instant::now();
    fleet.processes[0].signal("TERM")?;
    let (mut refused, mut unknown) = (0, 0);
    for caller in callers {
        let (id, response) = caller.await??;
        match response.status.as_u16() {
            503 => {
                assert_eq!(run_count(&backends, &id), 0, "{id} ran");
                refused += 1;
            }
            504 => unknown += 1,
            status => panic!("{id}: {status}"),
        }
    }
    assert!(refused > 0 && unknown > 0, "{refused} refused, {unknown} unknown");
    assert!(start.elapsed() < GRACE);
    Ok(())
}
