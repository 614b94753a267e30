//! A request that crashes each backend server that runs it comes again and again, each time at
//! another VM. Checks that it reaches backend servers in no more than three retries, sent later than
//! the contact time after it has crashed the third one.

use std::process::ExitCode;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_stand_2::{
    Deployment, POISON_MARK, Record, Result, Route, Target, finish, is_disrupted, post,
};

/// Failure domains; two VMs and `SERVERS_EACH` backend servers run in each.
const DOMAINS: [&str; 4] = ["a1", "a2", "b1", "b2"];
const VMS_EACH: usize = 2;
const SERVERS_EACH: usize = 3;
/// Requests that the organisation may send a second; more than it does.
const RATE: u32 = 200;
/// Time of a run.
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// Interval at which the request comes again.
const POISON_INTERVAL: Duration = Duration::from_millis(4500);
/// Number of times that it comes: twice at each VM.
const POISON_COUNT: usize = 2 * VMS_EACH * DOMAINS.len();
/// Interval of the other requests at each failure domain.
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which backend servers write their entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// `contact_ms` of the platform.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Crashes before the contact time begins.
const FREE_CRASHES: usize = 3;
/// Retries that may reach backend servers after that.
const MAX_RETRIES: usize = 3;

fn main() -> ExitCode {
    finish(run())
}

/// Writes the entries of the backend servers as they do themselves.
fn beat(deployment: &Deployment, servers: &[(String, &str, Target)], sequence: u64) {
    for (id, domain, server) in servers {
        // A server that has crashed and is not back writes nothing.
        let Some(start) = server.running_start() else { continue };
        deployment.register(id, domain, server.address(), 1000 + start, sequence);
    }
}

fn run() -> Result<bool> {
    let mut record = Record::create()?;
    let mut deployment = Deployment::new()?;
    let fleet = deployment.fleet;
    let route = Route { prefix: "/write/", timeout_ms: 2500, objective_ms: 1500 };
    deployment.write_config(&route, RATE);
    let mut servers = Vec::new();
    for number in 0..(SERVERS_EACH * DOMAINS.len()) as u8 {
        let (id, domain) = (format!("i-{number}"), DOMAINS[number as usize / SERVERS_EACH]);
        let address = fleet.server_address(number)?;
        let server = Target::start(address, &id, SERVICE_TIME, is_disrupted())?;
        servers.push((id, domain, server));
    }
    beat(&deployment, &servers, 1);
    let vms: Vec<(u8, &str)> =
        (0..VMS_EACH * DOMAINS.len()).map(|n| (n as u8 + 1, DOMAINS[n / VMS_EACH])).collect();
    for (vm, domain) in &vms {
        deployment.start(*vm, domain)?;
    }
    for (vm, domain) in &vms {
        fleet.wait_until_ready(*vm, domain)?;
    }
    // All VMs have to be in touch.
    let ready_at = Instant::now();
    record.add(format!("{} gateways and {} servers are ready", vms.len(), servers.len()));

    let mut entries = Vec::new();
    for (n, domain) in DOMAINS.iter().enumerate() {
        entries.extend(fleet.resolve(vms[n * VMS_EACH].0, domain));
    }
    let traffic: Vec<_> = entries
        .into_iter()
        .enumerate()
        .map(|(n, entry)| {
            thread::spawn(move || {
                let mut requests = Vec::new();
                for number in 0.. {
                    let id = format!("t-{n}-{number}");
                    requests.push(thread::spawn(move || {
                        let path = format!("/write/{id}");
                        let answer = post(entry, &path, &id);
                        (id, answer.map_or(0, |answer| answer.status()))
                    }));
                    sleep(TRAFFIC_INTERVAL);
                    if ready_at.elapsed() > CONTACT_TIME + POISON_INTERVAL * POISON_COUNT as u32 {
                        break;
                    }
                }
                let mut answers = Vec::new();
                for request in requests {
                    answers.extend(request.join());
                }
                answers
            })
        })
        .collect();

    let mut sequence = 1;
    let mut poisons = Vec::new();
    for number in 0..POISON_COUNT {
        let due = ready_at + CONTACT_TIME + POISON_INTERVAL * number as u32;
        while Instant::now() + HEARTBEAT_INTERVAL / 3 < due {
            sleep(HEARTBEAT_INTERVAL / 3);
            sequence += 1;
            beat(&deployment, &servers, sequence);
        }
        sleep(due.saturating_duration_since(Instant::now()));
        let (vm, domain) = vms[number % vms.len()];
        let address = fleet.caller_address(vm);
        let (id, path) = (format!("p-{number}"), format!("/write/{POISON_MARK}"));
        poisons.push(thread::spawn(move || {
            let answer = post(address, &path, &id);
            let answer = match answer {
                Ok(answer) => answer.status().to_string(),
                Err(error) => error.to_string(),
            };
            (id, vm, domain, answer)
        }));
    }
    let mut crashes: Vec<Instant> =
        servers.iter().flat_map(|(_, _, server)| server.crashes()).collect();
    crashes.sort();
    let third = crashes.get(FREE_CRASHES - 1).copied();
    let mut retries = 0;
    for poison in poisons {
        let (id, vm, domain, answer) = poison.join().map_err(|_| "a caller failed")?;
        let reached: Vec<(&str, Instant)> = servers
            .iter()
            .flat_map(|(server, _, target)| {
                let runs = target.runs().into_iter().filter(|run| run.id == id);
                runs.map(|run| (&**server, run.at)).collect::<Vec<_>>()
            })
            .collect();
        let late = third.is_some_and(|third| reached.iter().any(|r| r.1 > third + CONTACT_TIME));
        retries += usize::from(late);
        let names: Vec<&str> = reached.iter().map(|r| r.0).collect();
        record.add(format!(
            "request {id} at vm-{vm} of {domain}: ran on {names:?}{}; answered {answer}",
            if late { ", a retry that counts" } else { "" },
        ));
        if !is_disrupted() && answer != "200" {
            return Err(format!("{id} failed without a disruption").into());
        }
    }
    let mut answers = Vec::new();
    for task in traffic {
        answers.extend(task.join().map_err(|_| "a caller failed")?);
    }
    let runs: Vec<_> = servers.iter().flat_map(|(_, _, server)| server.runs()).collect();
    let sent = answers.len();
    let failed = answers.iter().filter(|(_, status)| *status != 200).count();
    let is_lost = |id: &str| runs.iter().any(|run| run.id == id && !run.ended);
    let lost = answers.iter().filter(|(id, _)| is_lost(id)).count();
    record.add(format!("servers crashed {} times", crashes.len()));
    record.add(format!(
        "other requests: {sent} sent, {failed} not answered 200, {lost} lost with a server that ran them"
    ));
    if !is_disrupted() && lost > 0 {
        return Err("requests were lost without a disruption".into());
    }
    let broken = retries > MAX_RETRIES;
    record.add(format!(
        "{retries} retries reached servers later than {} s after the third crash, {MAX_RETRIES} \
         may: the rule {}",
        CONTACT_TIME.as_secs(),
        if broken { "was broken (BUDGET)" } else { "held" },
    ));
    Ok(broken)
}
