//! A link is cut in the direction from two backend servers: requests of an `unsafe` route reach them
//! and run, and nothing comes back. Checks that none of these requests is refused with a status that
//! promises that it has not run.

use std::process::ExitCode;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_stand_2::{Deployment, Link, Record, Result, Route, Target, finish, is_disrupted, post};

/// Failure domains; one VM runs in each.
const DOMAINS: [&str; 4] = ["a1", "a2", "b1", "b2"];
/// Number of backend servers, all in the first failure domain.
const SERVERS: u8 = 4;
/// Number of backend servers that are cut off: a share of 0.5.
const CUT_SERVERS: usize = 2;
/// Length of the cut.
const CUT_TIME: Duration = Duration::from_secs(8);
/// Requests that the organisation may send a second; more than it does.
const RATE: u32 = 200;
/// Time of a run.
const SERVICE_TIME: Duration = Duration::from_millis(300);
/// Pause between two rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn main() -> ExitCode {
    finish(run())
}

fn run() -> Result<bool> {
    let mut record = Record::create()?;
    let mut deployment = Deployment::new()?;
    let fleet = deployment.fleet;
    let route = Route { prefix: "/write/", timeout_ms: 2500, objective_ms: 1500 };
    deployment.write_config(&route, RATE);
    let (mut servers, mut links) = (Vec::new(), Vec::new());
    for number in 0..SERVERS {
        let id = format!("i-{number}");
        let server = Target::start(fleet.server_address(number)?, &id, SERVICE_TIME, false)?;
        let link = Link::open(fleet.server_address(SERVERS + number)?, server.address())?;
        deployment.register(&id, DOMAINS[0], link.address(), 5, 1);
        servers.push(server);
        links.push(link);
    }
    for (vm, domain) in (1..).zip(DOMAINS) {
        deployment.start(vm, domain)?;
    }
    for (vm, domain) in (1..).zip(DOMAINS) {
        fleet.wait_until_ready(vm, domain)?;
    }
    let entry = fleet.resolve(1, DOMAINS[0]).ok_or("no address")?;
    record.add(format!(
        "{} gateways are ready; callers of {} use {entry}",
        DOMAINS.len(),
        DOMAINS[0]
    ));
    let runs = |id: &str| servers.iter().flat_map(Target::runs).filter(|run| run.id == id).count();

    let mut broken = false;
    let rounds = 3;
    for round in 0..rounds {
        if round + 1 == rounds && is_disrupted() {
            for link in &links[..CUT_SERVERS] {
                link.cut()?;
            }
            record.add("the direction from servers i-0 and i-1 to the gateways is cut");
        }
        let cut_at = Instant::now();
        let tasks: Vec<_> = (0..SERVERS)
            .map(|number| {
                let id = format!("{round}-{number}");
                thread::spawn(move || {
                    let path = format!("/write/{id}");
                    let sent = Instant::now();
                    let answer = post(entry, &path, &id);
                    (id, answer, sent.elapsed())
                })
            })
            .collect();
        record.add(format!("round {round}: {SERVERS} requests are sent"));
        for task in tasks {
            let (id, answer, took) = task.join().map_err(|_| "a caller failed")?;
            let (status, text) = match &answer {
                Ok(answer) => {
                    let (status, retry) = (answer.status(), answer.header("retry-after"));
                    (status, format!("{status}, Retry-After {retry:?}, {}", answer.body))
                }
                Err(error) => (0, format!("no answer: {error}")),
            };
            let count = runs(&id);
            record.add(format!(
                "request {id} ran {count} times; answered after {} ms with {text}",
                took.as_millis(),
            ));
            if count > 0 && PROMISES.contains(&status) {
                broken = true;
                record.add(format!("REFUSED: request {id} has run and was answered {status}"));
            }
            if !is_disrupted() && status != 200 {
                return Err(format!("request {id} failed without a disruption").into());
            }
        }
        if round + 1 == rounds && is_disrupted() {
            sleep(CUT_TIME.saturating_sub(cut_at.elapsed()));
            links.iter().for_each(|link| link.restore());
            record.add("the links are whole again");
        }
        sleep(ROUND_PAUSE);
    }
    record.add(if broken { "the rule was broken" } else { "the rule held" });
    Ok(broken)
}
