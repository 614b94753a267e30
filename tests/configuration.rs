//! Guards against accepted changes that are lost, applied twice, reverted or not applied on every
//! VM, when operators commit at the same time, responses of the store are lost, or a VM restarts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use config::{Change, ChangeSet, Organisation};
use harness::{Fleet, OPERATOR_TOKEN, Programs, sample_layout};
use kernel::prelude::*;
use operator::{Client, OperatorError};
use serde_json::json;
use tokio::task::JoinHandle;

/// Time within which an accepted change must be in force on every VM.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// More than the number of changes between two snapshots, so that a new VM reads a snapshot and
/// deltas.
const CHANGE_COUNT: usize = 70;
const RACE_ROUNDS: usize = 12;
/// Timeout for awaited conditions; generous, since machines differ in speed.
const TIMEOUT: Duration = Duration::from_secs(60);

fn put_organisation(name: &str) -> Vec<Change> {
    let rate = Rate { per_second: 10.0, burst: 10.0 };
    let organisation = Organisation { rate, weight: 1.0 };
    vec![Change::PutOrganisation { id: name.into(), organisation }]
}

fn change_set(base_version: ConfigVersion, name: &str) -> ChangeSet {
    ChangeSet {
        change_id: format!("change-{name}").into(),
        base_version,
        changes: put_organisation(name),
    }
}

/// Polls the configuration version of a VM, which must never decrease; returns the number of reads.
fn watch_version(
    vm: usize,
    address: std::net::SocketAddr,
    ended: Arc<AtomicBool>,
) -> JoinHandle<anyhow::Result<usize>> {
    tokio::spawn(async move {
        let (mut highest, mut reads) = (0, 0);
        while !ended.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            // A restarting VM does not respond for a while.
            let Ok(mut client) = Client::connect(address, OPERATOR_TOKEN).await else { continue };
            let Ok(config) = client.config().await else { continue };
            ensure!(
                config.version >= highest,
                "VM {vm} went from version {highest} to {}",
                config.version
            );
            (highest, reads) = (config.version, reads + 1);
        }
        Ok(reads)
    })
}

async fn version(fleet: &Fleet, vm: usize) -> anyhow::Result<ConfigVersion> {
    Ok(fleet.operator(vm).await?.config().await?.version)
}

/// Checks that every VM has the version after the propagation limit.
async fn check_in_force(fleet: &Fleet, expected: ConfigVersion) -> anyhow::Result<()> {
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    for vm in 0..fleet.vms.len() {
        let found = version(fleet, vm).await?;
        ensure!(
            found >= expected,
            "VM {vm} has version {found}, {expected} was accepted {PROPAGATION_LIMIT:?} ago"
        );
    }
    Ok(())
}

/// Commits two changes at the same time; exactly one must win and be applied on every VM.
async fn commit_concurrently(fleet: &Fleet) -> anyhow::Result<()> {
    let mut clients = [fleet.operator(0).await?, fleet.operator(1).await?];
    for round in 0..RACE_ROUNDS {
        let base = version(fleet, 0).await?.max(version(fleet, 1).await?);
        fleet.wait_for_version(base).await?;
        let names = [format!("race-{round}-a"), format!("race-{round}-b")];
        let sets = [change_set(base, &names[0]), change_set(base, &names[1])];
        let [first, second] = &mut clients;
        let (a, b) = tokio::join!(first.apply(&sets[0]), second.apply(&sets[1]));
        let (won, lost) = match (&a, &b) {
            (Ok(applied), Err(error)) => ((applied, &names[0]), (error, &names[1])),
            (Err(error), Ok(applied)) => ((applied, &names[1]), (error, &names[0])),
            _ => anyhow::bail!("exactly one change must win: {a:?} {b:?}"),
        };
        ensure!(won.0.version == base + 1 && !won.0.repeated, "{won:?}");
        let conflict = OperatorError::Conflict { base, current: base + 1 };
        ensure!(*lost.0 == conflict, "{:?}, expected {conflict:?}", lost.0);
        fleet.wait_for_version(base + 1).await?;
        for vm in 0..fleet.vms.len() {
            let config = fleet.operator(vm).await?.config().await?;
            ensure!(config.organisations.contains_key(&**won.1), "VM {vm} lost a change");
            ensure!(!config.organisations.contains_key(&**lost.1), "VM {vm} has a refused change");
        }
    }
    check_in_force(fleet, version(fleet, 0).await?).await
}

/// Loses responses of the store, so that outcomes of changes are unknown; a change that is sent
/// again with its id must be applied once.
async fn lose_responses(fleet: &Fleet) -> anyhow::Result<()> {
    let mut client = fleet.operator(2).await?;
    for round in 0..8 {
        let base = client.config().await?.version;
        let set = change_set(base, &format!("lost-{round}"));
        fleet
            .control(fleet.platform_control_address(), json!({"replies_lost": 1 + round % 3}))
            .await?;
        let start = Instant::now();
        let applied = loop {
            match client.apply(&set).await {
                Ok(applied) => break applied,
                Err(OperatorError::UnknownOutcome { .. } | OperatorError::Unavailable(_)) => {}
                Err(error) => return Err(error.into()),
            }
            ensure!(start.elapsed() < TIMEOUT, "round {round} has no outcome");
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        fleet.control(fleet.platform_control_address(), json!({"replies_lost": 0})).await?;
        ensure!(applied.version == base + 1, "{applied:?} on version {base}");
        for vm in 0..fleet.vms.len() {
            let again = fleet.operator(vm).await?.apply(&set).await?;
            ensure!(again.version == base + 1 && again.repeated, "through VM {vm}: {again:?}");
        }
        fleet.wait_for_version(base + 1).await?;
        ensure!(version(fleet, 2).await? == base + 1, "the change was applied twice");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_changes_are_applied_once_on_every_vm_and_persist() -> anyhow::Result<()> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let mut fleet = Fleet::start(programs, sample_layout(4)).await?;
    fleet.apply_sample_config().await?;
    let ended = Arc::new(AtomicBool::new(false));
    let watches: Vec<_> = (0..4)
        .map(|vm| watch_version(vm, fleet.operator_address(vm), Arc::clone(&ended)))
        .collect();

    commit_concurrently(&fleet).await?;
    lose_responses(&fleet).await?;

    // A VM restarts without local state while changes are committed.
    fleet.vms[3].take().context("the VM does not run")?.kill()?;
    for i in 0..CHANGE_COUNT {
        fleet.apply(i % 3, put_organisation(&format!("many-{i}"))).await?;
    }
    let before = version(&fleet, 0).await?;
    fleet.vms[3] = Some(fleet.start_vm(3)?);
    fleet.wait_until_reachable(fleet.caller_address(3), "/").await?;
    let found = version(&fleet, 3).await?;
    ensure!(found >= before, "the new VM serves with version {found}, {before} was accepted");
    let config = fleet.operator(3).await?.config().await?;
    let expected = fleet.operator(0).await?.config().await?;
    ensure!(config == expected, "the new VM has another configuration");
    fleet.wait_until_serving(3).await?;
    let last = fleet.apply(1, put_organisation("last")).await?;
    check_in_force(&fleet, last).await?;

    ended.store(true, Ordering::Relaxed);
    for (vm, watch) in watches.into_iter().enumerate() {
        ensure!(watch.await?? > 0, "the version of VM {vm} was never read");
    }
    Ok(())
}
