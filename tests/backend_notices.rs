//! Guards against requests that reach a backend server which has said in a response that it is
//! leaving or wants a pause, whatever the store's list says, and against refusals that hold callers
//! back meanwhile. Each test runs gateways between callers, a store and backend servers.

use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY as KEY, GatewayFleet, gateway_request as request, wait_until};
use http::Method;
use standins::gateway_backend::{BackendMode, GatewayBackend};
use standins::gateway_store::StoreMode;

/// Service time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Pause that the stand-in asks for.
const PAUSE: Duration = Duration::from_millis(1500);

async fn fleet() -> anyhow::Result<GatewayFleet> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    Ok(fleet)
}

/// Sends requests until the backend server has had one.
async fn send_until_used(
    fleet: &GatewayFleet,
    vm: u8,
    backend: &GatewayBackend,
) -> anyhow::Result<()> {
    let start = Instant::now();
    let before = backend.observed().arrivals.len();
    let mut number = 0;
    while backend.observed().arrivals.len() == before {
        anyhow::ensure!(start.elapsed() < Duration::from_secs(5), "it gets no request");
        let callers = (0..6).map(|n| {
            let id = format!("until-{vm}-{number}-{n}");
            let address = fleet.caller_address(vm);
            async move { request(address, Method::GET, "/read/", &id, KEY).await }
        });
        futures::future::join_all(callers).await;
        number += 1;
    }
    Ok(())
}

#[tokio::test]
async fn leaving_server_gets_nothing_though_the_list_has_it() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let leaving = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let remaining = fleet.start_backend(2, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    fleet.wait_until_ready(0, "a1").await?;
    leaving.set_mode(BackendMode::Leaving);
    send_until_used(&fleet, 0, &leaving).await?;
    // Requests that were on their way, and the message to the other VM.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = leaving.observed().arrivals.len();
    // Neither an older answer nor a list that drops and names it again brings it back.
    leaving.set_mode(BackendMode::Normal);
    fleet.store.delete_row("servers", "i-1");
    let is_gone = || async { fleet.log(0).contains("backend-gone") };
    assert!(wait_until(Duration::from_secs(3), is_gone).await);
    fleet.register_backend(1, "a1", leaving.address(), "ready");
    fleet.store.compact();
    tokio::time::sleep(Duration::from_millis(500)).await;
    // A VM that starts now learns of it from the others.
    fleet.start(2, "a1")?;
    fleet.wait_until_ready(2, "a1").await?;
    fleet.store.set_mode(StoreMode::Unavailable);
    for number in 0..60 {
        let address = fleet.caller_address(number % 3);
        let id = format!("id-{number}");
        let reply = request(address, Method::GET, "/read/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 200, "{id}");
    }
    assert_eq!(leaving.observed().arrivals.len(), before);
    assert!(remaining.run_count() >= 60);
    Ok(())
}

#[tokio::test]
async fn restarted_server_of_the_same_id_is_used_again() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let server = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    server.set_mode(BackendMode::Leaving);
    send_until_used(&fleet, 0, &server).await?;
    // It was the only one: the next request is refused at once, and truthfully.
    let before = server.run_count();
    let start = Instant::now();
    let reply = request(leader, Method::POST, "/write/", "id-none", KEY).await?;
    assert_eq!((reply.status.as_u16(), server.run_count()), (503, before));
    assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
    server.set_mode(BackendMode::Normal);
    fleet.restart_backend(1, "a1", server.address());
    let serves = || async {
        let reply = request(leader, Method::GET, "/read/", "id-again", KEY).await;
        reply.is_ok_and(|reply| reply.status.as_u16() == 200)
    };
    assert!(wait_until(Duration::from_secs(3), serves).await);
    Ok(())
}

#[tokio::test]
async fn paused_server_gets_nothing_until_its_pause_ends() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let paused = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let other = fleet.start_backend(2, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    fleet.wait_until_ready(0, "a1").await?;
    paused.set_mode(BackendMode::Pausing);
    send_until_used(&fleet, 0, &paused).await?;
    let first = paused.observed().arrivals.last().copied().unwrap_or_else(Instant::now);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = paused.observed().arrivals.len();
    let mut number = 0;
    while first.elapsed() < PAUSE - Duration::from_millis(100) {
        let address = fleet.caller_address(number % 2);
        let id = format!("id-{number}");
        let reply = request(address, Method::GET, "/read/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 200, "{id}");
        number += 1;
    }
    assert!(number > 10 && other.run_count() > 10);
    assert_eq!(paused.observed().arrivals.len(), before, "requests during the pause");
    paused.set_mode(BackendMode::Normal);
    // A pause is no evidence of a gray failure: the server is used right after it.
    tokio::time::sleep_until((first + PAUSE).into()).await;
    send_until_used(&fleet, 0, &paused).await
}

#[tokio::test]
async fn request_waits_for_the_end_of_a_pause_or_is_refused_at_once() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let server = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    server.set_mode(BackendMode::Pausing);
    let paused_at = Instant::now();
    let reply = request(leader, Method::POST, "/write/", "id-1", KEY).await?;
    assert_eq!(reply.status.as_u16(), 503);
    server.set_mode(BackendMode::Normal);
    // The objective is 1.5 s, which the pause of 1.5 s uses up: refused with the end of the pause.
    let start = Instant::now();
    let reply = request(leader, Method::POST, "/write/", "id-2", KEY).await?;
    assert_eq!(reply.status.as_u16(), 503);
    assert!(start.elapsed() < Duration::from_millis(200), "{:?}", start.elapsed());
    let retry = Duration::from_secs_f64(reply.header("retry-after").parse()?);
    let left = PAUSE.saturating_sub(paused_at.elapsed());
    assert!(retry + Duration::from_millis(250) >= left, "{retry:?} of {left:?}");
    assert!(retry <= PAUSE + Duration::from_secs(1), "{retry:?}");
    // Half a second later the rest of the pause fits the objective.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let reply = request(leader, Method::POST, "/write/", "id-3", KEY).await?;
    assert_eq!(reply.status.as_u16(), 200);
    assert!(paused_at.elapsed() >= PAUSE, "the request did not wait");
    assert_eq!(server.run_count(), 1);
    Ok(())
}

#[tokio::test]
async fn request_that_ran_is_never_called_not_run() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let server = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    for mode in [BackendMode::MisleadingStatus, BackendMode::NoRequestId] {
        server.set_mode(mode);
        let id = format!("{mode:?}");
        let reply = request(leader, Method::POST, "/write/", &id, KEY).await?;
        assert_eq!((reply.status.as_u16(), server.observed().runs[&id]), (502, 1), "{mode:?}");
    }
    Ok(())
}
