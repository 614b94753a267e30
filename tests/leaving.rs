//! Guards against a leaving backend server that goes on getting work, and against requests that
//! are lost because it leaves.

use std::time::{Duration, Instant};

use anyhow::ensure;
use config::{Change, Service};
use harness::{Caller, Fleet, KEY, Programs, ResponseKind, sample_layout};
use http::Method;
use serde_json::json;
use tokio::sync::Mutex;

/// One fleet at a time, since each has several processes.
static ONE: Mutex<()> = Mutex::const_new(());
/// Time after the first sign from which a leaving backend server gets nothing new, and a rest for
/// what was on its way at that moment.
const LEFT: Duration = Duration::from_millis(3_000 + 500);
/// Time for which nothing may arrive after that.
const QUIET: Duration = Duration::from_secs(5);
/// Generous limit for what has to come about; a backend server that was leaving is believed to be
/// back 60 s after the last sign.
const LIMIT: Duration = Duration::from_secs(240);
/// Backend servers of `manus` that leave: one in the region with two, and the one in the other.
const LEAVING: [usize; 2] = [0, 1];

async fn start() -> anyhow::Result<Fleet> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(4)).await?;
    fleet.apply_sample_config().await?;
    Ok(fleet)
}

/// Sends through every VM until the time is over; every request has to be answered.
async fn traffic(fleet: &Fleet, time: Duration) -> anyhow::Result<()> {
    let streams = (0..4).map(|vm| async move {
        let (mut caller, start) = (Caller::new(fleet.caller_address(vm)), Instant::now());
        let mut i = 0;
        while start.elapsed() < time {
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
    futures::future::try_join_all(streams).await.map(drop)
}

/// Requests for work that reached a backend server, whether it ran them or not.
async fn work(fleet: &Fleet, backend: usize) -> anyhow::Result<u64> {
    let counts = fleet.backend_report(backend).await?["counts"].clone();
    let count = |name: &str| counts[name].as_u64().unwrap_or(0);
    Ok(count("run") + count("drained") + count("shed"))
}

async fn wait_work(fleet: &Fleet, backend: usize) -> anyhow::Result<()> {
    let (start, before) = (Instant::now(), work(fleet, backend).await?);
    while work(fleet, backend).await? == before {
        ensure!(start.elapsed() < LIMIT, "backend server {backend} gets no work");
        traffic(fleet, Duration::from_millis(500)).await?;
    }
    Ok(())
}

/// Has a backend server drain under traffic; returns the work that it got too late.
async fn drain(fleet: &Fleet, leaving: usize) -> anyhow::Result<u64> {
    wait_work(fleet, leaving).await?;
    fleet.control(fleet.backend_control_address(leaving), json!({"draining": true})).await?;
    traffic(fleet, LEFT).await?;
    let before = work(fleet, leaving).await?;
    traffic(fleet, QUIET).await?;
    Ok(work(fleet, leaving).await? - before)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_backend_server_gets_nothing_new_and_no_request_is_lost() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    let late = drain(&fleet, LEAVING[0]).await?;
    ensure!(late == 0, "b{} got {late} requests while leaving", LEAVING[0]);
    // One that was replaced at its address takes work again.
    fleet.control(fleet.backend_control_address(LEAVING[0]), json!({"draining": false})).await?;
    wait_work(&fleet, LEAVING[0]).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_other_region_serves_when_the_last_backend_server_of_one_drains() -> anyhow::Result<()>
{
    let _one = ONE.lock().await;
    let fleet = start().await?;
    let late = drain(&fleet, LEAVING[1]).await?;
    ensure!(late == 0, "b{} got {late} requests while leaving", LEAVING[1]);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_that_the_operator_drains_gets_nothing_new() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    for leaving in LEAVING {
        wait_work(&fleet, leaving).await?;
        let mut backends = fleet.backend_specs("manus");
        backends[leaving].draining = true;
        let service = Service { min_healthy: 0.3, backends };
        fleet.apply(2, vec![Change::PutService { id: "manus".into(), service }]).await?;
        // In force everywhere after 5 s at the latest, which is the first sign to the last VM.
        traffic(&fleet, Duration::from_secs(5) + LEFT).await?;
        let before = work(&fleet, leaving).await?;
        traffic(&fleet, QUIET).await?;
        let after = work(&fleet, leaving).await?;
        ensure!(after == before, "b{leaving} got {} requests while leaving", after - before);
    }
    Ok(())
}
