//! Guards against draining backend servers that keep receiving new work, and against requests that
//! fail because a backend server drains.

use std::time::{Duration, Instant};

use anyhow::ensure;
use config::{Change, Service};
use harness::{Caller, Fleet, KEY, Programs, ResponseKind, sample_layout};
use http::Method;
use serde_json::json;
use tokio::sync::Mutex;

/// Serializes the tests, since each fleet has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());
/// Time after the first draining notice from which a backend server must not receive new work,
/// plus a margin for requests that were in flight at that moment.
const DRAIN_LIMIT: Duration = Duration::from_millis(3_000 + 500);
/// Time after that in which no work may arrive.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Timeout for awaited conditions; generous, since a backend server counts as draining for 60 s
/// after its last draining notice.
const TIMEOUT: Duration = Duration::from_secs(240);
/// Backend servers of `manus` that drain: one of the two in the first region, and the only one in
/// the other.
const DRAINED: [usize; 2] = [0, 1];

async fn start() -> anyhow::Result<Fleet> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(4)).await?;
    fleet.apply_sample_config().await?;
    Ok(fleet)
}

/// Sends requests through every VM for a duration; each must get a complete response.
async fn send_traffic(fleet: &Fleet, duration: Duration) -> anyhow::Result<()> {
    let callers = (0..4).map(|vm| async move {
        let (mut caller, start) = (Caller::new(fleet.caller_address(vm)), Instant::now());
        let mut i = 0;
        while start.elapsed() < duration {
            let target = format!("/manus/{vm}-{i}");
            let headers = [("papayareel-key", KEY)];
            let reply = caller.send(&Method::POST, &target, &headers, target.clone()).await?;
            let verdict = ResponseKind::classify(&reply, &target, target.as_bytes());
            ensure!(verdict == ResponseKind::Complete, "{target}: {verdict:?}");
            i += 1;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    });
    futures::future::try_join_all(callers).await.map(drop)
}

/// Counts the requests for work that reached a backend server, whether it ran them or not.
async fn count_work(fleet: &Fleet, backend: usize) -> anyhow::Result<u64> {
    let counts = fleet.backend_report(backend).await?["counts"].clone();
    let count = |name: &str| counts[name].as_u64().unwrap_or(0);
    Ok(count("run") + count("drained") + count("shed"))
}

async fn wait_work(fleet: &Fleet, backend: usize) -> anyhow::Result<()> {
    let (start, before) = (Instant::now(), count_work(fleet, backend).await?);
    while count_work(fleet, backend).await? == before {
        ensure!(start.elapsed() < TIMEOUT, "backend server {backend} gets no work");
        send_traffic(fleet, Duration::from_millis(500)).await?;
    }
    Ok(())
}

/// Drains a backend server under traffic; returns the number of requests that it got too late.
async fn drain(fleet: &Fleet, backend: usize) -> anyhow::Result<u64> {
    wait_work(fleet, backend).await?;
    fleet.control(fleet.backend_control_address(backend), json!({"draining": true})).await?;
    send_traffic(fleet, DRAIN_LIMIT).await?;
    let before = count_work(fleet, backend).await?;
    send_traffic(fleet, OBSERVATION_TIME).await?;
    Ok(count_work(fleet, backend).await? - before)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_backend_server_gets_no_new_work_and_no_request_is_lost() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    let late = drain(&fleet, DRAINED[0]).await?;
    ensure!(late == 0, "b{} got {late} requests while draining", DRAINED[0]);
    // A replacement at the same address receives work again.
    fleet.control(fleet.backend_control_address(DRAINED[0]), json!({"draining": false})).await?;
    wait_work(&fleet, DRAINED[0]).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_region_serves_when_last_backend_server_of_a_region_drains() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    let late = drain(&fleet, DRAINED[1]).await?;
    ensure!(late == 0, "b{} got {late} requests while draining", DRAINED[1]);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn backend_server_drained_by_operator_gets_no_new_work() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    for backend in DRAINED {
        wait_work(&fleet, backend).await?;
        let mut backends = fleet.backend_specs("manus");
        backends[backend].draining = true;
        let service = Service { min_healthy: 0.3, backends };
        fleet.apply(2, vec![Change::PutService { id: "manus".into(), service }]).await?;
        // The change, which is the draining notice, is in force on every VM within 5 s.
        send_traffic(&fleet, Duration::from_secs(5) + DRAIN_LIMIT).await?;
        let before = count_work(&fleet, backend).await?;
        send_traffic(&fleet, OBSERVATION_TIME).await?;
        let after = count_work(&fleet, backend).await?;
        ensure!(after == before, "b{backend} got {} requests while draining", after - before);
    }
    Ok(())
}
