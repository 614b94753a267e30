//! Guards against requests that run twice, and against `not-run` outcomes of requests that did run,
//! when a caller resends a request with the same idempotency key through different VMs while
//! responses are lost, VMs are killed or paused, or the store fails.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Context, ensure};
use futures::future::join_all;
use harness::{Caller, Fleet, KEY, Programs, ResponseKind, sample_layout};
use http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Serializes the tests, since each fleet has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());
/// Indexes of the backend servers of the service `sandning`, which the tests use.
const SANDNING_BACKENDS: std::ops::Range<usize> = 3..6;
const LONG_DEADLINE: Duration = Duration::from_secs(20);
const SHORT_DEADLINE: Duration = Duration::from_millis(1500);
/// Number of idempotency keys in the random run.
const RANDOM_KEYS: usize = 60;
const SEED: u64 = 20;

async fn start() -> anyhow::Result<Fleet> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(4)).await?;
    fleet.apply_sample_config().await?;
    Ok(fleet)
}

fn target(key: &str) -> String {
    format!("/sandning/{}", key.replace('.', "-"))
}

/// Sends the request of a key through a VM; `None` if the connection failed, as when the VM is
/// killed.
async fn send(fleet: &Fleet, vm: usize, key: &str, deadline: Duration) -> Option<ResponseKind> {
    let deadline = deadline.as_millis().to_string();
    let headers =
        [("papayareel-key", KEY), ("idempotency-key", key), ("papayareel-deadline-ms", &*deadline)];
    let (target, body) = (target(key), format!("once {key}"));
    let mut caller = Caller::new(fleet.caller_address(vm));
    let reply = caller.send(&Method::POST, &target, &headers, body.clone()).await.ok()?;
    Some(ResponseKind::classify(&reply, &target, body.as_bytes()))
}

fn outcome(verdict: &ResponseKind) -> &str {
    match verdict {
        ResponseKind::Refused { outcome, .. } => outcome,
        ResponseKind::Complete => "whole",
        ResponseKind::Invalid(_) => "wrong",
    }
}

async fn switch_backends(fleet: &Fleet, switches: Value) -> anyhow::Result<()> {
    for backend in SANDNING_BACKENDS {
        let reply = fleet.control(fleet.backend_control_address(backend), switches.clone()).await?;
        ensure!(reply.status == 200, "{reply:?}");
    }
    Ok(())
}

async fn switch_platform(fleet: &Fleet, switches: Value) -> anyhow::Result<()> {
    let reply = fleet.control(fleet.platform_control_address(), switches).await?;
    ensure!(reply.status == 200, "{reply:?}");
    Ok(())
}

async fn check_runs(fleet: &Fleet, key: &str, expected: u64) -> anyhow::Result<()> {
    let runs = fleet.run_count(key).await?;
    ensure!(runs == expected, "{key} ran {runs} times, expected {expected}");
    Ok(())
}

