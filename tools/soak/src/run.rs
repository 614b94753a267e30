use std::collections::{BTreeMap, HashMap};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY, GatewayFleet, wait_until};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::gateway_backend::GatewayBackend;

use crate::faults::{DOMAINS, SoakFleet, VmState};
use crate::limits::LimitPlan;
use crate::proxy::Proxy;
use crate::restores::RestorePlan;
use crate::traffic::{Observations, OwnAnswer, SharedObservations, lock, send_requests};

/// Service time of the backend servers.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time within which every VM must serve again after the faults end.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the last fault from which a configuration must be in force everywhere in time.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time within which a configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2500);
/// Number of concurrent callers for each VM.
const CALLERS_PER_VM: u64 = 4;
/// Interval of checks for VMs that have stopped, or whose pause is over.
const STEP: Duration = Duration::from_millis(20);

/// Time after SIGTERM at which the last sixth of the grace period of 6 s begins.
const LAST_SIXTH: Duration = Duration::from_secs(5);
/// Time after SIGTERM until which a request is sent that may be broken off in that sixth.
const LATEST_SEND: Duration = Duration::from_secs(3);
/// Time by which a VM's timers may differ from those of the caller.
const TIMER_TOLERANCE: Duration = Duration::from_millis(50);

/// Options of one run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Gateway program.
    pub program: OsString,
    /// Seed of everything random.
    pub seed: u64,
    /// Number of gateways.
    pub vms: u8,
    /// Number of backend servers.
    pub backends: u8,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Whether the store comes back from older copies.
    pub restores: bool,
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Injected faults in order.
    pub faults: Vec<&'static str>,
    /// Number of times that the store came back from an older copy.
    pub restores: u32,
    /// Number of requests sent.
    pub sent: u32,
    /// Number of requests served.
    pub served: u32,
    /// Number of requests by how they ended.
    pub reasons: BTreeMap<String, u32>,
    /// Number of requests that a VM without a kill or pause read and neither passed on nor answered,
    /// but not around planned work on it.
    pub not_counted: u32,
    /// Violated guarantees; empty if the run passed.
    pub violations: Vec<String>,
    /// Folder of the logs, if a guarantee was violated.
    pub logs: Option<PathBuf>,
}

