//! Guards against truncated responses that look complete to the caller, and against `not-run`
//! refusals of requests that ran, when a backend server cuts its response short or crashes.

use std::time::{Duration, Instant};

use anyhow::ensure;
use futures::future::join_all;
use harness::{Caller, Fleet, KEY, Programs, ResponseKind, sample_layout};
use http::Method;
use serde_json::json;
use tokio::sync::Mutex;

/// Serializes the tests, since each fleet has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());
const BODY_BYTES: &[usize] = &[1, 2, 1_000, 16_384, 65_536, 65_537, 70_000, 300_000];
/// Index of the backend server of `sandning` that is killed.
const KILLED: usize = 3;

async fn start() -> anyhow::Result<Fleet> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(2)).await?;
    fleet.apply_sample_config().await?;
    Ok(fleet)
}

/// Sends a request and judges the response; `None` if the connection failed, which shows the caller
/// that the response is incomplete.
async fn send(
    fleet: &Fleet,
    vm: usize,
    target: &str,
    idempotency_key: Option<&str>,
) -> Option<ResponseKind> {
    let mut headers = vec![("papayareel-key", KEY), ("papayareel-deadline-ms", "10000")];
    headers.extend(idempotency_key.map(|key| ("idempotency-key", key)));
    let mut caller = Caller::new(fleet.caller_address(vm));
    let reply = caller.send(&Method::POST, target, &headers, target.to_owned()).await.ok()?;
    Some(ResponseKind::classify(&reply, target, target.as_bytes()))
}

fn is_refused(verdict: &ResponseKind, expected: &str) -> bool {
    matches!(verdict, ResponseKind::Refused { outcome, .. } if outcome == expected)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_body_never_looks_complete() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    let (prefix, _) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    for vm in 0..2 {
        for length in BODY_BYTES {
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
        for length in BODY_BYTES {
            let target = format!("/manus/cut?bytes={length}");
            let verdict = send(&fleet, vm, &target, None).await;
            let is_valid =
                verdict.as_ref().is_none_or(|v| matches!(v, ResponseKind::Refused { .. }));
            ensure!(is_valid, "{length} bytes through {vm}: {verdict:?}");

            let target = format!("/sandning/cut?bytes={length}");
            let key = format!("{prefix}cut-{length}-{vm}");
            for attempt in 0..2 {
                let verdict = send(&fleet, vm, &target, Some(&key)).await;
                let ran = fleet.run_count(&key).await?;
                ensure!(ran <= 1, "{key} ran {ran} times");
                // Ejections may leave no free slot, so that the request does not run.
                let is_valid = verdict.as_ref().is_none_or(|v| {
                    is_refused(v, "unknown") || (ran == 0 && is_refused(v, "not-run"))
                });
                ensure!(is_valid, "attempt {attempt}, {length} bytes through {vm}: {verdict:?}");
            }
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashed_backend_server_causes_no_wrong_response_and_no_second_run() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let mut fleet = start().await?;
    for backend in [KILLED, 0] {
        fleet.control(fleet.backend_control_address(backend), json!({"stall": true})).await?;
    }
    let (prefix, _) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    let keys: Vec<String> = (0..12).map(|i| format!("{prefix}dying-{i}")).collect();
    let mut killed: Vec<_> = Vec::new();
    let mut rest = Vec::new();
    for (i, backend) in fleet.backends.drain(..).enumerate() {
        if i == KILLED || i == 0 { killed.push(backend) } else { rest.push(backend) }
    }
    let non_idempotent = join_all(keys.iter().enumerate().map(|(i, key)| {
        let target = format!("/sandning/dying-{i}");
        let fleet = &fleet;
        async move { send(fleet, i % 2, &target, Some(key)).await }
    }));
    let idempotent = join_all((0..12).map(|i| {
        let target = format!("/manus/dying-{i}");
        let fleet = &fleet;
        async move { send(fleet, i % 2, &target, None).await }
    }));
    let kill = async {
        let start = Instant::now();
        while fleet.backend_report(KILLED).await?["runs"]
            .as_object()
            .is_none_or(|runs| runs.is_empty())
        {
            ensure!(
                start.elapsed() < Duration::from_secs(8),
                "backend server {KILLED} runs none of the requests"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // Time for the remaining requests to reach the other backend servers.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let runs = fleet.backend_report(KILLED).await?["runs"].clone();
        for backend in &mut killed {
            backend.kill()?;
        }
        anyhow::Ok(runs)
    };
    let (non_idempotent, idempotent, runs) = tokio::join!(non_idempotent, idempotent, kill);
    let runs = runs?;
    for verdict in &idempotent {
        let is_valid =
            matches!(verdict, Some(ResponseKind::Complete | ResponseKind::Refused { .. }));
        ensure!(is_valid, "an idempotent request: {verdict:?}");
    }
    for (key, verdict) in keys.iter().zip(non_idempotent) {
        let mut elsewhere = 0;
        for backend in [4, 5] {
            elsewhere += fleet.backend_report(backend).await?["runs"][key].as_u64().unwrap_or(0);
        }
        let there = runs[key].as_u64().unwrap_or(0);
        ensure!(
            there + elsewhere <= 1,
            "{key} ran {there} times at the killed backend server and {elsewhere} times elsewhere"
        );
        match verdict {
            Some(ResponseKind::Complete) => {
                ensure!(elsewhere == 1, "{key} got a response, but did not run")
            }
            Some(ResponseKind::Refused { outcome, .. }) => {
                ensure!(
                    outcome == "unknown" || there + elsewhere == 0,
                    "{key} ran, but its outcome is {outcome}"
                );
            }
            verdict => anyhow::bail!("{key}: {verdict:?}"),
        }
    }
    drop(rest);
    Ok(())
}
