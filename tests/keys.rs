//! Guards against keys that leave the VM they came to, withdrawn keys that go on working, and VMs
//! that serve keyed routes without knowing whether their configuration is the newest.

use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use config::{Change, digest_key};
use harness::{
    Caller, Fleet, HttpResponse, KEY, KEY_TO_WITHDRAW, Programs, ResponseKind, sample_layout,
    send_request,
};
use http::Method;
use serde_json::json;
use tokio::sync::Mutex;

/// One fleet at a time, since each has several processes.
static ONE: Mutex<()> = Mutex::const_new(());
/// Generous limit for what has to come about.
const LIMIT: Duration = Duration::from_secs(60);
/// Time after which a withdrawn key may not work on any VM, and longest life of a configuration
/// that nobody confirms.
const IN_FORCE: Duration = Duration::from_secs(5);

async fn start() -> anyhow::Result<Fleet> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let mut shape = sample_layout(4);
    shape.settings["log"] = json!({"level": "trace"});
    let fleet = Fleet::start(programs, shape).await?;
    fleet.apply_sample_config().await?;
    Ok(fleet)
}

async fn send(
    caller: &mut Caller,
    key: &str,
    target: &str,
) -> anyhow::Result<(HttpResponse, ResponseKind)> {
    let headers = [("papayareel-key", key)];
    let reply = caller.send(&Method::POST, target, &headers, "words").await?;
    let verdict = ResponseKind::classify(&reply, target, b"words");
    ensure!(!matches!(verdict, ResponseKind::Invalid(_)), "{verdict:?}");
    Ok((reply, verdict))
}

fn refused(verdict: &ResponseKind, due: &str) -> bool {
    matches!(verdict, ResponseKind::Refused { kind, outcome } if kind == due && outcome == "not-run")
}

