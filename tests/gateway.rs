//! Guards against gateway processes that leak keys, run non-idempotent requests twice, or stop
//! serving when backend servers are gray, the store fails, or VMs start, stop and are killed. Each
//! test runs gateways between callers, a simulated store and simulated backend servers.

use std::time::Duration;

use harness::{
    Caller, GATEWAY_KEY as KEY, GatewayFleet, gateway_request as request, gateway_request_on,
    wait_until,
};
use http::Method;
use standins::gateway_backend::{BackendMode, GatewayBackend};
use standins::gateway_store::StoreMode;
use standins::wire::EXPECTED_INSTANCE_HEADER;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time within which a configuration change must be in force on every VM.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2500);
/// Service time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(30);

async fn fleet() -> anyhow::Result<GatewayFleet> {
    GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await
}

#[tokio::test]
async fn request_is_forwarded_without_its_key() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let reply = request(leader, Method::GET, "/read/x?y=1", "id-1", KEY).await?;
    assert_eq!((reply.status.as_u16(), &*reply.body), (200, &b"/read/x?y=1"[..]));
    assert_eq!(reply.header("response-signature"), "i-1.0");
    let headers = target.observed().headers;
    assert_eq!(headers["tenant"], "north");
    assert_eq!(headers[EXPECTED_INSTANCE_HEADER], "i-1");
    assert!(!headers.contains_key("authorization"));
    let remaining: u64 = headers["deadline-ms"].parse()?;
    assert!(
        (2000..=3000).contains(&remaining),
        "the route allows 3 s, {remaining} ms were forwarded"
    );
    let status = |reply: harness::HttpResponse| reply.status.as_u16();
    assert_eq!(status(request(leader, Method::GET, "/none/", "id-2", KEY).await?), 404);
    assert_eq!(status(request(leader, Method::GET, "/read/", "id-3", "wrong").await?), 401);
    assert_eq!(target.run_count(), 1);
    Ok(())
}

#[tokio::test]
async fn vm_without_configuration_refuses_with_503_only() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.store.set_mode(StoreMode::Unavailable);
    fleet.start(0, "a1")?;
    let address = fleet.caller_address(0);
    let is_up = || async { request(address, Method::GET, "/read/", "id-1", KEY).await.is_ok() };
    assert!(wait_until(Duration::from_secs(10), is_up).await);
    for path in ["/read/", "/none/"] {
        let reply = request(address, Method::GET, path, "id-2", "wrong").await?;
        assert_eq!(reply.status.as_u16(), 503, "{path}");
    }
    assert_eq!(fleet.readiness(0).await, Some(503));
    Ok(())
}

#[tokio::test]
async fn non_idempotent_request_runs_once_on_any_failure() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let targets = [
        fleet.start_backend(1, "a1", SERVICE_TIME).await?,
        fleet.start_backend(2, "a1", SERVICE_TIME).await?,
    ];
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    for (manner, statuses) in [
        (BackendMode::LosingResponses, [502].as_slice()),
        (BackendMode::WrongRequestId, &[502]),
        (BackendMode::Unsigned, &[502]),
        (BackendMode::Failing, &[500]),
        (BackendMode::Hanging, &[504]),
    ] {
        targets.iter().for_each(|target| target.set_mode(manner));
        let before: u32 = targets.iter().map(|target| target.run_count()).sum();
        let id = format!("{manner:?}");
        let reply = request(leader, Method::POST, "/write/", &id, KEY).await?;
        assert!(statuses.contains(&reply.status.as_u16()), "{manner:?} gave {}", reply.status);
        let after: u32 = targets.iter().map(|target| target.run_count()).sum();
        assert_eq!(after - before, 1, "{manner:?}");
    }
    Ok(())
}

#[tokio::test]
async fn refused_request_did_not_run() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let targets = [
        fleet.start_backend(1, "a1", SERVICE_TIME).await?,
        fleet.start_backend(2, "a1", SERVICE_TIME).await?,
    ];
    targets.iter().for_each(|target| target.set_mode(BackendMode::Shedding));
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    for number in 0..10 {
        let id = format!("id-{number}");
        let reply = request(leader, Method::POST, "/write/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 503);
        assert!(!reply.header("retry-after").is_empty());
    }
    assert_eq!(targets.iter().map(|target| target.run_count()).sum::<u32>(), 0);
    Ok(())
}

/// A listener whose backlog is full, so that a connection is neither accepted nor refused.
async fn full_listener(fleet: &GatewayFleet) -> anyhow::Result<(TcpListener, Vec<TcpStream>)> {
    let ip = fleet.bind_backend(1).await?.local_addr()?.ip();
    let socket = TcpSocket::new_v4()?;
    socket.bind((ip, 0).into())?;
    let listener = socket.listen(1)?;
    let mut waiting = Vec::new();
    loop {
        let connect = TcpStream::connect(listener.local_addr()?);
        match tokio::time::timeout(Duration::from_millis(200), connect).await {
            Ok(stream) => waiting.push(stream?),
            Err(_) => return Ok((listener, waiting)),
        }
    }
}

