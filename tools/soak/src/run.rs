use std::collections::HashMap;
use std::ffi::OsString;
use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY, GatewayFleet, wait_until};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::gateway_backend::GatewayBackend;

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
pub struct SoakOptions {
    /// Gateway program.
    pub program: OsString,
    /// Seed of everything random.
    pub seed: u64,
    /// Gateways.
    pub vms: u8,
    /// Backend servers.
    pub backends: u8,
    /// Time under faults.
    pub duration: Duration,
}

/// What a run found.
#[derive(Debug, Default)]
pub struct Report {
    /// Faults in their order.
    pub faults: Vec<&'static str>,
    /// Requests sent.
    pub sent: u32,
    /// Requests served.
    pub served: u32,
    /// Broken promises; none in a good run.
    pub violations: Vec<String>,
}

async fn stage(options: &SoakOptions) -> anyhow::Result<Stage> {
    let mut fleet = GatewayFleet::new(options.program.clone()).await?;
    fleet.write_config(&[GATEWAY_KEY]);
    let (mut targets, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..options.backends {
        let domain = DOMAINS[usize::from(number) % DOMAINS.len()];
        let id = format!("i-{number}");
        let target = GatewayBackend::serve(fleet.bind_backend(number).await?, &id, WORK)?;
        let proxy = Proxy::serve(fleet.bind_backend(number).await?, target.address())?;
        fleet.register_backend(number, domain, proxy.address, "ready");
        targets.push(target);
        proxies.push(proxy);
    }
    let mut stage = Stage { fleet, targets, proxies, domains: Vec::new(), running: Vec::new() };
    for vm in 0..options.vms {
        let domain = DOMAINS[usize::from(vm) % DOMAINS.len()];
        stage.domains.push(domain);
        let process = stage.fleet.start(vm, domain)?;
        stage.running.push(process);
    }
    for vm in 0..options.vms {
        stage.fleet.wait_until_ready(vm, stage.domains[usize::from(vm)]).await?;
    }
    Ok(stage)
}

/// Checks what callers were told against what backend servers ran.
fn check(stage: &Stage, seen: &Shared, report: &mut Report) {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for target in &stage.targets {
        for (id, count) in target.observed().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    let seen = lock(seen);
    report.sent = seen.sent;
    report.served = seen.served;
    report.violations.extend(seen.violations.iter().cloned());
    for (id, status) in &seen.writes {
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            report.violations.push(format!("{id}: ran {count} times"));
        }
        if [408, 421, 429, 503].contains(status) && count > 0 {
            report.violations.push(format!("{id}: refused with {status} and has run"));
        }
    }
}

/// Plays one run.
///
/// # Errors
/// If the fleet cannot be started, or a process cannot be signalled.
pub async fn run(options: SoakOptions) -> anyhow::Result<Report> {
    let mut random = SmallRng::seed_from_u64(options.seed);
    let mut stage = stage(&options).await?;
    let mut report = Report::default();
    let seen = Shared::default();
    let until = Instant::now() + options.duration;
    let vms: Vec<_> = (0..options.vms).map(|vm| stage.fleet.caller_address(vm)).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            tokio::spawn(call(options.seed * 100 + n, vms.clone(), until, Shared::clone(&seen)))
        })
        .collect();
    while Instant::now() < until {
        report.faults.push(stage.play(&mut random).await?);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..800))).await;
    }
    stage.heal();
    for caller in callers {
        caller.await?;
    }
    for vm in 0..options.vms {
        let address = stage.fleet.caller_address(vm);
        let serves = || async {
            let id = format!("after-{vm}");
            let reply =
                harness::gateway_request(address, Method::GET, "/read/", &id, GATEWAY_KEY).await;
            reply.is_ok_and(|reply| reply.status.as_u16() == 200)
        };
        if !wait_until(RECOVERY, serves).await {
            report.violations.push(format!("vm-{vm} does not serve after the faults"));
        }
    }
    check(&stage, &seen, &mut report);
    Ok(report)
}
