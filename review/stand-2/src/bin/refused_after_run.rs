//! A link is cut in the direction from two backend servers: requests of an `unsafe` route reach them
//! and run, and nothing comes back. Checks that none of these requests is refused with a status that
//! promises that it has not run.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::Context;
use review_stand_2::{Deployment, Link, Record, RouteSpec, Target, finish, is_disrupted, post};
use tokio::time::sleep;

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

#[tokio::main]
async fn main() -> ExitCode {
    finish(run().await)
}

async fn run() -> anyhow::Result<bool> {
    let mut record = Record::create()?;
    let root = std::env::current_dir()?;
    let mut deployment = Deployment::new(Path::new(&root)).await?;
    let route =
        RouteSpec { prefix: "/write/", kind: "unsafe", timeout_ms: 2500, objective_ms: 1500 };
    deployment.write_config(&[route], RATE);
    let (mut servers, mut links) = (Vec::new(), Vec::new());
    for number in 0..SERVERS {
        let id = format!("i-{number}");
        let server = Target::start(deployment.server_address(number)?, &id, SERVICE_TIME, false)?;
        let link = Link::open(deployment.server_address(SERVERS + number)?, server.address())?;
        deployment.register(&id, DOMAINS[0], link.address(), 5, 1);
        servers.push(server);
        links.push(link);
    }
    for (vm, domain) in (1..).zip(DOMAINS) {
        deployment.start(vm, domain)?;
    }
    for (vm, domain) in (1..).zip(DOMAINS) {
        deployment.wait_until_ready(vm, domain).await?;
    }
    let entry = deployment.resolve(1, DOMAINS[0]).await.context("no address")?;
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
                link.set_cut(true);
            }
            record.add("the direction from servers i-0 and i-1 to the gateways is cut");
        }
        let cut_at = Instant::now();
        let tasks: Vec<_> = (0..SERVERS)
            .map(|number| {
                let id = format!("{round}-{number}");
                tokio::spawn(async move {
                    let path = format!("/write/{id}");
                    let sent = Instant::now();
                    let answer = post(entry, &path, &id).await;
                    (id, answer, sent.elapsed())
                })
            })
            .collect();
        record.add(format!("round {round}: {SERVERS} requests are sent"));
        for task in tasks {
            let (id, answer, took) = task.await?;
            let (status, text) = match &answer {
                Ok(answer) => {
                    let (status, retry) = (answer.status(), answer.header("retry-after"));
                    (status, format!("{status}, Retry-After {retry:?}, {}", answer.text()))
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
            anyhow::ensure!(
                is_disrupted() || status == 200,
                "request {id} failed without a disruption"
            );
        }
        if round + 1 == rounds && is_disrupted() {
            sleep(CUT_TIME.saturating_sub(cut_at.elapsed())).await;
            links.iter().for_each(|link| link.set_cut(false));
            record.add("the links are whole again");
        }
        sleep(ROUND_PAUSE).await;
    }
    record.add(if broken { "the rule was broken" } else { "the rule held" });
    Ok(broken)
}
