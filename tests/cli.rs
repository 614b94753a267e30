//! Guards against commands that do not take effect on every VM, that exit with an undocumented
//! code, or whose JSON output programs cannot read.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use harness::{Fleet, HttpResponse, OPERATOR_TOKEN, Programs, sample_layout};
use http::Method;
use serde_json::{Value, json};
use tokio::sync::Mutex;

/// Serializes the tests, since each fleet has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());
/// Timeout for awaited conditions; generous, since machines differ in speed.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which a withdrawn key must stop working on every VM.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// Time within which the other VMs of a small fleet declare a paused VM dead.
const DEATH_DETECTION: Duration = Duration::from_secs(8);
const VMS: usize = 3;

async fn start() -> anyhow::Result<Fleet> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(VMS)).await?;
    fleet.wait_for_members(VMS).await?;
    std::fs::write(fleet.dir().join("token"), OPERATOR_TOKEN)?;
    // VMs reject changes until they have found each other, which takes a few seconds. After its
    // first accepted change, a rejection by a VM fails the test.
    let start = Instant::now();
    for vm in 0..VMS {
        let line = format!("--json organisation create first-{vm} --rate 10 --burst 10");
        loop {
            let result = run(&fleet, vm, &line).await?;
            if result.code == 0 {
                let version = result.json()?["version"].as_u64().context("no version")?;
                fleet.wait_for_version(version).await?;
                break;
            }
            ensure!([3, 5].contains(&result.code), "code {}: {}", result.code, result.err);
            ensure!(start.elapsed() < TIMEOUT, "VM {vm} accepts no change: {}", result.err);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(fleet)
}

/// Exit code and output of a command.
struct CommandResult {
    code: i32,
    out: String,
    err: String,
}

impl CommandResult {
    fn json(&self) -> anyhow::Result<Value> {
        serde_json::from_str(&self.out)
            .with_context(|| format!("output is not JSON: {:?}", self.out))
    }

    fn check(&self, code: i32, text: &str) -> anyhow::Result<()> {
        let CommandResult { out, err, .. } = self;
        ensure!(self.code == code, "exit code {}, expected {code}: {out}{err}", self.code);
        ensure!(
            out.contains(text) || err.contains(text),
            "output does not contain {text:?}: {out}{err}"
        );
        Ok(())
    }
}

/// Runs a command against a VM with the token in the file of this name.
async fn run_with_token(
    fleet: &Fleet,
    token_file: &str,
    vm: usize,
    line: &str,
) -> anyhow::Result<CommandResult> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_papayareel"));
    let operator = fleet.operator_address(vm).to_string();
    command.args(["--operator", &operator, "--token-file"]).arg(fleet.dir().join(token_file));
    command.args(line.split_whitespace());
    let output: Output = tokio::task::spawn_blocking(move || command.output()).await??;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().context("the command was killed by a signal")?;
    Ok(CommandResult { code, out: text(&output.stdout), err: text(&output.stderr) })
}

async fn run(fleet: &Fleet, vm: usize, line: &str) -> anyhow::Result<CommandResult> {
    run_with_token(fleet, "token", vm, line).await
}

/// Runs a command that must succeed and returns its JSON output.
async fn run_json(fleet: &Fleet, vm: usize, line: &str) -> anyhow::Result<Value> {
    let result = run(fleet, vm, &format!("--json {line}")).await?;
    result.check(0, "")?;
    result.json()
}

/// Creates an organisation, a service and a route; returns the new version.
async fn create_entries(fleet: &Fleet) -> anyhow::Result<u64> {
    let backends: String = fleet
        .backend_specs("manus")
        .iter()
        .map(|b| {
            let (place, limits) = (&b.place, &b.limits);
            format!(
                " --backend {},{},{},{},{},{}",
                b.id, b.address, place.region, place.domain, limits.slots, limits.connections
            )
        })
        .collect();
    run_json(fleet, 0, "organisation create radio-umea --rate 1000 --burst 1000").await?;
    run_json(fleet, 0, &format!("service create manus --floor 0.3{backends}")).await?;
    let route = "route create manus --prefix /manus --service manus --idempotent";
    let applied = run_json(fleet, 0, &format!("{route} --deadline-ms 20000")).await?;
    let version = applied["version"].as_u64().context("no version")?;
    fleet.wait_for_version(version).await?;
    Ok(version)
}

async fn send_request(fleet: &Fleet, vm: usize, key: &str) -> anyhow::Result<HttpResponse> {
    let headers = [("papayareel-key", key)];
    harness::send_request(fleet.caller_address(vm), &Method::GET, "/manus/text", &headers, "").await
}