async fn platform(fleet: &Fleet, refuse: bool) -> anyhow::Result<()> {
    let reply = fleet.control(fleet.platform_control_address(), json!({"refuse": refuse})).await?;
    ensure!(reply.status == 200, "{reply:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_never_leaves_the_vm_that_it_came_to() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    let once = "made-by-the-caller";
    for vm in 0..4 {
        let mut caller = Caller::new(fleet.caller_address(vm));
        for target in ["/manus/known-text", "/fri/known-text", "/sluten/known-text"] {
            send(&mut caller, KEY, target).await?;
        }
        let headers = [("papayareel-key", KEY), ("idempotency-key", once)];
        caller.send(&Method::POST, "/sandning/known-text", &headers, "words").await?;
        // Refused requests are what is logged most likely.
        send(&mut caller, &format!("{KEY}-unknown"), "/manus/known-text").await?;
        let headers = [("papayareel-key", KEY), ("papayareel-deadline-ms", "soon")];
        caller.send(&Method::POST, "/manus/known-text", &headers, "words").await?;
        // A header that tries to make the next hop take the key for its own.
        let headers = [("papayareel-key", KEY), ("connection", "papayareel-key, x-organisation")];
        caller.send(&Method::POST, "/manus/known-text", &headers, "words").await?;
    }
    ensure!(
        fleet.any_received("known-text").await?,
        "the question to the backend servers is broken"
    );
    ensure!(!fleet.any_received(KEY).await?, "a backend server received the key");
    ensure!(
        !fleet.any_received("papayareel-key").await?,
        "a backend server received the key's header"
    );
    for entry in std::fs::read_dir(fleet.dir())? {
        let path = entry?.path();
        let text = String::from_utf8_lossy(&std::fs::read(&path)?).into_owned();
        ensure!(!text.contains(KEY), "{} has the key", path.display());
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_are_served_without_the_key() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    for vm in 0..4 {
        let mut caller = Caller::new(fleet.caller_address(vm));
        send(&mut caller, KEY, "/manus/known-text").await?;
        send(&mut caller, &format!("{KEY}-unknown"), "/manus/known-text").await?;
        let metrics =
            send_request(fleet.admin_address(vm), &Method::GET, "/metrics", &[], "").await;
        let metrics = metrics.with_context(|| format!("VM {vm} serves no metrics"))?;
        ensure!(metrics.status == 200, "{metrics:?}");
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        ensure!(!text.contains(KEY), "the metrics of VM {vm} have the key: {text}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_working_on_every_vm() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    let mut callers: Vec<Caller> = (0..4).map(|vm| Caller::new(fleet.caller_address(vm))).collect();
    for caller in &mut callers {
        let (_, verdict) = send(caller, KEY_TO_WITHDRAW, "/manus/before").await?;
        ensure!(verdict == ResponseKind::Complete, "{verdict:?}");
    }
    let digest = digest_key(KEY_TO_WITHDRAW.as_bytes());
    let mut client = fleet.operator(3).await?;
    let base_version = client.config().await?.version;
    let changes = vec![Change::WithdrawKey { digest }];
    let set = config::ChangeSet { change_id: "withdraw-spare".into(), base_version, changes };
    client.apply(&set).await?;
    let accepted = Instant::now();
    let mut late = 0;
    // Three rounds on each open connection after the limit, and as many as fit before it.
    while late < 3 {
        let due = accepted.elapsed() > IN_FORCE;
        for (vm, caller) in callers.iter_mut().enumerate() {
            let (_, verdict) = send(caller, KEY_TO_WITHDRAW, "/manus/withdrawn").await?;
            let stopped =
                refused(&verdict, "key-withdrawn") || refused(&verdict, "stale-configuration");
            ensure!(stopped || !due, "VM {vm} after {:?}: {verdict:?}", accepted.elapsed());
        }
        late += u32::from(due);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let start = Instant::now();
    for caller in &mut callers {
        while !refused(&send(caller, KEY_TO_WITHDRAW, "/manus/withdrawn").await?.1, "key-withdrawn")
        {
            ensure!(start.elapsed() < LIMIT, "a VM does not name the reason");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let (_, verdict) = send(caller, KEY, "/manus/other").await?;
        ensure!(verdict == ResponseKind::Complete, "the organisation's other key: {verdict:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_a_vm_that_hears_neither_store_nor_peers_refuses_keyed_routes() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    // The store away, all VMs up: the fleet goes on serving.
    platform(&fleet, true).await?;
    let away = Instant::now();
    let mut callers: Vec<Caller> = (0..4).map(|vm| Caller::new(fleet.caller_address(vm))).collect();
    let mut served = [0; 4];
    while away.elapsed() < 2 * IN_FORCE || served.iter().any(|s| *s < 20) {
        ensure!(away.elapsed() < LIMIT, "with the store away the VMs served {served:?}");
        for (vm, caller) in callers.iter_mut().enumerate() {
            let (_, verdict) = send(caller, KEY, "/manus/away").await?;
            // Counted from the time at which every confirmation has run out.
            let late = away.elapsed() > IN_FORCE + Duration::from_secs(1);
            served[vm] += u32::from(late && verdict == ResponseKind::Complete);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    for vm in 1..4 {
        fleet.vms[vm].as_ref().context("a VM does not run")?.signal("STOP")?;
    }
    // 3 s after the last message the others do not count as heard any more.
    tokio::time::sleep(IN_FORCE + Duration::from_secs(1)).await;
    let mut caller = Caller::new(fleet.caller_address(0));
    for _ in 0..20 {
        let (reply, verdict) = send(&mut caller, KEY, "/manus/alone").await?;
        ensure!(refused(&verdict, "stale-configuration"), "alone, but {verdict:?}");
        ensure!(reply.status == 503, "{reply:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    ensure!(!fleet.any_received("alone").await?, "a refused request ran");

    for vm in 1..4 {
        fleet.vms[vm].as_ref().context("a VM does not run")?.signal("CONT")?;
    }
    platform(&fleet, false).await?;
    for vm in 0..4 {
        fleet.wait_until_serving(vm).await?;
    }
    Ok(())
}
