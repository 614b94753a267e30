//! DENIED: the operator raises the limit of a request's head, and clients use it on connections that
//! they have kept open.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::gateway::{free_ports, resolve, wait_ready, Machine};
use crate::http::Connection;
use crate::store::Store;
use crate::target::Target;
use crate::{Outcome, Stage};

const MACHINES: u8 = 2;
const CONNECTIONS: usize = 20;
/// Limits of a request's head before and after the change.
const LOW_BYTES: usize = 16_384;
const HIGH_BYTES: usize = 65_536;
/// Size of a header of the later requests.
const HEADER_BYTES: usize = 30_000;
/// From the acknowledgement of the change to the later requests; `config_apply_ms` is 2,500.
const WAIT: Duration = Duration::from_secs(4);
const TIMEOUT: Duration = Duration::from_secs(4);
const KEY: &str = "k3y0ftenant0ne";

fn config(version: &str, head_bytes: usize) -> String {
    format!(
        r#"{{"version":"{version}","resources":[
{{"resource_type":"routes","metadata":{{"name":"r-1"}},"spec":{{"host":"a.example","prefix":"/file/","kind":"unsafe","timeout_ms":4000,"latency_objective_ms":1500,"priority":1,"service":"filing","max_attempts":2,"public":false}}}},
{{"resource_type":"services","metadata":{{"name":"filing"}},"spec":{{"health_check_path":"/health","max_connections":390}}}},
{{"resource_type":"tenants","metadata":{{"name":"t1"}},"spec":{{"api_keys":["{KEY}"],"rate_per_s":0,"burst":0}}}},
{{"resource_type":"limits","metadata":{{}},"spec":{{"max_header_bytes":{head_bytes},"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}]}}"#
    )
}

pub fn run(stage: &Stage) -> Outcome {
    let record = &stage.record;
    let store = Store::start();
    let first = if stage.trouble { LOW_BYTES } else { HIGH_BYTES };
    store.put("op", "", "config", Some(&config("r5", first)));
    for number in 1..=4 {
        let id = format!("i-{number}");
        let work = Duration::from_millis(20);
        Target::start(&id, "filing", "z1", 8, work, record).register(&store);
    }
    let ips: Vec<Ipv4Addr> = (1..=MACHINES).map(|n| Ipv4Addr::new(127, 31, 4, n)).collect();
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
    std::thread::sleep(Duration::from_secs(2));
    let Some(address) = resolve(machines[0].directory(), "z1") else {
        return Outcome::NotRun("no directory answers".into());
    };
    let (mut asked, mut denied) = (0, 0);
    let mut send = |connection: &mut Connection, id: &str, header: &str| {
        record.line(&format!("sent {id} with a header of {} bytes to {address}", header.len()));
        let headers = [
            ("Host", "a.example"),
            ("Request-Id", id),
            ("Deadline-Ms", "4000"),
            ("Authorization", &format!("Bearer {KEY}")),
            ("X-Context", header),
        ];
        let answer = connection.call("POST", &format!("/file/{id}"), &headers, b"report", TIMEOUT);
        asked += 1;
        match answer {
            Ok(answer) => {
                record.line(&format!("answered {id} {}", answer.status()));
                denied += usize::from((300..500).contains(&answer.status()));
            }
            Err(error) => record.line(&format!("answered {id} not: {error}")),
        }
    };
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let Ok(mut connection) = Connection::open(address, Duration::from_secs(1)) else {
            return Outcome::NotRun("a machine takes no connection".into());
        };
        send(&mut connection, &format!("a{number}"), "small");
        connections.push(connection);
    }
    if stage.trouble {
        store.put("op", "", "config", Some(&config("r6", HIGH_BYTES)));
        record.line(&format!("disruption r6 raises max_header_bytes to {HIGH_BYTES}; acknowledged"));
    }
    std::thread::sleep(WAIT);
    let header = "c".repeat(HEADER_BYTES);
    for (number, connection) in connections.iter_mut().enumerate() {
        send(connection, &format!("b{number}"), &header);
    }
    for number in 0..CONNECTIONS {
        let Ok(mut connection) = Connection::open(address, Duration::from_secs(1)) else { continue };
        send(&mut connection, &format!("c{number}"), &header);
    }
    let allowed = 5 + asked / 500;
    record.line(&format!("judged {denied} of {asked} proper requests were ended with a 4xx of the system; {allowed} are allowed"));
    if denied > allowed { Outcome::Broken } else { Outcome::Held }
}
