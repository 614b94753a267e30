//! Guards against commands that do not take effect on the whole fleet, that end with another exit
//! code than the documented one, and whose output programs cannot read.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use harness::{Fleet, HttpResponse, OPERATOR_TOKEN, Programs, sample_layout, send_request};
use http::Method;
use serde_json::{Value, json};
use tokio::sync::Mutex;

/// One fleet at a time, since each has several processes.
static ONE: Mutex<()> = Mutex::const_new(());
/// Generous limit for what has to come about.
const LIMIT: Duration = Duration::from_secs(60);
/// Time after which a withdrawn key may not work on any VM.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Time after which the other VMs of a small fleet take a paused one for dead.
const DEAD: Duration = Duration::from_secs(8);
const VMS: usize = 3;

async fn start() -> anyhow::Result<Fleet> {
    let programs = Programs::next_to(env!("CARGO_BIN_EXE_papayareeld"))?;
    let fleet = Fleet::start(programs, sample_layout(VMS)).await?;
    fleet.wait_for_members(VMS).await?;
    std::fs::write(fleet.dir().join("token"), OPERATOR_TOKEN)?;
    // The VMs find each other in the first seconds; until then they accept no change. Once a VM
    // has accepted one, a refusal fails the test.
    let start = Instant::now();
    for vm in 0..VMS {
        let line = format!("--json organisation create first-{vm} --rate 10 --burst 10");
        loop {
            let done = run(&fleet, vm, &line).await?;
            if done.code == 0 {
                let version = done.json()?["version"].as_u64().context("no version")?;
                fleet.wait_for_version(version).await?;
                break;
            }
            ensure!([3, 5].contains(&done.code), "code {}: {}", done.code, done.err);
            ensure!(start.elapsed() < LIMIT, "VM {vm} accepts no change: {}", done.err);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(fleet)
}

/// What the command did.
struct Done {
    code: i32,
    out: String,
    err: String,
}

impl Done {
    fn json(&self) -> anyhow::Result<Value> {
        serde_json::from_str(&self.out).with_context(|| format!("no JSON: {:?}", self.out))
    }

    fn check(&self, code: i32, text: &str) -> anyhow::Result<()> {
        let Done { out, err, .. } = self;
        ensure!(self.code == code, "code {} instead of {code}: {out}{err}", self.code);
        ensure!(out.contains(text) || err.contains(text), "no {text:?} in: {out}{err}");
        Ok(())
    }
}

/// Runs the command against a VM with the token in this file.
async fn run_as(fleet: &Fleet, token: &str, vm: usize, line: &str) -> anyhow::Result<Done> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_papayareel"));
    let operator = fleet.operator_address(vm).to_string();
    command.args(["--operator", &operator, "--token-file"]).arg(fleet.dir().join(token));
    command.args(line.split_whitespace());
    let output: Output = tokio::task::spawn_blocking(move || command.output()).await??;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().context("the command was ended by a signal")?;
    Ok(Done { code, out: text(&output.stdout), err: text(&output.stderr) })
}

async fn run(fleet: &Fleet, vm: usize, line: &str) -> anyhow::Result<Done> {
    run_as(fleet, "token", vm, line).await
}

/// Runs a command that must succeed and returns its JSON.
async fn done(fleet: &Fleet, vm: usize, line: &str) -> anyhow::Result<Value> {
    let done = run(fleet, vm, &format!("--json {line}")).await?;
    done.check(0, "")?;
    done.json()
}

/// Creates an organisation, a service and a route; returns the version.
async fn create(fleet: &Fleet) -> anyhow::Result<u64> {
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
    done(fleet, 0, "organisation create radio-umea --rate 1000 --burst 1000").await?;
    done(fleet, 0, &format!("service create manus --floor 0.3{backends}")).await?;
    let route = "route create manus --prefix /manus --service manus --idempotent";
    let applied = done(fleet, 0, &format!("{route} --deadline-ms 20000")).await?;
    let version = applied["version"].as_u64().context("no version")?;
    fleet.wait_for_version(version).await?;
    Ok(version)
}

async fn ask(fleet: &Fleet, vm: usize, key: &str) -> anyhow::Result<HttpResponse> {
    let headers = [("papayareel-key", key)];
    send_request(fleet.caller_address(vm), &Method::GET, "/manus/text", &headers, "").await
}

/// Writes a desired state with one route more than `create` has made.
async fn desire(fleet: &Fleet, name: &str) -> anyhow::Result<PathBuf> {
    let organisations = done(fleet, 0, "organisation list").await?;
    let services = done(fleet, 0, "service list").await?;
    let mut routes = done(fleet, 0, "route list").await?;
    let mut route = routes["manus"].clone();
    route["prefix"] = json!(format!("/{name}"));
    routes[name] = route;
    let file = fleet.dir().join(format!("{name}.json"));
    let state = json!({"organisations": organisations, "services": services, "routes": routes});
    std::fs::write(&file, state.to_string())?;
    Ok(file)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_works_once_issued_and_stops_once_withdrawn() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    create(&fleet).await?;
    let issued = done(&fleet, 1, "key issue radio-umea").await?;
    let key = issued["key"].as_str().context("no key")?;
    let digest = issued["digest"].as_str().context("no digest")?;
    let start = Instant::now();
    for vm in 0..VMS {
        loop {
            let reply = ask(&fleet, vm, key).await?;
            if reply.status == 200 {
                break;
            }
            ensure!(start.elapsed() < LIMIT, "VM {vm} does not serve the key: {reply:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let list = run(&fleet, 2, "key list").await?;
    list.check(0, digest)?;
    ensure!(!list.out.contains(key), "the list shows the key");

    done(&fleet, 2, &format!("key withdraw {digest}")).await?;
    tokio::time::sleep(IN_FORCE).await;
    for vm in 0..VMS {
        let reply = ask(&fleet, vm, key).await?;
        ensure!(reply.status != 200, "VM {vm} still serves the withdrawn key");
        ensure!(reply.header("papayareel-outcome") == "not-run", "{reply:?}");
    }
    let list = done(&fleet, 0, "key list --withdrawn").await?;
    ensure!(list[digest]["withdrawn"] == true, "{list}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_shows_the_difference_and_waits() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    let version = create(&fleet).await?;
    let file = desire(&fleet, "arkiv").await?;
    let line = format!("apply {} --wait --time-limit 60 --yes", file.display());
    let applied = run(&fleet, 0, &line).await?;
    applied.check(0, &format!("in force on all {VMS} live VMs"))?;
    ensure!(applied.err.contains("arkiv"), "the difference is not shown: {}", applied.err);
    let newest = done(&fleet, 2, "status").await?["version"].as_u64();
    ensure!(newest == Some(version + 1), "{newest:?}");
    run(&fleet, 1, &line).await?.check(0, "nothing to change")?;

    // Without --yes nobody can be asked, and nothing changes.
    let file = desire(&fleet, "nytt").await?;
    run(&fleet, 0, &format!("apply {}", file.display())).await?.check(2, "--yes")?;
    ensure!(done(&fleet, 0, "status").await?["version"].as_u64() == newest, "it was applied");

    // A paused VM is not counted as having the version, neither at first nor when the others take
    // it for dead.
    let paused = fleet.vms[2].as_ref().context("VM 2 does not run")?;
    paused.signal("STOP")?;
    for (name, dead) in [("nytt", false), ("sent", true)] {
        if dead {
            tokio::time::sleep(DEAD).await;
        }
        let file = desire(&fleet, name).await?;
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
async fn failures_have_their_exit_codes_and_name_the_remedy() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let mut fleet = start().await?;
    create(&fleet).await?;
    std::fs::write(fleet.dir().join("wrong"), "a-token-that-no-settings-have")?;
    run_as(&fleet, "wrong", 0, "status").await?.check(1, "token")?;
    run_as(&fleet, "missing", 0, "status").await?.check(2, "check the path")?;
    run(&fleet, 0, "route show none").await?.check(1, "route list")?;
    run(&fleet, 0, "key issue nobody").await?.check(1, "organisation list")?;

    // Of two commands at the same time, one loses or both come one after the other.
    let start = Instant::now();
    for round in 0.. {
        let lines =
            [0, 1].map(|i| format!("organisation create racer-{round}-{i} --rate 10 --burst 10"));
        let (a, b) = tokio::try_join!(run(&fleet, 0, &lines[0]), run(&fleet, 1, &lines[1]))?;
        let Some(lost) = [&a, &b].into_iter().find(|done| done.code != 0) else {
            ensure!(start.elapsed() < LIMIT, "no conflict in {round} rounds");
            continue;
        };
        lost.check(3, "send the change again")?;
        ensure!(a.code == 0 || b.code == 0, "both lost: {} {}", a.err, b.err);
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
async fn explain_and_status_tell_what_the_fleet_does() -> anyhow::Result<()> {
    let _one = ONE.lock().await;
    let fleet = start().await?;
    create(&fleet).await?;
    let probe = "explain --path /manus/text --organisation radio-umea";
    let keyless = done(&fleet, 0, probe).await?;
    ensure!(keyless["outcome"] == "key-unknown (not-run)", "{keyless}");
    let issued = done(&fleet, 0, "key issue radio-umea").await?;
    let key = issued["key"].as_str().context("no key")?;
    fleet.wait_for_version(issued["version"].as_u64().context("no version")?).await?;
    for (line, outcome) in [
        (probe, "would run"),
        ("explain --path /manus/text", "key-missing (not-run)"),
        ("explain --path /none", "route-unknown (not-run)"),
    ] {
        let told = done(&fleet, 1, line).await?;
        ensure!(told["outcome"] == outcome, "{line}: {told}");
    }

    // The id that the caller gets is known on the VM it asked, whichever VM ran the request.
    for vm in 0..VMS {
        let reply = ask(&fleet, vm, key).await?;
        ensure!(reply.status == 200, "{reply:?}");
        let id = reply.header("x-request-id").to_owned();
        let told = done(&fleet, vm, &format!("explain {id}")).await?;
        ensure!(told["outcome"] == "answered" && told["route"] == "manus", "{told}");
        let steps = told["steps"].to_string();
        ensure!(steps.contains("backend server b") || steps.contains("forwarded to VM"), "{told}");
        ensure!(!told.to_string().contains(key), "the explanation has the key");
    }
    run(&fleet, 0, "explain no-such-id").await?.check(1, "ask the VM")?;

    // One VM at least knows the home's backend servers, and the whole fleet the organisation's
    // units.
    let mut standings = 0;
    for vm in 0..VMS {
        let told = done(&fleet, vm, probe).await?["steps"].to_string();
        standings += usize::from(told.contains("usable slots") && told.contains("takes work"));
    }
    ensure!(standings > 0, "no VM tells the standing of backend servers");
    let status = done(&fleet, 0, "status --organisation radio-umea").await?;
    let rate = &status["rates"][0];
    let shares = rate["shares"].as_array().context("no shares")?;
    let held: u64 = shares.iter().filter_map(|share| share["units"].as_u64()).sum();
    ensure!(rate["total"] == 16 && (1..=16).contains(&held), "{rate}");
    ensure!(shares.iter().all(|share| share["vm"].is_string()), "{rate}");
    let mut own = 0;
    for vm in 0..VMS {
        let status = done(&fleet, vm, "status").await?;
        own += status["rates"].as_array().context("no rates")?.len();
    }
    ensure!(own > 0, "no VM tells its own units");
    Ok(())
}
