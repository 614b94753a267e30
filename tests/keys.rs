//! Guards against keys that leave the VM that received them, withdrawn keys that keep working, and
//! VMs that serve keyed routes although neither the store nor peers confirm their configuration.

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

/// Serializes the tests, since each fleet has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());
/// Timeout for awaited conditions; generous, since machines differ in speed.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which a withdrawn key must stop working on every VM, and maximum age of an
/// unconfirmed configuration.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

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

fn is_refused(verdict: &ResponseKind, reason: &str) -> bool {
    matches!(verdict, ResponseKind::Refused { kind, outcome } if kind == reason && outcome == "not-run")
}

async fn switch_platform(fleet: &Fleet, refuse: bool) -> anyhow::Result<()> {
    let reply = fleet.control(fleet.platform_control_address(), json!({"refuse": refuse})).await?;
    ensure!(reply.status == 200, "{reply:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_never_leaves_the_vm_that_received_it() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    let idempotency_key = "made-by-the-caller";
    for vm in 0..4 {
        let mut caller = Caller::new(fleet.caller_address(vm));
        for target in ["/manus/known-text", "/fri/known-text", "/sluten/known-text"] {
            send(&mut caller, KEY, target).await?;
        }
        let headers = [("papayareel-key", KEY), ("idempotency-key", idempotency_key)];
        caller.send(&Method::POST, "/sandning/known-text", &headers, "words").await?;
        // Refused requests are the most likely to be logged.
        send(&mut caller, &format!("{KEY}-unknown"), "/manus/known-text").await?;
        let headers = [("papayareel-key", KEY), ("papayareel-deadline-ms", "soon")];
        caller.send(&Method::POST, "/manus/known-text", &headers, "words").await?;
        // A `connection` header that declares the key's header as hop-by-hop; the key must still
        // not be forwarded.
        let headers = [("papayareel-key", KEY), ("connection", "papayareel-key, x-organisation")];
        caller.send(&Method::POST, "/manus/known-text", &headers, "words").await?;
    }
    ensure!(
        fleet.any_received("known-text").await?,
        "the backend servers do not report what they received"
    );
    ensure!(!fleet.any_received(KEY).await?, "a backend server received the key");
    ensure!(
        !fleet.any_received("papayareel-key").await?,
        "a backend server received the key's header"
    );
    for entry in std::fs::read_dir(fleet.dir())? {
        let path = entry?.path();
        let text = String::from_utf8_lossy(&std::fs::read(&path)?).into_owned();
        ensure!(!text.contains(KEY), "{} contains the key", path.display());
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_do_not_contain_the_key() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
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
        ensure!(!text.contains(KEY), "the metrics of VM {vm} contain the key: {text}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_key_stops_working_on_every_vm() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
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
    let mut rounds_after = 0;
    // As many rounds as fit before the limit, and three after it, all on the open connections.
    while rounds_after < 3 {
        let is_over = accepted.elapsed() > PROPAGATION_LIMIT;
        for (vm, caller) in callers.iter_mut().enumerate() {
            let (_, verdict) = send(caller, KEY_TO_WITHDRAW, "/manus/withdrawn").await?;
            let stopped = is_refused(&verdict, "key-withdrawn")
                || is_refused(&verdict, "stale-configuration");
            ensure!(stopped || !is_over, "VM {vm} after {:?}: {verdict:?}", accepted.elapsed());
        }
        rounds_after += u32::from(is_over);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let start = Instant::now();
    for caller in &mut callers {
        while !is_refused(
            &send(caller, KEY_TO_WITHDRAW, "/manus/withdrawn").await?.1,
            "key-withdrawn",
        ) {
            ensure!(start.elapsed() < TIMEOUT, "a VM does not refuse the key as withdrawn");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let (_, verdict) = send(caller, KEY, "/manus/other").await?;
        ensure!(verdict == ResponseKind::Complete, "the organisation's other key: {verdict:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_vm_without_store_and_peers_refuses_keyed_routes() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    // Without the store, a fleet whose VMs hear each other keeps serving.
    switch_platform(&fleet, true).await?;
    let outage_start = Instant::now();
    let mut callers: Vec<Caller> = (0..4).map(|vm| Caller::new(fleet.caller_address(vm))).collect();
    let mut served = [0; 4];
    while outage_start.elapsed() < 2 * PROPAGATION_LIMIT || served.iter().any(|s| *s < 20) {
        ensure!(outage_start.elapsed() < TIMEOUT, "without the store the VMs served {served:?}");
        for (vm, caller) in callers.iter_mut().enumerate() {
            let (_, verdict) = send(caller, KEY, "/manus/away").await?;
            // Counted once every confirmation from the store has expired.
            let confirmations_expired =
                outage_start.elapsed() > PROPAGATION_LIMIT + Duration::from_secs(1);
            served[vm] += u32::from(confirmations_expired && verdict == ResponseKind::Complete);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    for vm in 1..4 {
        fleet.vms[vm].as_ref().context("a VM does not run")?.signal("STOP")?;
    }
    // A peer stops counting as heard 3 s after its last message.
    tokio::time::sleep(PROPAGATION_LIMIT + Duration::from_secs(1)).await;
    let mut caller = Caller::new(fleet.caller_address(0));
    for _ in 0..20 {
        let (reply, verdict) = send(&mut caller, KEY, "/manus/alone").await?;
        ensure!(
            is_refused(&verdict, "stale-configuration"),
            "the VM hears neither store nor peers, but {verdict:?}"
        );
        ensure!(reply.status == 503, "{reply:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    ensure!(!fleet.any_received("alone").await?, "a refused request ran");

    for vm in 1..4 {
        fleet.vms[vm].as_ref().context("a VM does not run")?.signal("CONT")?;
    }
    switch_platform(&fleet, false).await?;
    for vm in 0..4 {
        fleet.wait_until_serving(vm).await?;
    }
    Ok(())
}