/// Writes a desired state with one route more than the fleet has.
async fn write_desired_state(fleet: &Fleet, name: &str) -> anyhow::Result<PathBuf> {
    let organisations = run_json(fleet, 0, "organisation list").await?;
    let services = run_json(fleet, 0, "service list").await?;
    let mut routes = run_json(fleet, 0, "route list").await?;
    let mut route = routes["manus"].clone();
    route["prefix"] = json!(format!("/{name}"));
    routes[name] = route;
    let file = fleet.dir().join(format!("{name}.json"));
    let state = json!({"organisations": organisations, "services": services, "routes": routes});
    std::fs::write(&file, state.to_string())?;
    Ok(file)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_works_once_issued_and_stops_once_withdrawn() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    create_entries(&fleet).await?;
    let issued = run_json(&fleet, 1, "key issue radio-umea").await?;
    let key = issued["key"].as_str().context("no key")?;
    let digest = issued["digest"].as_str().context("no digest")?;
    let start = Instant::now();
    for vm in 0..VMS {
        loop {
            let reply = send_request(&fleet, vm, key).await?;
            if reply.status == 200 {
                break;
            }
            ensure!(start.elapsed() < TIMEOUT, "VM {vm} does not accept the key: {reply:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let list = run(&fleet, 2, "key list").await?;
    list.check(0, digest)?;
    ensure!(!list.out.contains(key), "the list shows the key");

    run_json(&fleet, 2, &format!("key withdraw {digest}")).await?;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    for vm in 0..VMS {
        let reply = send_request(&fleet, vm, key).await?;
        ensure!(reply.status != 200, "VM {vm} still accepts the withdrawn key");
        ensure!(reply.header("papayareel-outcome") == "not-run", "{reply:?}");
    }
    let list = run_json(&fleet, 0, "key list --withdrawn").await?;
    ensure!(list[digest]["withdrawn"] == true, "{list}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_shows_the_difference_and_waits() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    let version = create_entries(&fleet).await?;
    let file = write_desired_state(&fleet, "arkiv").await?;
    let line = format!("apply {} --wait --time-limit 60 --yes", file.display());
    let applied = run(&fleet, 0, &line).await?;
    applied.check(0, &format!("in force on all {VMS} live VMs"))?;
    ensure!(applied.err.contains("arkiv"), "the difference is not shown: {}", applied.err);
    let newest = run_json(&fleet, 2, "status").await?["version"].as_u64();
    ensure!(newest == Some(version + 1), "{newest:?}");
    run(&fleet, 1, &line).await?.check(0, "nothing to change")?;

    // Without --yes and without a terminal, the change cannot be confirmed and is not made.
    let file = write_desired_state(&fleet, "nytt").await?;
    run(&fleet, 0, &format!("apply {}", file.display())).await?.check(2, "--yes")?;
    ensure!(
        run_json(&fleet, 0, "status").await?["version"].as_u64() == newest,
        "the change was applied without --yes"
    );

    // A paused VM never counts as having the version, neither at first nor after the other VMs have
    // declared it dead.
    let paused = fleet.vms[2].as_ref().context("VM 2 does not run")?;
    paused.signal("STOP")?;
    for (name, declared_dead) in [("nytt", false), ("sent", true)] {
        if declared_dead {
            tokio::time::sleep(DEATH_DETECTION).await;
        }
        let file = write_desired_state(&fleet, name).await?;
        let line = format!("--json apply {} --wait --time-limit 20 --yes", file.display());
        let waited = run(&fleet, 0, &line).await?;
        let progress = waited.json()?["progress"].clone();
        let named =
            |list: &str| progress[list].as_array().is_some_and(|vms| vms.contains(&json!("vm-2")));
        match waited.code {
            0 => ensure!(named("silent"), "{name}: VM 2 is not named: {progress}"),
            4 => ensure!(named("behind"), "{name}: VM 2 is not named: {progress}"),
            code => anyhow::bail!("{name}: exit code {code}: {progress} {}", waited.err),
        }
        ensure!(progress["ready"] == 2, "{name}: {progress}");
    }
    paused.signal("CONT")?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failures_have_documented_exit_codes_and_name_the_remedy() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let mut fleet = start().await?;
    create_entries(&fleet).await?;
    std::fs::write(fleet.dir().join("wrong"), "a-token-that-no-settings-have")?;
    run_with_token(&fleet, "wrong", 0, "status").await?.check(1, "token")?;
    run_with_token(&fleet, "missing", 0, "status").await?.check(2, "check the path")?;
    run(&fleet, 0, "route show none").await?.check(1, "route list")?;
    run(&fleet, 0, "key issue nobody").await?.check(1, "organisation list")?;

    // Two concurrent commands either conflict, or are applied one after the other.
    let start = Instant::now();
    for round in 0.. {
        let lines =
            [0, 1].map(|i| format!("organisation create racer-{round}-{i} --rate 10 --burst 10"));
        let (a, b) = tokio::try_join!(run(&fleet, 0, &lines[0]), run(&fleet, 1, &lines[1]))?;
        let Some(conflicting) = [&a, &b].into_iter().find(|result| result.code != 0) else {
            ensure!(start.elapsed() < TIMEOUT, "no conflict in {round} rounds");
            continue;
        };
        conflicting.check(3, "send the change again")?;
        ensure!(a.code == 0 || b.code == 0, "both failed: {} {}", a.err, b.err);
        break;
    }

    let reply = fleet.control(fleet.platform_control_address(), json!({"refuse": true})).await?;
    ensure!(reply.status == 200, "{reply:?}");
    let line = "organisation create later --rate 10 --burst 10";
    run(&fleet, 0, line).await?.check(5, "")?;
    let reply = fleet.control(fleet.platform_control_address(), json!({"refuse": false})).await?;
    ensure!(reply.status == 200, "{reply:?}");
    fleet.vms[1].take().context("VM 1 does not run")?.kill()?;
    run(&fleet, 1, "status").await?.check(5, "ask another VM")?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_and_status_describe_the_fleet() -> anyhow::Result<()> {
    let _lock = FLEET_LOCK.lock().await;
    let fleet = start().await?;
    create_entries(&fleet).await?;
    let probe = "explain --path /manus/text --organisation radio-umea";
    let without_key = run_json(&fleet, 0, probe).await?;
    ensure!(without_key["outcome"] == "key-unknown (not-run)", "{without_key}");
    let issued = run_json(&fleet, 0, "key issue radio-umea").await?;
    let key = issued["key"].as_str().context("no key")?;
    fleet.wait_for_version(issued["version"].as_u64().context("no version")?).await?;
    for (line, outcome) in [
        (probe, "would run"),
        ("explain --path /manus/text", "key-missing (not-run)"),
        ("explain --path /none", "route-unknown (not-run)"),
    ] {
        let explained = run_json(&fleet, 1, line).await?;
        ensure!(explained["outcome"] == outcome, "{line}: {explained}");
    }

    // The VM that received a request can explain its id, whichever VM ran the request.
    for vm in 0..VMS {
        let reply = send_request(&fleet, vm, key).await?;
        ensure!(reply.status == 200, "{reply:?}");
        let id = reply.header("x-request-id").to_owned();
        let explained = run_json(&fleet, vm, &format!("explain {id}")).await?;
        ensure!(explained["outcome"] == "answered" && explained["route"] == "manus", "{explained}");
        let steps = explained["steps"].to_string();
        ensure!(
            steps.contains("backend server b") || steps.contains("forwarded to VM"),
            "{explained}"
        );
        ensure!(!explained.to_string().contains(key), "the explanation contains the key");
    }
    run(&fleet, 0, "explain no-such-id").await?.check(1, "ask the VM")?;

    // At least one VM is home of the service and explains its backend servers; each VM can show all
    // units of an organisation.
    let mut explaining_vms = 0;
    for vm in 0..VMS {
        let explained = run_json(&fleet, vm, probe).await?["steps"].to_string();
        explaining_vms +=
            usize::from(explained.contains("usable slots") && explained.contains("takes work"));
    }
    ensure!(explaining_vms > 0, "no VM explains the status of the backend servers");
    let status = run_json(&fleet, 0, "status --organisation radio-umea").await?;
    let rate = &status["rates"][0];
    let shares = rate["shares"].as_array().context("no shares")?;
    let held: u64 = shares.iter().filter_map(|share| share["units"].as_u64()).sum();
    ensure!(rate["total"] == 16 && (1..=16).contains(&held), "{rate}");
    ensure!(shares.iter().all(|share| share["vm"].is_string()), "{rate}");
    let mut own_shares = 0;
    for vm in 0..VMS {
        let status = run_json(&fleet, vm, "status").await?;
        own_shares += status["rates"].as_array().context("no rates")?.len();
    }
    ensure!(own_shares > 0, "no VM shows its own units");
    Ok(())
}