async fn start_fleet(
    options: &SoakOptions,
    observed: SharedObservations,
) -> anyhow::Result<SoakFleet> {
    let mut fleet = GatewayFleet::new(options.program.clone()).await?;
    fleet.write_config(&[GATEWAY_KEY]);
    let (mut backends, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..options.backends {
        let id = format!("i-{number}");
        let backend = GatewayBackend::serve(fleet.bind_backend(number).await?, &id, SERVICE_TIME)?;
        let proxy = Proxy::serve(fleet.bind_backend(number).await?, backend.address())?;
        backends.push(backend);
        proxies.push(proxy);
    }
    let mut soak_fleet = SoakFleet {
        fleet,
        backends,
        proxies,
        domains: Vec::new(),
        vm_processes: Vec::new(),
        states: vec![VmState::Running; usize::from(options.vms)],
        planned: Vec::new(),
        disturbed: vec![false; usize::from(options.backends)],
        killed_all: Vec::new(),
        observed,
    };
    soak_fleet.register_backends();
    for vm in 0..options.vms {
        let domain = DOMAINS[usize::from(vm) % DOMAINS.len()];
        soak_fleet.domains.push(domain);
        let process = soak_fleet.fleet.start(vm, domain)?;
        soak_fleet.vm_processes.push(process);
    }
    for vm in 0..options.vms {
        soak_fleet.fleet.wait_until_ready(vm, soak_fleet.domains[usize::from(vm)]).await?;
    }
    Ok(soak_fleet)
}

/// Returns why a stopping VM may answer itself a request that a backend server was at work on, if it
/// may: the request's time was over, or the server was still at work near the end of the grace period
/// on a request that was sent early enough.
fn allows_own_answer(observed: &Observations, answer: &OwnAnswer) -> bool {
    if answer.answered_at - answer.sent_at + TIMER_TOLERANCE >= answer.budget {
        return true;
    }
    let Some(since_stop) = observed.time_since_stop(answer.vm, answer.answered_at) else {
        return false;
    };
    let stopped_at = answer.answered_at - since_stop;
    since_stop >= LAST_SIXTH && answer.sent_at <= stopped_at + LATEST_SEND
}

/// Checks the responses to callers against the runs on backend servers.
fn check_guarantees(
    soak_fleet: &SoakFleet,
    observed: &SharedObservations,
    planned_only: bool,
    report: &mut Report,
) {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for backend in &soak_fleet.backends {
        for (id, count) in backend.observed().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    let observed = lock(observed);
    report.sent = observed.sent;
    report.served = observed.served;
    report.reasons.clone_from(&observed.reasons);
    report.violations.extend(observed.violations.iter().cloned());
    for cut in &observed.cut {
        let passed_on = runs.contains_key(&cut.id);
        if observed.is_excused(cut) || !(passed_on || cut.is_late()) {
            continue;
        }
        // Other faults than kills and pauses excuse a request that was not passed on, except around
        // planned work on its VM.
        if !(passed_on || planned_only || observed.is_around_planned_work(cut)) {
            report.not_counted += 1;
            continue;
        }
        let fate = if passed_on { "passed on, not answered" } else { "read, not answered" };
        let (time, vm) = (cut.ended_at - cut.sent_at, cut.vm);
        let written = cut.written_at.map(|at| cut.ended_at.saturating_duration_since(at));
        let since_stop = observed.time_since_stop(vm, cut.ended_at);
        report.violations.push(format!(
            "{}: {fate} by {vm} ({time:?}; after its last byte {written:?}, after SIGTERM \
             {since_stop:?}; behind {:?})",
            cut.id, cut.behind
        ));
    }
    for id in &observed.behind_close {
        if runs.contains_key(id) {
            report.violations.push(format!("{id}: ran behind a response that closes"));
        }
    }
    // Faults of the backend servers and their links excuse an own answer.
    for answer in observed.own_answers.iter().filter(|_| planned_only) {
        if runs.contains_key(&answer.id) && !allows_own_answer(&observed, answer) {
            let OwnAnswer { id, vm, reason, sent_at, answered_at, .. } = answer;
            let since_stop = observed.time_since_stop(*vm, *answered_at);
            report.violations.push(format!(
                "{id}: answered {reason} by {vm} while a backend server was at work ({:?}; after \
                 SIGTERM {since_stop:?})",
                *answered_at - *sent_at
            ));
        }
    }
    for (id, status) in &observed.writes {
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            report.violations.push(format!("{id}: ran {count} times"));
        }
        if [408, 421, 429, 503].contains(status) && count > 0 {
            report.violations.push(format!("{id}: refused with {status} although it ran"));
        }
    }
}

/// Returns whether a VM finds the route `/extra-N/` in time.
async fn learns_route(vm: SocketAddr, number: u16) -> bool {
    let (path, id) = (format!("/extra-{number}/"), format!("added-{vm}"));
    let in_force = || async {
        let response = harness::gateway_request(vm, Method::GET, &path, &id, GATEWAY_KEY).await;
        response.is_ok_and(|response| response.status.as_u16() != 404)
    };
    wait_until(APPLY_LIMIT, in_force).await
}

/// Adds a route, and checks that all VMs find it in time.
async fn check_configuration(
    fleet: &mut GatewayFleet,
    vms: &[SocketAddr],
    report: &mut Report,
) -> anyhow::Result<()> {
    let added = fleet.extra_routes;
    fleet.extra_routes += 1;
    let version = fleet.write_config(&[GATEWAY_KEY]);
    let checks: Vec<_> = vms.iter().map(|vm| tokio::spawn(learns_route(*vm, added))).collect();
    for (vm, check) in vms.iter().zip(checks) {
        if !check.await? {
            let message = format!("{vm}: version {version} not in force after {APPLY_LIMIT:?}");
            report.violations.push(message);
        }
    }
    Ok(())
}

/// Runs the soak test once. An even seed has planned work only, since the faults of an odd one
/// excuse most requests that a stop loses.
///
/// # Errors
/// If the fleet cannot be started, or a process cannot be signalled.
pub async fn run(options: SoakOptions) -> anyhow::Result<Report> {
    let mut random = SmallRng::seed_from_u64(options.seed);
    let observed = SharedObservations::default();
    let mut soak_fleet = start_fleet(&options, SharedObservations::clone(&observed)).await?;
    let mut report = Report::default();
    let planned_only = options.seed.is_multiple_of(2);
    let start = Instant::now();
    let end = start + options.duration;
    let mut limits = LimitPlan::draw(options.seed, options.backends, start, end);
    let mut restores = match options.restores {
        true => RestorePlan::draw(options.seed, start, end),
        false => RestorePlan::default(),
    };
    let vms: Vec<_> = (0..options.vms).map(|vm| soak_fleet.fleet.caller_address(vm)).collect();
    let callers: Vec<_> = (0..CALLERS_PER_VM * u64::from(options.vms))
        .map(|n| {
            tokio::spawn(send_requests(
                options.seed * 100 + n,
                vms.clone(),
                end,
                SharedObservations::clone(&observed),
            ))
        })
        .collect();
    while Instant::now() < end {
        report.faults.push(soak_fleet.inject_random_fault(&mut random, planned_only)?);
        let next = Instant::now() + Duration::from_millis(random.random_range(0..800));
        while Instant::now() < next {
            limits.advance(&soak_fleet.backends);
            restores.advance(Instant::now(), &mut soak_fleet);
            soak_fleet.advance(&mut random)?;
            tokio::time::sleep(STEP).await;
        }
    }
    restores.finish(&mut soak_fleet);
    soak_fleet.clear_faults();
    report.restores = restores.count;
    soak_fleet.backends.iter().for_each(|backend| backend.set_limits(&[]));
    while !soak_fleet.advance(&mut random)? {
        tokio::time::sleep(STEP).await;
    }
    for caller in callers {
        caller.await?;
    }
    for vm in 0..options.vms {
        let address = soak_fleet.fleet.caller_address(vm);
        let serves = || async {
            let id = format!("after-{vm}");
            let response =
                harness::gateway_request(address, Method::GET, "/read/", &id, GATEWAY_KEY).await;
            response.is_ok_and(|response| response.status.as_u16() == 200)
        };
        if !wait_until(RECOVERY_TIMEOUT, serves).await {
            report
                .violations
                .push(format!("vm-{vm} does not serve again after the end of the faults"));
        }
    }
    tokio::time::sleep(SETTLING_TIME).await;
    check_configuration(&mut soak_fleet.fleet, &vms, &mut report).await?;
    check_guarantees(&soak_fleet, &observed, planned_only, &mut report);
    let is_disturbed = |backend: usize| soak_fleet.disturbed[backend];
    let lost = &soak_fleet.killed_all;
    report.violations.extend(limits.check(&soak_fleet.backends, end, lost, is_disturbed));
    if !report.violations.is_empty() {
        soak_fleet.fleet.keep_logs = true;
        report.logs = Some(soak_fleet.fleet.log_folder().to_owned());
    }
    Ok(report)
}
