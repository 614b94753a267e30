//! QUOTA: a tenant asks for more than its limit, and all processes of the system are killed at the same
//! moment and start again.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Clients;
use crate::gateway::{free_ports, wait_ready, Machine};
use crate::store::Store;
use crate::target::Target;
use crate::{Outcome, Stage};

const MACHINES: u8 = 2;
const TARGETS: usize = 6;
const RATE: f64 = 20.0;
const BURST: f64 = 200.0;
/// Requests a second that the tenant sends: five times its rate.
const DEMAND: f64 = 100.0;
/// Time before that, in which it saves up its burst.
const SAVING: Duration = Duration::from_secs(10);
/// Time for which it sends.
const SENDING: Duration = Duration::from_secs(12);
/// From the begin of the sending to the kill, and from the kill to the next start.
const KILL_AFTER: Duration = Duration::from_millis(2500);
const DOWN: Duration = Duration::from_millis(500);
/// Bounds of the settings.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
const KEY: &str = "k3y0ftenant0ne";

fn config() -> String {
    format!(
        r#"{{"version":"r5","resources":[
{{"resource_type":"routes","metadata":{{"name":"r-1"}},"spec":{{"host":"a.example","prefix":"/file/","kind":"unsafe","timeout_ms":4000,"latency_objective_ms":1500,"priority":1,"service":"filing","max_attempts":2,"public":false}}}},
{{"resource_type":"services","metadata":{{"name":"filing"}},"spec":{{"health_check_path":"/health","max_connections":390}}}},
{{"resource_type":"tenants","metadata":{{"name":"t1"}},"spec":{{"api_keys":["{KEY}"],"rate_per_s":{RATE},"burst":{BURST}}}}},
{{"resource_type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}]}}"#
    )
}

pub fn run(stage: &Stage) -> Outcome {
    let record = &stage.record;
    let store = Store::start();
    store.put("op", "", "config", Some(&config()));
    for number in 0..TARGETS {
        let id = format!("i-{number}");
        Target::start(&id, "filing", "z1", 8, Duration::from_millis(20), record).register(&store);
    }
    let ips: Vec<Ipv4Addr> = (1..=MACHINES).map(|n| Ipv4Addr::new(127, 31, 1, n)).collect();
    let ports = free_ports(&ips);
    let mut machines: Vec<Machine> = ips
        .iter()
        .enumerate()
        .map(|(n, ip)| {
            let name = format!("frontend-{}", n + 1);
            let zones = r#"{"z1":"r1"}"#;
            Machine::new(&stage.folder, &name, *ip, "z1", zones, &ips, ports, store.address)
        })
        .collect();
    machines.iter_mut().for_each(Machine::start);
    if !wait_ready(&machines, Duration::from_secs(10)) {
        return Outcome::NotRun("the machines are not ready".into());
    }
    // The tenant saves up its burst.
    std::thread::sleep(SAVING);
    let directories = machines.iter().map(Machine::directory).collect();
    let clients = Clients::new(record, directories, "z1");
    let begin = Instant::now();
    let (slots, over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let workers: Vec<_> = (0..40)
        .map(|_| {
            let (clients, slots, over) = (Arc::clone(&clients), Arc::clone(&slots), Arc::clone(&over));
            std::thread::spawn(move || loop {
                let number = slots.fetch_add(1, Ordering::Relaxed);
                let at = begin + Duration::from_secs_f64(number as f64 / DEMAND);
                if at >= begin + SENDING || over.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                clients.send("POST", &format!("/file/{number}"), KEY, b"report");
            })
        })
        .collect();
    if stage.trouble {
        std::thread::sleep((begin + KILL_AFTER).saturating_duration_since(Instant::now()));
        machines.iter().for_each(|machine| machine.signal("KILL"));
        record.line("disruption all processes of the system are killed");
        machines.iter_mut().for_each(|machine| machine.wait(Duration::from_secs(1)));
        std::thread::sleep(DOWN);
        record.line("disruption all processes of the system start again");
        machines.iter_mut().for_each(Machine::start);
    }
    for worker in workers {
        let _ = worker.join();
    }
    judge(stage)
}

/// The rule: in no window more requests are both sent and run than the limit allows.
fn judge(stage: &Stage) -> Outcome {
    let id = |text: &str| text.split(' ').nth(1).unwrap_or("").to_owned();
    let sent: HashMap<String, Duration> =
        stage.record.lines("sent").iter().map(|(at, text)| (id(text), *at)).collect();
    let runs = stage.record.lines("run");
    let mut both: Vec<(Duration, Duration)> =
        runs.iter().filter_map(|(at, text)| Some((*sent.get(&id(text))?, *at))).collect();
    if both.len() < 50 {
        return Outcome::NotRun(format!("only {} requests ran", both.len()));
    }
    both.sort_unstable();
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let within = |start: Duration| {
        both.iter().filter(|(sent, run)| *sent >= start && *run <= start + WINDOW).count()
    };
    let most = both.iter().map(|(sent, _)| (within(*sent), *sent)).max().unwrap_or_default();
    stage.record.line(&format!(
        "judged {} requests of the tenant were sent and ran in the {} s from {:.3}; {allowed:.0} are allowed",
        most.0,
        WINDOW.as_secs(),
        most.1.as_secs_f64()
    ));
    if most.0 as f64 > allowed { Outcome::Broken } else { Outcome::Held }
}
