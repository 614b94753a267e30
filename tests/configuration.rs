//! Guards against changes that get lost, take effect twice, go back or reach some VMs only.

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

/// Time after which an accepted change is in force on every VM.
const IN_FORCE: Duration = Duration::from_secs(5);
/// More changes than lie between two snapshots, so that a new VM reads a snapshot and deltas.
const CHANGES: usize = 70;
const RACES: usize = 12;
/// Generous limit for what has to come about.
const LIMIT: Duration = Duration::from_secs(60);

fn put(name: &str) -> Vec<Change> {
    let rate = Rate { per_second: 10.0, burst: 10.0 };
    let organisation = Organisation { rate, weight: 1.0 };
    vec![Change::PutOrganisation { id: name.into(), organisation }]
}

fn set(base_version: ConfigVersion, name: &str) -> ChangeSet {
    ChangeSet { change_id: format!("change-{name}").into(), base_version, changes: put(name) }
}

/// Reads the version of a VM again and again; it may never go down.
fn watch(
    vm: usize,
    address: std::net::SocketAddr,
    ended: Arc<AtomicBool>,
) -> JoinHandle<anyhow::Result<usize>> {
    tokio::spawn(async move {
        let (mut highest, mut reads) = (0, 0);
        while !ended.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            // The VM that is started anew does not answer for a while.
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

/// Every VM has the version within the time, from now on.
async fn in_force(fleet: &Fleet, due: ConfigVersion) -> anyhow::Result<()> {
    tokio::time::sleep(IN_FORCE).await;
    for vm in 0..fleet.vms.len() {
        let found = version(fleet, vm).await?;
        ensure!(found >= due, "VM {vm} has version {found}, {due} was accepted {IN_FORCE:?} ago");
    }
    Ok(())
}

async fn race(fleet: &Fleet) -> anyhow::Result<()> {
    let mut clients = [fleet.operator(0).await?, fleet.operator(1).await?];
    for round in 0..RACES {
        let base = version(fleet, 0).await?.max(version(fleet, 1).await?);
        fleet.wait_for_version(base).await?;
        let names = [format!("race-{round}-a"), format!("race-{round}-b")];
        let sets = [set(base, &names[0]), set(base, &names[1])];
        let [first, second] = &mut clients;
        let (a, b) = tokio::join!(first.apply(&sets[0]), second.apply(&sets[1]));
        let (won, lost) = match (&a, &b) {
            (Ok(applied), Err(error)) => ((applied, &names[0]), (error, &names[1])),
            (Err(error), Ok(applied)) => ((applied, &names[1]), (error, &names[0])),
            _ => anyhow::bail!("one winner is due: {a:?} {b:?}"),
        };
        ensure!(won.0.version == base + 1 && !won.0.repeated, "{won:?}");
        let conflict = OperatorError::Conflict { base, current: base + 1 };
        ensure!(*lost.0 == conflict, "{:?} in place of {conflict:?}", lost.0);
        fleet.wait_for_version(base + 1).await?;
        for vm in 0..fleet.vms.len() {
            let config = fleet.operator(vm).await?.config().await?;
            ensure!(config.organisations.contains_key(&**won.1), "VM {vm} lost a change");
            ensure!(!config.organisations.contains_key(&**lost.1), "VM {vm} has a refused change");
        }
    }
    in_force(fleet, version(fleet, 0).await?).await
}

/// The outcome of a change may be unknown; asking again with its id gives it one effect.
async fn lose_replies(fleet: &Fleet) -> anyhow::Result<()> {
    let mut client = fleet.operator(2).await?;
    for round in 0..8 {
        let base = client.config().await?.version;
        let set = set(base, &format!("lost-{round}"));
        fleet
            .control(fleet.platform_control_address(), json!({"replies_lost": 1 + round % 3}))
            .await?;
        let start = Instant::now();
        let applied = loop {
            match client.apply(&set).await {
                Ok(applied) => break applied,
                Err(OperatorError::Uncertain { .. } | OperatorError::Unavailable(_)) => {}
                Err(error) => return Err(error.into()),
            }
            ensure!(start.elapsed() < LIMIT, "round {round} has no outcome");
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        fleet.control(fleet.platform_control_address(), json!({"replies_lost": 0})).await?;
        ensure!(applied.version == base + 1, "{applied:?} on version {base}");
        for vm in 0..fleet.vms.len() {
            let again = fleet.operator(vm).await?.apply(&set).await?;
            ensure!(again.version == base + 1 && again.repeated, "through VM {vm}: {again:?}");
        }
        fleet.wait_for_version(base + 1).await?;
        ensure!(version(fleet, 2).await? == base + 1, "the change took effect twice");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_changes_have_one_effect_everywhere_and_stay() -> anyhow::Result<()> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let mut fleet = Fleet::start(programs, sample_layout(4)).await?;
    fleet.apply_sample_config().await?;
    let ended = Arc::new(AtomicBool::new(false));
    let watches: Vec<_> =
        (0..4).map(|vm| watch(vm, fleet.operator_address(vm), Arc::clone(&ended))).collect();

    race(&fleet).await?;
    lose_replies(&fleet).await?;

    // A VM that starts with nothing, while changes go on.
    fleet.vms[3].take().context("the VM does not run")?.kill()?;
    for i in 0..CHANGES {
        fleet.apply(i % 3, put(&format!("many-{i}"))).await?;
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
    let last = fleet.apply(1, put("last")).await?;
    in_force(&fleet, last).await?;

    ended.store(true, Ordering::Relaxed);
    for (vm, watch) in watches.into_iter().enumerate() {
        ensure!(watch.await?? > 0, "the version of VM {vm} was never read");
    }
    Ok(())
}
