//! Guards against responses that look complete although a backend server broke them off, and
//! against untrue refusals of what it had begun.

use std::time::{Duration, Instant};

use anyhow::ensure;
use futures::future::join_all;
use harness::{Caller, Fleet, KEY, Programs, ResponseKind, sample_layout};
use http::Method;
use serde_json::json;
use tokio::sync::Mutex;

/// One fleet at a time, since each has several processes.
static ONE: Mutex<()> = Mutex::const_new(());
const LENGTHS: &[usize] = &[1, 2, 1_000, 16_384, 65_536, 65_537, 70_000, 300_000];
/// The backend server of `sandning` that dies.
const DYING: usize = 3;

async fn start() -> anyhow::Result<Fleet> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(2)).await?;
    fleet.apply_sample_config().await?;
    Ok(fleet)
}

/// The verdict on the response; none if the connection showed that it is not complete.
async fn send(fleet: &Fleet, vm: usize, target: &str, once: Option<&str>) -> Option<ResponseKind> {
    let mut headers = vec![("papayareel-key", KEY), ("papayareel-deadline-ms", "10000")];
    headers.extend(once.map(|once| ("idempotency-key", once)));
    let mut caller = Caller::new(fleet.caller_address(vm));
    let reply = caller.send(&Method::POST, target, &headers, target.to_owned()).await.ok()?;
    Some(ResponseKind::classify(&reply, target, target.as_bytes()))
}

fn is_refused(verdict: &ResponseKind, due: &str) -> bool {
    matches!(verdict, ResponseKind::Refused { outcome, .. } if outcome == due)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_is_cut_short_never_looks_complete() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    let (prefix, _) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    for vm in 0..2 {
        for length in LENGTHS {
            let target = format!("/manus/whole?bytes={length}");
            let verdict = send(&fleet, vm, &target, None).await;
            ensure!(
                verdict == Some(ResponseKind::Complete),
                "{length} bytes through {vm}: {verdict:?}"
            );
        }
    }
    for backend in 0..fleet.backends.len() {
        fleet.control(fleet.backend_control_address(backend), json!({"cut_body": true})).await?;
    }
    for vm in 0..2 {
        for length in LENGTHS {
            let target = format!("/manus/cut?bytes={length}");
            let verdict = send(&fleet, vm, &target, None).await;
            let good = verdict.as_ref().is_none_or(|v| matches!(v, ResponseKind::Refused { .. }));
            ensure!(good, "{length} bytes through {vm}: {verdict:?}");

            let target = format!("/sandning/cut?bytes={length}");
            let once = format!("{prefix}cut-{length}-{vm}");
            for attempt in 0..2 {
                let verdict = send(&fleet, vm, &target, Some(&once)).await;
                let ran = fleet.run_count(&once).await?;
                ensure!(ran <= 1, "{once} ran {ran} times");
                // Ejected servers may leave no place, so that it truly does not run.
                let good = verdict.as_ref().is_none_or(|v| {
                    is_refused(v, "unknown") || (ran == 0 && is_refused(v, "not-run"))
                });
                ensure!(good, "attempt {attempt}, {length} bytes through {vm}: {verdict:?}");
            }
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_that_dies_gives_no_wrong_answer_and_no_second_run() -> anyhow::Result<()>
{
    let _one = ONE.lock().await;
    let mut fleet = start().await?;
    for backend in [DYING, 0] {
        fleet.control(fleet.backend_control_address(backend), json!({"stall": true})).await?;
    }
    let (prefix, _) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    let keys: Vec<String> = (0..12).map(|i| format!("{prefix}dying-{i}")).collect();
    let mut dying: Vec<_> = Vec::new();
    let mut rest = Vec::new();
    for (i, backend) in fleet.backends.drain(..).enumerate() {
        if i == DYING || i == 0 { dying.push(backend) } else { rest.push(backend) }
    }
    let once = join_all(keys.iter().enumerate().map(|(i, key)| {
        let target = format!("/sandning/dying-{i}");
        let fleet = &fleet;
        async move { send(fleet, i % 2, &target, Some(key)).await }
    }));
    let many = join_all((0..12).map(|i| {
        let target = format!("/manus/dying-{i}");
        let fleet = &fleet;
        async move { send(fleet, i % 2, &target, None).await }
    }));
    let kill = async {
        let start = Instant::now();
        while fleet.backend_report(DYING).await?["runs"]
            .as_object()
            .is_none_or(|runs| runs.is_empty())
        {
            ensure!(start.elapsed() < Duration::from_secs(8), "it runs none of the requests");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // The rest of the requests spreads over the others.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let runs = fleet.backend_report(DYING).await?["runs"].clone();
        for backend in &mut dying {
            backend.kill()?;
        }
        anyhow::Ok(runs)
    };
    let (once, many, runs) = tokio::join!(once, many, kill);
    let runs = runs?;
    for verdict in &many {
        let good = matches!(verdict, Some(ResponseKind::Complete | ResponseKind::Refused { .. }));
        ensure!(good, "an idempotent request: {verdict:?}");
    }
    for (key, verdict) in keys.iter().zip(once) {
        let mut elsewhere = 0;
        for backend in [4, 5] {
            elsewhere += fleet.backend_report(backend).await?["runs"][key].as_u64().unwrap_or(0);
        }
        let there = runs[key].as_u64().unwrap_or(0);
        ensure!(there + elsewhere <= 1, "{key} ran {there} times there, {elsewhere} elsewhere");
        match verdict {
            Some(ResponseKind::Complete) => {
                ensure!(elsewhere == 1, "{key} has an answer and did not run")
            }
            Some(ResponseKind::Refused { outcome, .. }) => {
                ensure!(outcome == "unknown" || there + elsewhere == 0, "{key} ran: {outcome}");
            }
            verdict => anyhow::bail!("{key}: {verdict:?}"),
        }
    }
    drop(rest);
    Ok(())
}