/// Guards against "may have run" for a request of which nothing was sent when its time ended.
#[tokio::test]
async fn request_whose_time_ends_while_it_connects_is_not_run() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let (listener, _waiting) = full_listener(&fleet).await?;
    fleet.register_backend(1, "a1", listener.local_addr()?, "ready");
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    for (method, path) in [(Method::POST, "/write/"), (Method::GET, "/read/")] {
        let mut caller = Caller::new(leader);
        let id = format!("id-{method}");
        let reply = gateway_request_on(&mut caller, method, path, &id, KEY, 150).await?;
        assert_eq!(reply.status.as_u16(), 503, "{id}: {}", String::from_utf8_lossy(&reply.body));
    }
    Ok(())
}

#[tokio::test]
async fn idempotent_requests_survive_gray_backend_servers() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let gray = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let _healthy = fleet.start_backend(2, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    for (round, manner) in
        [BackendMode::Failing, BackendMode::LosingResponses, BackendMode::WrongRequestId]
            .into_iter()
            .enumerate()
    {
        gray.set_mode(manner);
        for number in 0..10 {
            let id = format!("id-{round}-{number}");
            let reply = request(leader, Method::GET, "/read/", &id, KEY).await?;
            assert_eq!(reply.status.as_u16(), 200, "{manner:?}");
        }
    }
    // One failure makes the gateway avoid the gray backend server, so that most requests go to the
    // healthy one at once.
    assert!(
        gray.run_count() < 15,
        "{} of 30 requests went to the gray backend server",
        gray.run_count()
    );
    Ok(())
}

#[tokio::test]
async fn withdrawn_key_stops_working_on_every_vm() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let _target = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    for vm in 0..3 {
        fleet.start(vm, "a1")?;
    }
    for vm in 0..3 {
        fleet.wait_until_ready(vm, "a1").await?;
    }
    fleet.store.compact();
    fleet.write_config(&["another"]);
    for vm in 0..3 {
        let address = fleet.caller_address(vm);
        let is_refused = || async {
            let reply = request(address, Method::GET, "/read/", "id-1", KEY).await;
            reply.is_ok_and(|reply| reply.status.as_u16() == 401)
        };
        assert!(wait_until(PROPAGATION_LIMIT, is_refused).await, "vm-{vm} still accepts the key");
    }
    Ok(())
}

#[tokio::test]
async fn draining_or_removed_backend_server_gets_no_new_work() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let draining = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let removed = fleet.start_backend(2, "a1", SERVICE_TIME).await?;
    let _remaining = fleet.start_backend(3, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    fleet.register_backend(1, "a1", draining.address(), "draining");
    fleet.store.delete_row("servers", "i-2");
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let before = draining.run_count() + removed.run_count();
    for number in 0..30 {
        let address = if number % 2 == 0 { leader } else { fleet.caller_address(1) };
        let id = format!("id-{number}");
        let reply = request(address, Method::GET, "/read/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 200);
    }
    assert_eq!(draining.run_count() + removed.run_count(), before);
    Ok(())
}

#[tokio::test]
async fn another_vm_takes_over_from_killed_leader() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let _target = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    for vm in 0..3 {
        fleet.start(vm, "a1")?;
    }
    for vm in 0..3 {
        fleet.wait_until_ready(vm, "a1").await?;
    }
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let index = (0..3).find(|vm| fleet.caller_address(*vm) == leader).unwrap_or(0);
    fleet.store.set_mode(StoreMode::Unresponsive);
    fleet.processes[usize::from(index)].kill()?;
    let queried = (index + 1) % 3;
    let has_moved = || async {
        match fleet.resolve(queried, "a1").await {
            Some(address) if address != leader => {
                let reply = request(address, Method::GET, "/read/", "id-1", KEY).await;
                reply.is_ok_and(|reply| reply.status.as_u16() == 200)
            }
            _ => false,
        }
    };
    assert!(
        wait_until(Duration::from_secs(4), has_moved).await,
        "no VM took over without the store"
    );
    Ok(())
}

#[tokio::test]
async fn vm_starting_without_store_syncs_from_peers() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let _target = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    fleet.wait_until_ready(0, "a1").await?;
    fleet.store.set_mode(StoreMode::Unresponsive);
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    let reply = request(fleet.caller_address(1), Method::GET, "/read/", "id-1", KEY).await?;
    assert_eq!(reply.status.as_u16(), 200);
    Ok(())
}

