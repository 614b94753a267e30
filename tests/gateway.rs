//! Gateways as processes between callers, a store and backend servers of the platform's kind.

use std::time::Duration;

use harness::{GATEWAY_KEY as KEY, GatewayFleet, gateway_request as request, wait_until};
use http::Method;
use standins::gateway_backend::{BackendMode, GatewayBackend};
use standins::gateway_store::StoreMode;
use standins::wire::EXPECTED_INSTANCE_HEADER;

/// Time in which a change of the configuration must be in force.
const IN_FORCE: Duration = Duration::from_millis(2500);
/// Time that a backend server takes for a request.
const WORK: Duration = Duration::from_millis(30);

async fn fleet() -> anyhow::Result<GatewayFleet> {
    GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await
}

#[tokio::test]
async fn a_request_reaches_a_backend_server_and_no_key_does() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", WORK).await?;
    fleet.start(0, "a1")?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    let reply = request(home, Method::GET, "/read/x?y=1", "id-1", KEY).await?;
    assert_eq!((reply.status.as_u16(), &*reply.body), (200, &b"/read/x?y=1"[..]));
    assert_eq!(reply.header("response-signature"), "i-1.0");
    let headers = target.observed().headers;
    assert_eq!(headers["tenant"], "north");
    assert_eq!(headers[EXPECTED_INSTANCE_HEADER], "i-1");
    assert!(!headers.contains_key("authorization"));
    let left: u64 = headers["deadline-ms"].parse()?;
    assert!((2000..=3000).contains(&left), "the route allows 3 s, {left} ms were passed on");
    let status = |reply: harness::HttpResponse| reply.status.as_u16();
    assert_eq!(status(request(home, Method::GET, "/none/", "id-2", KEY).await?), 404);
    assert_eq!(status(request(home, Method::GET, "/read/", "id-3", "wrong").await?), 401);
    assert_eq!(target.run_count(), 1);
    Ok(())
}

#[tokio::test]
async fn a_vm_without_configuration_refuses_with_503_only() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.store.set_mode(StoreMode::Unavailable);
    fleet.start(0, "a1")?;
    let address = fleet.caller_address(0);
    let up = || async { request(address, Method::GET, "/read/", "id-1", KEY).await.is_ok() };
    assert!(wait_until(Duration::from_secs(10), up).await);
    for path in ["/read/", "/none/"] {
        let reply = request(address, Method::GET, path, "id-2", "wrong").await?;
        assert_eq!(reply.status.as_u16(), 503, "{path}");
    }
    assert_eq!(fleet.readiness(0).await, Some(503));
    Ok(())
}

#[tokio::test]
async fn a_request_that_may_not_repeat_runs_once_whatever_fails() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let targets =
        [fleet.start_backend(1, "a1", WORK).await?, fleet.start_backend(2, "a1", WORK).await?];
    fleet.start(0, "a1")?;
    let home = fleet.wait_until_ready(0, "a1").await?;
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
        let reply = request(home, Method::POST, "/write/", &id, KEY).await?;
        assert!(statuses.contains(&reply.status.as_u16()), "{manner:?} gave {}", reply.status);
        let after: u32 = targets.iter().map(|target| target.run_count()).sum();
        assert_eq!(after - before, 1, "{manner:?}");
    }
    Ok(())
}

#[tokio::test]
async fn a_refusal_that_says_not_run_is_true() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let targets =
        [fleet.start_backend(1, "a1", WORK).await?, fleet.start_backend(2, "a1", WORK).await?];
    targets.iter().for_each(|target| target.set_mode(BackendMode::Shedding));
    fleet.start(0, "a1")?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    for number in 0..10 {
        let id = format!("id-{number}");
        let reply = request(home, Method::POST, "/write/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 503);
        assert!(!reply.header("retry-after").is_empty());
    }
    assert_eq!(targets.iter().map(|target| target.run_count()).sum::<u32>(), 0);
    Ok(())
}

