//! ROUTE: another writer leaves a row that names no target among the rows of the targets: an entry
//! without all of its fields, or a row in another part of the table.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Clients;
use crate::gateway::{free_ports, wait_ready, Machine};
use crate::store::Store;
use crate::target::Target;
use crate::{Outcome, Stage};

const MACHINES: u8 = 2;
/// Requests a second, half of them to each service.
const DEMAND: f64 = 100.0;
const SENDING: Duration = Duration::from_secs(14);
/// When the other writer writes its entry first, how often, and how many times.
const FIRST_WRITE: Duration = Duration::from_secs(3);
const WRITE_GAP: Duration = Duration::from_secs(1);
const WRITES: u32 = 10;
const KEY: &str = "k3y0ftenant0ne";

fn config() -> String {
    format!(
        r#"{{"version":"r5","resources":[
{{"resource_type":"routes","metadata":{{"name":"r-1"}},"spec":{{"host":"a.example","prefix":"/file/","kind":"unsafe","timeout_ms":4000,"latency_objective_ms":1500,"priority":1,"service":"filing","max_attempts":2,"public":false}}}},
{{"resource_type":"routes","metadata":{{"name":"r-2"}},"spec":{{"host":"a.example","prefix":"/read/","kind":"safe","timeout_ms":4000,"latency_objective_ms":1500,"priority":1,"service":"archive","max_attempts":2,"public":false}}}},
{{"resource_type":"services","metadata":{{"name":"filing"}},"spec":{{"health_check_path":"/health","max_connections":390}}}},
{{"resource_type":"services","metadata":{{"name":"archive"}},"spec":{{"health_check_path":"/health","max_connections":390}}}},
{{"resource_type":"tenants","metadata":{{"name":"t1"}},"spec":{{"api_keys":["{KEY}"],"rate_per_s":0,"burst":0}}}},
{{"resource_type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}]}}"#
    )
}

/// What the other writer writes.
#[derive(Clone, Copy, PartialEq)]
pub enum Writing {
    /// `servers/i-a1` without `version` and `born`.
    FieldsMissing,
    /// A whole entry with the key `i-a1` in a part that is not empty.
    OtherPart,
}

pub fn run(stage: &Stage, writing: Writing) -> Outcome {
    let record = &stage.record;
    let store = Store::start();
    store.put("op", "", "config", Some(&config()));
    let mut targets = Vec::new();
    for (service, letter) in [("filing", 'f'), ("archive", 'a')] {
        for number in 1..=3 {
            let id = format!("i-{letter}{number}");
            let target = Target::start(&id, service, "z1", 4, Duration::from_millis(50), record);
            target.register(&store);
            targets.push(target);
        }
    }
    let ips: Vec<Ipv4Addr> = (1..=MACHINES).map(|n| Ipv4Addr::new(127, 31, 2, n)).collect();
    let ports = free_ports(&ips);
    let machine = |(n, ip): (usize, &Ipv4Addr)| {
        let (name, zones) = (format!("frontend-{}", n + 1), r#"{"z1":"r1"}"#);
        Machine::new(&stage.folder, &name, *ip, "z1", zones, &ips, ports, store.address)
    };
    let mut machines: Vec<Machine> = ips.iter().enumerate().map(machine).collect();
    machines.iter_mut().for_each(Machine::start);
    if !wait_ready(&machines, Duration::from_secs(10)) {
        return Outcome::NotRun("the machines are not ready".into());
    }
    let directories = machines.iter().map(Machine::directory).collect();
    let clients = Clients::new(record, directories, "z1");
    let (begin, slots) = (Instant::now(), Arc::new(AtomicU64::new(0)));
    let workers: Vec<_> = (0..16)
        .map(|_| {
            let (clients, slots) = (Arc::clone(&clients), Arc::clone(&slots));
            std::thread::spawn(move || loop {
                let number = slots.fetch_add(1, Ordering::Relaxed);
                let at = begin + Duration::from_secs_f64(number as f64 / DEMAND);
                if at >= begin + SENDING {
                    return;
                }
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                match number % 2 {
                    0 => clients.send("POST", &format!("/file/{number}"), KEY, b"report"),
                    _ => clients.send("GET", &format!("/read/{number}"), KEY, b""),
                };
            })
        })
        .collect();
    if stage.trouble {
        let victim = targets.iter().find(|target| target.id == "i-a1").expect("a target");
        let (part, more) = match writing {
            Writing::FieldsMissing => ("", ""),
            Writing::OtherPart => ("plan", r#","version":"v1","born":1765000000000"#),
        };
        let entry = format!(
            "{{\"service\":\"filing\",\"address\":\"{}\",\"zone\":\"z1\",\"slots\":4,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":1{more}}}",
            victim.address
        );
        for number in 0..WRITES {
            let at = begin + FIRST_WRITE + WRITE_GAP * number;
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            record.line(&format!("disruption another writer writes table servers part {part:?} key i-a1: {entry}"));
            store.put("servers", part, "i-a1", Some(&entry));
        }
    }
    for worker in workers {
        let _ = worker.join();
    }
    judge(stage)
}

/// The rule: no request is run by a service to which its route does not lead.
fn judge(stage: &Stage) -> Outcome {
    let runs = stage.record.lines("run");
    if runs.len() < 100 {
        return Outcome::NotRun(format!("only {} requests ran", runs.len()));
    }
    let is_foreign = |text: &str| {
        text.contains("(archive)") && text.contains(" /file/")
            || text.contains("(filing)") && text.contains(" /read/")
    };
    let foreign: Vec<&String> = runs.iter().map(|(_, text)| text).filter(|t| is_foreign(t)).collect();
    stage.record.line(&format!(
        "judged {} of {} requests were run by a service to which no configuration sends them, first: {}",
        foreign.len(),
        runs.len(),
        foreign.first().map_or("none", |text| text.as_str())
    ));
    if foreign.is_empty() { Outcome::Held } else { Outcome::Broken }
}
