//! Guards against a request that takes down one backend server after the other, because its
//! caller sends it again through whichever VM.

use std::time::{Duration, Instant};

use anyhow::ensure;
use harness::{Caller, Fleet, KEY, Programs, RESTRICTED_KEY, ResponseKind, sample_layout};
use http::Method;
use serde_json::json;

/// Backend servers that one request may take down.
const MOST_CRASHES: u64 = 2;
/// Generous, since machines differ.
const LIMIT: Duration = Duration::from_secs(60);
const WORD: &str = "boom";

async fn send(fleet: &Fleet, vm: usize, key: &str, target: &str) -> anyhow::Result<ResponseKind> {
    let headers = [("papayareel-key", key), ("papayareel-deadline-ms", "5000")];
    let mut caller = Caller::new(fleet.caller_address(vm));
    let reply = caller.send(&Method::POST, target, &headers, target.to_owned()).await?;
    Ok(ResponseKind::classify(&reply, target, target.as_bytes()))
}

async fn crashes(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut count = 0;
    for backend in 0..fleet.backends.len() {
        count += fleet.backend_report(backend).await?["counts"]["crashes"]
            .as_u64()
            .unwrap_or(u64::MAX / 64);
    }
    Ok(count)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_backend_servers_takes_down_two_at_most() -> anyhow::Result<()> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(4)).await?;
    fleet.apply_sample_config().await?;
    for backend in 0..fleet.backends.len() {
        fleet.control(fleet.backend_control_address(backend), json!({"crash_word": WORD})).await?;
    }
    // Sent again through all VMs, and so through both regions, until it is refused for good.
    let target = format!("/manus/{WORD}");
    let start = Instant::now();
    let mut refused = 0;
    let mut vm = 0;
    while refused < fleet.vms.len() {
        ensure!(start.elapsed() < LIMIT, "the request is not refused by every VM");
        match send(&fleet, vm, KEY, &target).await? {
            ResponseKind::Refused { kind, outcome } if outcome == "not-run" => {
                refused = if kind == "crash-suspect" { refused + 1 } else { 0 };
            }
            ResponseKind::Refused { .. } => refused = 0,
            verdict => anyhow::bail!("{verdict:?}"),
        }
        vm = (vm + 1) % fleet.vms.len();
    }
    let count = crashes(&fleet).await?;
    ensure!(count <= MOST_CRASHES, "the request took down {count} backend servers");
    ensure!(count > 0, "the request never ran, so that nothing was tried");
    // Others of the same organisation and route, and other organisations, go on.
    let start = Instant::now();
    for (i, key) in [KEY, RESTRICTED_KEY].iter().cycle().take(20).enumerate() {
        let target = format!("/manus/other-{i}");
        while send(&fleet, i % fleet.vms.len(), key, &target).await? != ResponseKind::Complete {
            ensure!(start.elapsed() < LIMIT, "{target} is not served");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
