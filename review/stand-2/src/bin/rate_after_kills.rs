//! Half of the VMs, among them all that serve callers, are killed at the same moment and start again,
//! while an organisation sends several times what it may. Checks that no more of its requests run in
//! any window than the platform's rule allows.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_stand_2::{
    Deployment, Fleet, Record, Result, Route, Target, finish, is_disrupted, post,
};

/// Failure domains; two VMs and `SERVERS_EACH` backend servers run in each.
const DOMAINS: [&str; 4] = ["a1", "a2", "b1", "b2"];
const VMS_EACH: usize = 2;
const SERVERS_EACH: usize = 6;
/// Time of a run.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Requests that the organisation may send a second, and its burst.
const RATE: u32 = 40;
/// `quota_window_s`, `quota_overshoot` and `quota_slack` of the platform.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Callers of each failure domain, and the mean time between two requests of one of them. All
/// together send ten times the rate.
const CALLERS_EACH: u64 = 50;
const REQUEST_INTERVAL_MS: u64 = 500;
/// Time for which a caller uses an address, and that of every third caller.
const ADDRESS_TIME: Duration = Duration::from_secs(2);
const LONG_ADDRESS_TIME: Duration = Duration::from_secs(6);
/// Pause of a caller that gets no address.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);
/// `contact_ms` of the platform: time before the first request.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Time from the first request to the kill, in which the burst is spent.
const CALM_TIME: Duration = Duration::from_secs(8);
/// Time from the kill to the next start.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time from the kill to the end.
const WATCH_TIME: Duration = Duration::from_secs(12);

/// A small random number generator, so that the callers do not act in step.
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

/// Counts of a caller's answers by kind.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    served: u32,
    refused: u32,
    other: u32,
}

fn vms_of(domain: usize) -> [u8; VMS_EACH] {
    let first = (domain * VMS_EACH) as u8 + 1;
    [first, first + 1]
}

/// Asks the VMs of a failure domain for an address, beginning with a random one.
fn resolve(fleet: Fleet, domain: usize, random: &mut Random) -> Option<SocketAddr> {
    let mut vms = vms_of(domain);
    vms.rotate_left(random.below(VMS_EACH as u64) as usize);
    for vm in vms {
        if let Some(address) = fleet.resolve(vm, DOMAINS[domain]) {
            return Some(address);
        }
    }
    None
}

/// Sends requests, each on a new connection, to an address that is kept for a time. Asks for another
/// one when it fails.
fn call(fleet: Fleet, number: u64, end: Instant) -> Answers {
    let mut random = Random::new(number + 1);
    let domain = (number % DOMAINS.len() as u64) as usize;
    let kept = if number.is_multiple_of(3) { LONG_ADDRESS_TIME } else { ADDRESS_TIME };
    let mut entry: Option<(SocketAddr, Instant)> = None;
    let mut answers = Answers::default();
    sleep(Duration::from_millis(random.below(REQUEST_INTERVAL_MS)));
    for request in 0.. {
        if Instant::now() >= end {
            break;
        }
        if entry.is_none_or(|(_, at)| at.elapsed() > kept) {
            let found = resolve(fleet, domain, &mut random);
            entry = found.map(|address| (address, Instant::now())).or(entry);
        }
        let Some((address, _)) = entry else {
            sleep(RESOLVE_PAUSE);
            continue;
        };
        match post(address, "/write/x", &format!("{number}-{request}")) {
            Ok(answer) if answer.status() == 200 => answers.served += 1,
            Ok(answer) if answer.status() == 429 => answers.refused += 1,
            Ok(_) => answers.other += 1,
            Err(_) => {
                answers.other += 1;
                entry = None;
            }
        }
        let pause = REQUEST_INTERVAL_MS / 2 + random.below(REQUEST_INTERVAL_MS);
        sleep(Duration::from_millis(pause));
    }
    answers
}

/// The VM of each failure domain that callers are sent to.
fn leaders(fleet: Fleet) -> Vec<(u8, &'static str)> {
    let mut found = Vec::new();
    for (domain, name) in DOMAINS.into_iter().enumerate() {
        let vms = vms_of(domain);
        let address = fleet.resolve(vms[0], name);
        let leader = vms.into_iter().find(|vm| Some(fleet.caller_address(*vm)) == address);
        found.extend(leader.map(|vm| (vm, name)));
    }
    found
}

fn main() -> ExitCode {
    finish(run())
}

fn run() -> Result<bool> {
    let mut record = Record::create()?;
    let mut deployment = Deployment::new()?;
    let fleet = deployment.fleet;
    let route = Route { prefix: "/write/", timeout_ms: 2500, objective_ms: 1500 };
    deployment.write_config(&route, RATE);
    let mut servers = Vec::new();
    for number in 0..(SERVERS_EACH * DOMAINS.len()) as u8 {
        let (id, domain) = (format!("i-{number}"), DOMAINS[number as usize % DOMAINS.len()]);
        let address = fleet.server_address(number)?;
        let server = Target::start(address, &id, SERVICE_TIME, false)?;
        deployment.register(&id, domain, server.address(), 5, 1);
        servers.push(server);
    }
    for (domain, name) in DOMAINS.into_iter().enumerate() {
        for vm in vms_of(domain) {
            deployment.start(vm, name)?;
        }
    }
    for (domain, name) in DOMAINS.into_iter().enumerate() {
        for vm in vms_of(domain) {
            fleet.wait_until_ready(vm, name)?;
        }
    }
    sleep(CONTACT_TIME);
    record.add(format!("{} gateways are ready, callers begin", DOMAINS.len() * VMS_EACH));

    let begin = Instant::now();
    let callers: Vec<_> = (0..CALLERS_EACH * DOMAINS.len() as u64)
        .map(|number| {
            let end = begin + CALM_TIME + WATCH_TIME;
            thread::spawn(move || call(fleet, number, end))
        })
        .collect();
    sleep(CALM_TIME);
    if is_disrupted() {
        let killed = leaders(fleet);
        for (vm, _) in &killed {
            deployment.kill(*vm)?;
        }
        record.add(format!("killed at once, and started again: {killed:?}"));
        sleep(RESTART_TIME);
        for (vm, domain) in &killed {
            deployment.start(*vm, domain)?;
        }
    }
    let mut answers = Answers::default();
    for caller in callers {
        let Answers { served, refused, other } = caller.join().map_err(|_| "a caller failed")?;
        answers.served += served;
        answers.refused += refused;
        answers.other += other;
    }
    record.add(format!("{answers:?}"));

    let mut runs: Vec<Duration> = servers
        .iter()
        .flat_map(Target::runs)
        .map(|run| run.at.saturating_duration_since(begin))
        .collect();
    runs.sort();
    for second in 0..(CALM_TIME + WATCH_TIME).as_secs() {
        let count = runs.iter().filter(|at| at.as_secs() == second).count();
        record.add(format!("second {second} of the traffic: {count} requests ran"));
    }
    let in_window =
        |from: &Duration| runs.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    let most = runs.iter().map(in_window).max().unwrap_or(0);
    let rate = f64::from(RATE);
    let allowed = (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERSHOOT) + SLACK;
    let broken = most as f64 > allowed;
    record.add(format!(
        "at most {most} requests ran in {} s, {allowed} may: the rule {}",
        WINDOW.as_secs(),
        if broken { "was broken (QUOTA)" } else { "held" },
    ));
    if answers.served == 0 {
        return Err("nothing was served".into());
    }
    Ok(broken)
}