#[tokio::test]
async fn requests_that_may_repeat_survive_gray_backend_servers() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let gray = fleet.start_backend(1, "a1", WORK).await?;
    let _sound = fleet.start_backend(2, "a1", WORK).await?;
    fleet.start(0, "a1")?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    for (round, manner) in
        [BackendMode::Failing, BackendMode::LosingResponses, BackendMode::WrongRequestId]
            .into_iter()
            .enumerate()
    {
        gray.set_mode(manner);
        for number in 0..10 {
            let id = format!("id-{round}-{number}");
            let reply = request(home, Method::GET, "/read/", &id, KEY).await?;
            assert_eq!(reply.status.as_u16(), 200, "{manner:?}");
        }
    }
    // One failure is enough to avoid it; most requests went elsewhere at once.
    assert!(gray.run_count() < 15, "{} of 30 went to the gray one", gray.run_count());
    Ok(())
}

#[tokio::test]
async fn a_withdrawn_key_stops_working_on_every_vm() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let _target = fleet.start_backend(1, "a1", WORK).await?;
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
        let refused = || async {
            let reply = request(address, Method::GET, "/read/", "id-1", KEY).await;
            reply.is_ok_and(|reply| reply.status.as_u16() == 401)
        };
        assert!(wait_until(IN_FORCE, refused).await, "vm-{vm} still takes the key");
    }
    Ok(())
}

#[tokio::test]
async fn a_leaving_backend_server_gets_nothing_new() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let leaving = fleet.start_backend(1, "a1", WORK).await?;
    let gone = fleet.start_backend(2, "a1", WORK).await?;
    let _stays = fleet.start_backend(3, "a1", WORK).await?;
    fleet.start(0, "a1")?;
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    fleet.register_backend(1, "a1", leaving.address(), "draining");
    fleet.store.delete_row("servers", "i-2");
    tokio::time::sleep(IN_FORCE).await;
    let before = leaving.run_count() + gone.run_count();
    for number in 0..30 {
        let address = if number % 2 == 0 { home } else { fleet.caller_address(1) };
        let id = format!("id-{number}");
        let reply = request(address, Method::GET, "/read/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 200);
    }
    assert_eq!(leaving.run_count() + gone.run_count(), before);
    Ok(())
}

#[tokio::test]
async fn another_vm_takes_over_from_a_home_that_is_killed() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let _target = fleet.start_backend(1, "a1", WORK).await?;
    for vm in 0..3 {
        fleet.start(vm, "a1")?;
    }
    for vm in 0..3 {
        fleet.wait_until_ready(vm, "a1").await?;
    }
    let home = fleet.wait_until_ready(0, "a1").await?;
    let index = (0..3).find(|vm| fleet.caller_address(*vm) == home).unwrap_or(0);
    fleet.store.set_mode(StoreMode::Unresponsive);
    fleet.processes[usize::from(index)].kill()?;
    let asked = (index + 1) % 3;
    let moved = || async {
        match fleet.resolve(asked, "a1").await {
            Some(address) if address != home => {
                let reply = request(address, Method::GET, "/read/", "id-1", KEY).await;
                reply.is_ok_and(|reply| reply.status.as_u16() == 200)
            }
            _ => false,
        }
    };
    assert!(wait_until(Duration::from_secs(4), moved).await, "no VM took over without the store");
    Ok(())
}

#[tokio::test]
async fn a_vm_that_starts_without_the_store_learns_from_the_others() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let _target = fleet.start_backend(1, "a1", WORK).await?;
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
async fn sigterm_cuts_no_request_and_moves_the_callers() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", Duration::from_millis(900)).await?;
    fleet.start(0, "a1")?;
    fleet.start(1, "a1")?;
    fleet.wait_until_ready(1, "a1").await?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    let index = usize::from(home != fleet.caller_address(0));
    let running = tokio::spawn(request(home, Method::POST, "/write/", "id-1", KEY));
    let begun = || async { target.run_count() > 0 };
    assert!(wait_until(Duration::from_secs(2), begun).await);
    fleet.processes[index].signal("TERM")?;
    assert_eq!(running.await??.status.as_u16(), 200);
    let other = 1 - index as u8;
    let moved = || async { fleet.resolve(other, "a1").await == Some(fleet.caller_address(other)) };
    assert!(wait_until(Duration::from_secs(2), moved).await);
    assert_eq!(fleet.readiness(index as u8).await, Some(503));
    // Callers that keep the old address are still served.
    let reply = request(home, Method::GET, "/read/", "id-2", KEY).await?;
    assert_eq!(reply.status.as_u16(), 200);
    assert!(fleet.processes[index].wait(Duration::from_secs(6)).await?, "it ended with an error");
    Ok(())
}

