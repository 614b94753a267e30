use std::collections::HashMap;
use std::ffi::OsString;
use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY, GatewayFleet, within};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::target::Target;

use crate::faults::Stage;
use crate::proxy::Proxy;
use crate::traffic::{Shared, call, lock};

/// Failure domains of the VMs and of the backend servers, in turn.
const DOMAINS: [&str; 4] = ["a1", "a2", "b1", "b2"];
/// Time that a backend server takes for a request.
const WORK: Duration = Duration::from_millis(20);
/// Time after the last fault in which every VM must serve again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Callers at once.
const CALLERS: u64 = 8;

/// One run of the soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Gateway program.
    pub program: OsString,
    /// Seed of everything random.
    pub seed: u64,
    /// Gateways.
    pub vms: u8,
    /// Backend servers.
    pub targets: u8,
    /// Time under faults.
    pub length: Duration,
}

/// What a run found.
#[derive(Debug, Default)]
pub struct Report {
    /// Faults in their order.
    pub faults: Vec<&'static str>,
    /// Requests sent.
    pub asked: u32,
    /// Requests served.
    pub served: u32,
    /// Broken promises; none in a good run.
    pub broken: Vec<String>,
}

async fn stage(plan: &Plan) -> anyhow::Result<Stage> {
    let mut fleet = GatewayFleet::new(plan.program.clone()).await?;
    fleet.configure(&[GATEWAY_KEY]);
    let (mut targets, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..plan.targets {
        let domain = DOMAINS[usize::from(number) % DOMAINS.len()];
        let id = format!("i-{number}");
        let target = Target::serve(fleet.listener(number).await?, &id, WORK)?;
        let proxy = Proxy::serve(fleet.listener(number).await?, target.address())?;
        fleet.list(number, domain, proxy.address, "ready");
        targets.push(target);
        proxies.push(proxy);
    }
    let mut stage = Stage { fleet, targets, proxies, domains: Vec::new(), running: Vec::new() };
    for vm in 0..plan.vms {
        let domain = DOMAINS[usize::from(vm) % DOMAINS.len()];
        stage.domains.push(domain);
        let process = stage.fleet.start(vm, domain)?;
        stage.running.push(process);
    }
    for vm in 0..plan.vms {
        stage.fleet.wait_ready(vm, stage.domains[usize::from(vm)]).await?;
    }
    Ok(stage)
}

/// Checks what callers were told against what backend servers ran.
fn check(stage: &Stage, seen: &Shared, report: &mut Report) {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for target in &stage.targets {
        for (id, count) in target.seen().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    let seen = lock(seen);
    report.asked = seen.asked;
    report.served = seen.served;
    report.broken.extend(seen.broken.iter().cloned());
    for (id, status) in &seen.writes {
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            report.broken.push(format!("{id}: ran {count} times"));
        }
        if [408, 421, 429, 503].contains(status) && count > 0 {
            report.broken.push(format!("{id}: refused with {status} and has run"));
        }
    }
}

/// Plays one run.
///
/// # Errors
/// If the fleet cannot be started, or a process cannot be signalled.
pub async fn run(plan: Plan) -> anyhow::Result<Report> {
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let mut stage = stage(&plan).await?;
    let mut report = Report::default();
    let seen = Shared::default();
    let until = Instant::now() + plan.length;
    let vms: Vec<_> = (0..plan.vms).map(|vm| stage.fleet.callers(vm)).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(call(plan.seed * 100 + n, vms.clone(), until, Shared::clone(&seen))))
        .collect();
    while Instant::now() < until {
        report.faults.push(stage.play(&mut random).await?);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..800))).await;
    }
    stage.heal();
    for caller in callers {
        caller.await?;
    }
    for vm in 0..plan.vms {
        let address = stage.fleet.callers(vm);
        let serves = || async {
            let id = format!("after-{vm}");
            let reply =
                harness::gateway_request(address, Method::GET, "/read/", &id, GATEWAY_KEY).await;
            reply.is_ok_and(|reply| reply.status.as_u16() == 200)
        };
        if !within(RECOVERY, serves).await {
            report.broken.push(format!("vm-{vm} does not serve after the faults"));
        }
    }
    check(&stage, &seen, &mut report);
    Ok(report)
}