/// Resends until the complete response of a backend server arrives; refusals before that must be
/// well-formed.
async fn wait_complete(fleet: &Fleet, vm: usize, key: &str) -> anyhow::Result<()> {
    let mut last = None;
    for _ in 0..60 {
        last = send(fleet, vm, key, LONG_DEADLINE).await;
        match &last {
            Some(ResponseKind::Complete) => return Ok(()),
            Some(ResponseKind::Invalid(text)) => anyhow::bail!("{text}"),
            _ => tokio::time::sleep(Duration::from_millis(250)).await,
        }
    }
    anyhow::bail!("{key} gets no complete response through VM {vm}: {last:?}")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resent_request_runs_once_after_lost_response_and_while_running() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    let (prefix, _) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    for key in [format!("{prefix}lost"), "made-lost".to_owned()] {
        // The caller disconnects before the response.
        let (target, body) = (target(&key), format!("once {key}"));
        let head = format!(
            "POST {target} HTTP/1.1\r\nhost: x\r\npapayareel-key: {KEY}\r\nidempotency-key: \
             {key}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(fleet.caller_address(1)).await?;
        stream.write_all(head.as_bytes()).await?;
        fleet.wait_until_running(&key).await?;
        drop(stream);
        for vm in 0..4 {
            let verdict = send(&fleet, vm, &key, LONG_DEADLINE).await.context("no response")?;
            // A caller-generated key belongs to the home in the region that received it first.
            let other_region = key.starts_with("made") && vm % 2 == 0;
            let expected = if other_region { "unknown" } else { "whole" };
            ensure!(outcome(&verdict) == expected, "{key} through VM {vm}: {verdict:?}");
        }
        check_runs(&fleet, &key, 1).await?;
    }

    for key in [format!("{prefix}runs"), "made-runs".to_owned()] {
        switch_backends(&fleet, json!({"stall": true})).await?;
        let first = send(&fleet, 3, &key, LONG_DEADLINE);
        let others = async {
            fleet.wait_until_running(&key).await?;
            // These reach their deadline before the first request ends.
            let early = join_all((0..4).map(|vm| send(&fleet, vm, &key, SHORT_DEADLINE))).await;
            for verdict in early {
                let verdict = verdict.context("no response")?;
                ensure!(outcome(&verdict) == "unknown", "{key} runs, but {verdict:?}");
            }
            let late = join_all((0..4).map(|vm| send(&fleet, vm, &key, LONG_DEADLINE)));
            let release = async {
                tokio::time::sleep(Duration::from_millis(300)).await;
                switch_backends(&fleet, json!({"stall": false})).await
            };
            let (late, released) = tokio::join!(late, release);
            released?;
            anyhow::Ok(late)
        };
        let (first, others) = tokio::join!(first, others);
        for verdict in others?.into_iter().chain([first]) {
            let verdict = verdict.context("no response")?;
            // The attempt may have been abandoned because of the stall; since it ran, `not-run`
            // would be false.
            ensure!(
                verdict == ResponseKind::Complete || outcome(&verdict) == "unknown",
                "{key} ran, but {verdict:?}"
            );
        }
        check_runs(&fleet, &key, 1).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resent_request_runs_once_after_its_vm_is_killed() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let mut fleet = start().await?;
    let (prefix, home) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    let (done, running, new) =
        (format!("{prefix}done"), format!("{prefix}running"), format!("{prefix}new"));
    let others: Vec<usize> = (0..4).filter(|vm| *vm != home).collect();
    wait_complete(&fleet, others[0], &done).await?;
    switch_backends(&fleet, json!({"stall": true})).await?;
    let mut vm = fleet.vms[home].take().context("the VM does not run")?;
    let first = send(&fleet, others[0], &running, LONG_DEADLINE);
    let kill = async {
        fleet.wait_until_running(&running).await?;
        vm.kill()
    };
    let (first, killed) = tokio::join!(first, kill);
    killed?;
    let first = first.context("no response")?;
    ensure!(outcome(&first) == "unknown", "the request ran, but {first:?}");
    switch_backends(&fleet, json!({"stall": false})).await?;
    for _ in 0..5 {
        for vm in &others {
            for key in [&done, &running, &new] {
                let verdict =
                    send(&fleet, *vm, key, SHORT_DEADLINE).await.context("no response")?;
                ensure!(outcome(&verdict) == "unknown", "{key} through VM {vm}: {verdict:?}");
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    check_runs(&fleet, &done, 1).await?;
    check_runs(&fleet, &running, 1).await?;
    check_runs(&fleet, &new, 0).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resent_request_runs_once_after_its_vm_is_paused_and_resumed() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    let (prefix, home) = fleet.idempotency_prefix(0, "sandning", "norrland").await?;
    let others: Vec<usize> = (0..4).filter(|vm| *vm != home).collect();
    let process = fleet.vms[home].as_ref().context("the VM does not run")?;
    let before = format!("{prefix}before");
    wait_complete(&fleet, others[0], &before).await?;

    process.signal("STOP")?;
    let mut responses: BTreeMap<String, Vec<ResponseKind>> = BTreeMap::new();
    for round in 0..6 {
        let keys: Vec<(usize, String)> = others
            .iter()
            .map(|vm| (*vm, format!("{prefix}frozen-{round}-{vm}")))
            .chain(others.iter().map(|vm| (*vm, format!("{prefix}shared"))))
            .chain(others.iter().map(|vm| (*vm, format!("made-frozen-{round}-{vm}"))))
            .collect();
        let sends = keys.iter().map(|(vm, key)| send(&fleet, *vm, key, SHORT_DEADLINE));
        for (verdict, (_, key)) in join_all(sends).await.into_iter().zip(&keys) {
            let verdict = verdict.context("no response")?;
            ensure!(outcome(&verdict) != "wrong", "{verdict:?}");
            responses.entry(key.clone()).or_default().push(verdict);
        }
        let verdict =
            send(&fleet, others[0], &before, SHORT_DEADLINE).await.context("no response")?;
        ensure!(outcome(&verdict) == "unknown", "the request ran before, but {verdict:?}");
    }
    process.signal("CONT")?;
    // By then the resumed VM has read what was waiting in its sockets.
    wait_complete(&fleet, others[0], &before).await?;
    tokio::time::sleep(SHORT_DEADLINE).await;
    for (key, verdicts) in &responses {
        let runs = fleet.run_count(key).await?;
        ensure!(runs <= 1, "{key} ran {runs} times: {verdicts:?}");
        let all_not_run = verdicts.iter().all(|v| outcome(v) == "not-run");
        ensure!(
            !all_not_run || runs == 0,
            "{key} ran, but all responses were not-run: {verdicts:?}"
        );
        ensure!(
            runs == 1 || !verdicts.contains(&ResponseKind::Complete),
            "{key} got a response, but did not run"
        );
    }
    for key in responses.keys() {
        for vm in 0..4 {
            let verdict = send(&fleet, vm, key, LONG_DEADLINE).await.context("no response")?;
            // A key whose caller disconnected during its attempt must not count as running forever.
            let stuck =
                matches!(&verdict, ResponseKind::Refused { kind, .. } if kind == "backend-timeout");
            ensure!(outcome(&verdict) != "wrong" && !stuck, "{key}: {verdict:?}");
        }
        let runs = fleet.run_count(key).await?;
        ensure!(runs <= 1, "{key} ran {runs} times");
    }
    check_runs(&fleet, &before, 1).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_generated_keys_run_once_without_store_or_with_lost_responses() -> anyhow::Result<()>
{
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    wait_complete(&fleet, 0, "made-before").await?;
    switch_platform(&fleet, json!({"refuse": true})).await?;
    for vm in 0..4 {
        let key = format!("made-away-{vm}");
        match send(&fleet, vm, &key, LONG_DEADLINE).await.context("no response")? {
            ResponseKind::Refused { kind, outcome } => {
                ensure!(
                    (&*kind, &*outcome) == ("store-unavailable", "not-run"),
                    "{kind} {outcome}"
                );
            }
            verdict => anyhow::bail!("the key cannot be claimed, but {verdict:?}"),
        }
        check_runs(&fleet, &key, 0).await?;
        // The home of the key has stored the response. Without the store, other VMs cannot know the
        // key; their `not-run` is about this attempt only.
        let verdict =
            send(&fleet, vm, "made-before", LONG_DEADLINE).await.context("no response")?;
        let expected = if vm % 2 == 0 { "whole" } else { "not-run" };
        ensure!(outcome(&verdict) == expected, "made-before through VM {vm}: {verdict:?}");
    }
    // Keys that start with an issued prefix need no store.
    let (prefix, _) = fleet.idempotency_prefix(0, "sandning", "gotaland").await?;
    wait_complete(&fleet, 0, &format!("{prefix}away")).await?;
    switch_platform(&fleet, json!({"refuse": false})).await?;
    for vm in 0..4 {
        // Nothing ran, so the key can still be used.
        let key = format!("made-away-{vm}");
        wait_complete(&fleet, (vm + 1) % 4, &key).await?;
        check_runs(&fleet, &key, 1).await?;
    }

    for round in 0..8 {
        // Sessions and rates write to the store as well, so several responses must be lost.
        switch_platform(&fleet, json!({"replies_lost": 1 + round % 4})).await?;
        let key = format!("made-reply-{round}");
        let sends = join_all((0..4).map(|vm| send(&fleet, vm, &key, LONG_DEADLINE))).await;
        let sends: Vec<ResponseKind> = sends.into_iter().flatten().collect();
        ensure!(sends.iter().all(|v| outcome(v) != "wrong"), "{sends:?}");
        let runs = fleet.run_count(&key).await?;
        ensure!(runs <= 1, "{key} ran {runs} times: {sends:?}");
        ensure!(runs == 0 || sends.iter().all(|v| outcome(v) != "not-run"), "{sends:?}");
        switch_platform(&fleet, json!({"replies_lost": 0})).await?;
        for vm in 0..4 {
            let verdict = send(&fleet, vm, &key, LONG_DEADLINE).await.context("no response")?;
            ensure!(outcome(&verdict) != "wrong", "{verdict:?}");
        }
        let runs = fleet.run_count(&key).await?;
        ensure!(runs <= 1, "{key} ran {runs} times");
    }
    check_runs(&fleet, "made-before", 1).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_key_runs_twice_under_random_faults() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let mut fleet = start().await?;
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut keys = Vec::new();
    for i in 0..RANDOM_KEYS {
        let region = ["norrland", "gotaland"][i % 2];
        let (prefix, _) = fleet.idempotency_prefix(i % 4, "sandning", region).await?;
        keys.push(if i % 3 == 0 { format!("made-{i}") } else { format!("{prefix}random-{i}") });
    }
    let victim = fleet.vms[2].take().context("the VM does not run")?;
    let faults = async {
        for round in 0..6 {
            victim.signal(if round % 2 == 0 { "STOP" } else { "CONT" })?;
            let stalls = json!({"stall_fraction": 0.3, "for_ms": 400});
            switch_backends(&fleet, stalls).await?;
            switch_platform(&fleet, json!({"refuse": round % 3 == 1, "replies_lost": 2})).await?;
            switch_backends(&fleet, json!({"cut_body": round % 2 == 1})).await?;
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        switch_platform(&fleet, json!({"refuse": false, "replies_lost": 0})).await?;
        switch_backends(&fleet, json!({"cut_body": false})).await
    };
    let mut draw = |_| (rng.random_range(0..5_000), [0, 1, 3][rng.random_range(0..3)]);
    let plans: Vec<Vec<(u64, usize)>> =
        keys.iter().map(|_| (0..5).map(&mut draw).collect()).collect();
    let (all, sender) = (&keys, &fleet);
    let sends = join_all(plans.iter().enumerate().flat_map(|(k, plan)| {
        plan.iter().map(move |(at, vm)| async move {
            tokio::time::sleep(Duration::from_millis(*at)).await;
            (k, send(sender, *vm, &all[k], SHORT_DEADLINE).await)
        })
    }));
    let (faults, responses) = tokio::join!(faults, sends);
    faults?;
    wait_complete(&fleet, 0, "made-end").await?;
    tokio::time::sleep(SHORT_DEADLINE).await;
    for (k, key) in keys.iter().enumerate() {
        let verdicts: Vec<&Option<ResponseKind>> =
            responses.iter().filter(|(index, _)| *index == k).map(|(_, v)| v).collect();
        let runs = fleet.run_count(key).await?;
        ensure!(runs <= 1, "{key} ran {runs} times: {verdicts:?}");
        let all_are = |expected: &str| {
            verdicts.iter().all(|v| v.as_ref().is_some_and(|v| outcome(v) == expected))
        };
        ensure!(
            !all_are("not-run") || runs == 0,
            "{key} ran, but all responses were not-run: {verdicts:?}"
        );
        let wrong = verdicts.iter().find(|v| v.as_ref().is_some_and(|v| outcome(v) == "wrong"));
        ensure!(wrong.is_none(), "{key}: {wrong:?}");
    }
    Ok(())
}