#[tokio::test]
async fn a_failed_request_is_found_in_the_log_by_its_id() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", WORK).await?;
    fleet.start(0, "a1")?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    target.set_mode(BackendMode::Failing);
    request(home, Method::POST, "/write/", "failed-id", KEY).await?;
    request(home, Method::GET, "/read/", "refused-id", "wrong").await?;
    let written = || async {
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
    assert!(wait_until(Duration::from_secs(3), written).await, "{}", fleet.log(0));
    assert!(!fleet.log(0).contains(KEY), "a key is in the log");
    Ok(())
}

#[tokio::test]
async fn a_log_that_nobody_reads_delays_no_request() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", WORK).await?;
    fleet.start_with_unread_stdout(0, "a1")?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    // Each refusal is a line of 200 bytes or more; a pipe holds 64 KB.
    for number in 0..600 {
        let id = format!("refused-{number}");
        let reply = request(home, Method::GET, "/read/", &id, "wrong").await?;
        assert_eq!(reply.status.as_u16(), 401);
    }
    let start = std::time::Instant::now();
    let reply = request(home, Method::GET, "/read/", "id-1", KEY).await?;
    assert_eq!((reply.status.as_u16(), target.run_count()), (200, 1));
    assert!(start.elapsed() < Duration::from_secs(1), "it took {:?}", start.elapsed());
    fleet.processes[0].signal("TERM")?;
    assert!(fleet.processes[0].wait(Duration::from_secs(6)).await?, "it ended with an error");
    Ok(())
}

#[tokio::test]
async fn a_request_whose_caller_has_gone_is_cancelled_at_its_backend_server() -> anyhow::Result<()>
{
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let target = fleet.start_backend(1, "a1", WORK).await?;
    target.set_mode(BackendMode::Hanging);
    fleet.start(0, "a1")?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    let caller = tokio::spawn(request(home, Method::GET, "/read/", "id-1", KEY));
    let begun = || async { target.in_flight() == 1 };
    assert!(wait_until(Duration::from_secs(2), begun).await);
    caller.abort();
    let ended = || async { target.in_flight() == 0 };
    assert!(wait_until(Duration::from_millis(500), ended).await, "it still works on the request");
    Ok(())
}

#[tokio::test]
async fn a_request_never_runs_at_an_address_that_another_backend_server_has() -> anyhow::Result<()>
{
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let other = GatewayBackend::serve(fleet.bind_backend(1).await?, "i-9", WORK)?;
    fleet.register_backend(1, "a1", other.address(), "ready");
    let sound = fleet.start_backend(2, "a1", WORK).await?;
    fleet.start(0, "a1")?;
    let home = fleet.wait_until_ready(0, "a1").await?;
    for number in 0..10 {
        let id = format!("id-{number}");
        let reply = request(home, Method::POST, "/write/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 200);
    }
    assert_eq!((other.run_count(), sound.run_count()), (0, 10));
    Ok(())
}

#[tokio::test]
async fn a_request_that_kills_backend_servers_is_refused_after_two() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    fleet.write_config(&[KEY]);
    let mut targets = Vec::new();
    for number in 1..=5 {
        targets.push(fleet.start_backend(number, "a1", WORK).await?);
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
        // The other VM is told by a datagram.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let dead = targets.iter().filter(|target| target.run_count() > 0).count();
    assert!((1..=2).contains(&dead), "{dead} backend servers died");
    Ok(())
}
