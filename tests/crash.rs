//! Guards against a request that crashes one backend server after another, because its caller
//! resends it through different VMs and regions.

use std::time::{Duration, Instant};

use anyhow::ensure;
use harness::{Caller, Fleet, KEY, Programs, RESTRICTED_KEY, ResponseKind, sample_layout};
use http::Method;
use serde_json::json;

/// Maximum number of backend servers that one request may crash.
const MAX_CRASHES: u64 = 2;
/// Timeout for awaited conditions; generous, since machines differ in speed.
const TIMEOUT: Duration = Duration::from_secs(60);
const CRASH_WORD: &str = "boom";

async fn send(fleet: &Fleet, vm: usize, key: &str, target: &str) -> anyhow::Result<ResponseKind> {
    let headers = [("papayareel-key", key), ("papayareel-deadline-ms", "5000")];
    let mut caller = Caller::new(fleet.caller_address(vm));
    let reply = caller.send(&Method::POST, target, &headers, target.to_owned()).await?;
    Ok(ResponseKind::classify(&reply, target, target.as_bytes()))
}

async fn count_crashes(fleet: &Fleet) -> anyhow::Result<u64> {
    let mut count = 0;
    for backend in 0..fleet.backends.len() {
        count += fleet.backend_report(backend).await?["counts"]["crashes"]
            .as_u64()
            .unwrap_or(u64::MAX / 64);
    }
    Ok(count)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_crashes_at_most_two_backend_servers() -> anyhow::Result<()> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(4)).await?;
    fleet.apply_sample_config().await?;
    for backend in 0..fleet.backends.len() {
        fleet
            .control(fleet.backend_control_address(backend), json!({"crash_word": CRASH_WORD}))
            .await?;
    }
    // Resent through all VMs, and thus through both regions, until every VM refuses it permanently.
    let target = format!("/manus/{CRASH_WORD}");
    let start = Instant::now();
    let mut refused = 0;
    let mut vm = 0;
    while refused < fleet.vms.len() {
        ensure!(start.elapsed() < TIMEOUT, "the request is not refused by every VM");
        match send(&fleet, vm, KEY, &target).await? {
            ResponseKind::Refused { kind, outcome } if outcome == "not-run" => {
                refused = if kind == "crash-suspect" { refused + 1 } else { 0 };
            }
            ResponseKind::Refused { .. } => refused = 0,
            verdict => anyhow::bail!("{verdict:?}"),
        }
        vm = (vm + 1) % fleet.vms.len();
    }
    let count = count_crashes(&fleet).await?;
    ensure!(count <= MAX_CRASHES, "the request crashed {count} backend servers");
    ensure!(count > 0, "the request never ran, so that the limit was not tested");
    // Other requests of the same organisation and route, and other organisations, are still served.
    let start = Instant::now();
    for (i, key) in [KEY, RESTRICTED_KEY].iter().cycle().take(20).enumerate() {
        let target = format!("/manus/other-{i}");
        while send(&fleet, i % fleet.vms.len(), key, &target).await? != ResponseKind::Complete {
            ensure!(start.elapsed() < TIMEOUT, "{target} is not served");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