#[tokio::test]
async fn sigterm_completes_requests_and_moves_callers() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", Duration::from_millis(900)).await?;
    fleet.start(0, "a1")?;
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let index = usize::from(leader != fleet.caller_address(0));
    let running = tokio::spawn(request(leader, Method::POST, "/write/", "id-1", KEY));
    let has_started = || async { target.run_count() > 0 };
    assert!(wait_until(Duration::from_secs(2), has_started).await);
    fleet.processes[index].signal("TERM")?;
    assert_eq!(running.await??.status.as_u16(), 200);
    let other = 1 - index as u8;
    let has_moved =
        || async { fleet.resolve(other, "a1").await == Some(fleet.caller_address(other)) };
    assert!(wait_until(Duration::from_secs(2), has_moved).await);
    assert_eq!(fleet.readiness(index as u8).await, Some(503));
    // Callers that still use the old address are served while the VM drains.
    let reply = request(leader, Method::GET, "/read/", "id-2", KEY).await?;
    assert_eq!(reply.status.as_u16(), 200);
    assert!(
        fleet.processes[index].wait(Duration::from_secs(6)).await?,
        "the gateway exited with an error"
    );
    Ok(())
}

#[tokio::test]
async fn failed_request_is_found_in_log_by_id() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    target.set_mode(BackendMode::Failing);
    request(leader, Method::POST, "/write/", "failed-id", KEY).await?;
    request(leader, Method::GET, "/read/", "refused-id", "wrong").await?;
    let is_logged = || async {
        let log = fleet.log(0);
        let names = |id: &str| -> Vec<String> {
            let lines = log.lines().filter(|line| line.contains(id));
            let json = lines.filter_map(|line| serde_json::from_str(line).ok());
            json.map(|v: serde_json::Value| v["name"].as_str().unwrap_or_default().into()).collect()
        };
        let failed = names("failed-id");
        failed.iter().any(|n| n == "attempt-failed")
            && failed.iter().any(|n| n == "request-failed")
            && names("refused-id").iter().any(|n| n == "request-refused")
    };
    assert!(wait_until(Duration::from_secs(3), is_logged).await, "{}", fleet.log(0));
    assert!(!fleet.log(0).contains(KEY), "the key is in the log");
    Ok(())
}

#[tokio::test]
async fn unread_log_does_not_delay_requests() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    fleet.start_with_unread_stdout(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    // Each refusal writes a line of at least 200 bytes, and a pipe buffers 64 KB, so that 600
    // refusals fill it.
    for number in 0..600 {
        let id = format!("refused-{number}");
        let reply = request(leader, Method::GET, "/read/", &id, "wrong").await?;
        assert_eq!(reply.status.as_u16(), 401);
    }
    let start = std::time::Instant::now();
    let reply = request(leader, Method::GET, "/read/", "id-1", KEY).await?;
    assert_eq!((reply.status.as_u16(), target.run_count()), (200, 1));
    assert!(start.elapsed() < Duration::from_secs(1), "the request took {:?}", start.elapsed());
    fleet.processes[0].signal("TERM")?;
    assert!(
        fleet.processes[0].wait(Duration::from_secs(6)).await?,
        "the gateway exited with an error"
    );
    Ok(())
}

#[tokio::test]
async fn request_is_cancelled_at_backend_server_when_caller_disconnects() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    target.set_mode(BackendMode::Hanging);
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    let caller = tokio::spawn(request(leader, Method::GET, "/read/", "id-1", KEY));
    let has_started = || async { target.in_flight() == 1 };
    assert!(wait_until(Duration::from_secs(2), has_started).await);
    caller.abort();
    let has_ended = || async { target.in_flight() == 0 };
    assert!(
        wait_until(Duration::from_millis(500), has_ended).await,
        "the backend server still works on the request"
    );
    Ok(())
}

#[tokio::test]
async fn request_never_runs_at_address_of_another_backend_server() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let other = GatewayBackend::serve(fleet.bind_backend(1).await?, "i-9", SERVICE_TIME)?;
    fleet.register_backend(1, "a1", other.address(), "ready");
    let healthy = fleet.start_backend(2, "a1", SERVICE_TIME).await?;
    fleet.start(0, "a1")?;
    let leader = fleet.wait_until_ready(0, "a1").await?;
    for number in 0..10 {
        let id = format!("id-{number}");
        let reply = request(leader, Method::POST, "/write/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 200);
    }
    assert_eq!((other.run_count(), healthy.run_count()), (0, 10));
    Ok(())
}

#[tokio::test]
async fn request_that_crashes_backend_servers_is_refused_after_two() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let mut targets = Vec::new();
    for number in 1..=5 {
        targets.push(fleet.start_backend(number, "a1", SERVICE_TIME).await?);
    }
    targets.iter().for_each(|target| target.set_mode(BackendMode::Crashing));
    fleet.start(0, "a1")?;
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    fleet.wait_until_ready(0, "a1").await?;
    for number in 0..6 {
        let address = fleet.caller_address(number % 2);
        let reply = request(address, Method::POST, "/write/", &format!("id-{number}"), KEY).await?;
        assert!(!reply.status.is_success());
        // The other VM learns of the crash by a datagram.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let crashed = targets.iter().filter(|target| target.run_count() > 0).count();
    assert!((1..=2).contains(&crashed), "{crashed} backend servers crashed");
    Ok(())
}
