//! BUDGET: a request that crashes the targets that run it comes again in all zones, while many tenants
//! send a request now and then.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::gateway::{free_ports, wait_ready, Machine};
use crate::http::Connection;
use crate::store::Store;
use crate::target::{Target, CRASHING_PATH};
use crate::{Outcome, Stage};

const ZONES: [&str; 4] = ["z1", "z2", "z3", "z4"];
const TARGETS: usize = 12;
/// Number of tenants, and the interval at which each sends a request in each zone. Together that is
/// within its rate.
const TENANTS: u64 = 2000;
const INTERVAL: Duration = Duration::from_secs(5);
/// Time of this load before the crashing request comes for the first time.
const WARM_UP: Duration = Duration::from_secs(12);
/// How often the crashing request comes, and the time from one to the next.
const CRASHING_REQUESTS: usize = 12;
const CRASHING_GAP: Duration = Duration::from_millis(2600);
/// Bound of the settings, and retries that the rule allows.
const CONTACT: Duration = Duration::from_secs(4);
const ALLOWED: usize = 3;
const WORKERS: u64 = 24;
const TIMEOUT: Duration = Duration::from_secs(4);

fn key(tenant: u64) -> String {
    format!("key{tenant}x")
}

fn config(tenants: u64) -> String {
    let tenant = |number| {
        format!(
            r#"{{"resource_type":"tenants","metadata":{{"name":"t{number}"}},"spec":{{"api_keys":["{}"],"rate_per_s":1,"burst":4}}}}"#,
            key(number)
        )
    };
    let tenants: Vec<String> = (0..tenants).map(tenant).collect();
    format!(
        r#"{{"version":"r5","resources":[
{{"resource_type":"routes","metadata":{{"name":"r-1"}},"spec":{{"host":"a.example","prefix":"/file/","kind":"unsafe","timeout_ms":4000,"latency_objective_ms":1500,"priority":1,"service":"filing","max_attempts":2,"public":false}}}},
{{"resource_type":"services","metadata":{{"name":"filing"}},"spec":{{"health_check_path":"/health","max_connections":390}}}},
{},
{{"resource_type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}]}}"#,
        tenants.join(",\n")
    )
}

/// A client that keeps its connection.
struct Caller {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Caller {
    fn send(&mut self, id: &str, path: &str, tenant: u64) -> Option<u16> {
        let open = || Connection::open(self.address, Duration::from_secs(1));
        let mut connection = self.connection.take().or_else(|| open().ok())?;
        let headers = [
            ("Host", "a.example"),
            ("Request-Id", id),
            ("Deadline-Ms", "4000"),
            ("Authorization", &format!("Bearer {}", key(tenant))),
        ];
        let answer = connection.call("POST", path, &headers, b"report", TIMEOUT).ok()?;
        if answer.header("connection") != Some("close") {
            self.connection = Some(connection);
        }
        Some(answer.status())
    }
}

pub fn run(stage: &Stage) -> Outcome {
    let record = &stage.record;
    let tenants = std::env::var("TENANTS").ok().and_then(|t| t.parse().ok()).unwrap_or(TENANTS);
    let store = Store::start();
    store.put("op", "", "config", Some(&config(tenants)));
    for number in 0..TARGETS {
        let (id, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()]);
        let work = Duration::from_millis(10);
        Target::start(&id, "filing", zone, 32, work, record).register(&store);
    }
    let ips: Vec<Ipv4Addr> = (1..=ZONES.len() as u8).map(|n| Ipv4Addr::new(127, 31, 5, n)).collect();
    let ports = free_ports(&ips);
    let zones = r#"{"z1":"r1","z2":"r1","z3":"r1","z4":"r1"}"#;
    let machine = |(n, ip): (usize, &Ipv4Addr)| {
        let name = format!("frontend-{}", n + 1);
        Machine::new(&stage.folder, &name, *ip, ZONES[n], zones, &ips[..3], ports, store.address)
    };
    let mut machines: Vec<Machine> = ips.iter().enumerate().map(machine).collect();
    machines.iter_mut().for_each(Machine::start);
    if !wait_ready(&machines, Duration::from_secs(10)) {
        return Outcome::NotRun("the machines are not ready".into());
    }
    let addresses: Vec<SocketAddr> = machines.iter().map(Machine::frontend).collect();
    let (begin, over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut workers = Vec::new();
    for (zone, address) in addresses.iter().copied().enumerate() {
        let slots = Arc::new(AtomicU64::new(0));
        for _ in 0..WORKERS {
            let (slots, over) = (Arc::clone(&slots), Arc::clone(&over));
            let (sent, served, record) = (Arc::clone(&sent), Arc::clone(&served), Arc::clone(record));
            workers.push(std::thread::spawn(move || {
                let mut caller = Caller { address, connection: None };
                while !over.load(Ordering::Relaxed) {
                    let number = slots.fetch_add(1, Ordering::Relaxed);
                    let at = begin + INTERVAL.mul_f64(number as f64 / tenants as f64);
                    std::thread::sleep(at.saturating_duration_since(Instant::now()));
                    let (id, path) = (format!("l{zone}-{number}"), format!("/file/{number}"));
                    let status = caller.send(&id, &path, number % tenants);
                    sent.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(u64::from(status == Some(200)), Ordering::Relaxed);
                    if status != Some(200) {
                        record.line(&format!("answered {id} {status:?}"));
                    }
                }
            }));
        }
    }
    std::thread::sleep(WARM_UP);
    for number in 0..CRASHING_REQUESTS {
        let zone = number / 2 % ZONES.len();
        if stage.trouble {
            let id = format!("c{number}");
            record.line(&format!("sent {id}, the crashing request, in {}", ZONES[zone]));
            let status = Caller { address: addresses[zone], connection: None }.send(&id, CRASHING_PATH, 1);
            record.line(&format!("answered {id} {status:?}"));
        }
        std::thread::sleep(CRASHING_GAP);
    }
    over.store(true, Ordering::Relaxed);
    for worker in workers {
        let _ = worker.join();
    }
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.line(&format!("load {sent} requests of {tenants} tenants were sent, {served} were served"));
    if served * 2 < sent {
        return Outcome::NotRun(format!("only {served} of {sent} other requests were served"));
    }
    judge(stage)
}

/// The rule: at most three retries of the request reach targets later than `contact_ms` after it has
/// crashed the third one.
fn judge(stage: &Stage) -> Outcome {
    let crashes: Vec<Duration> = stage.record.lines("crash").iter().map(|(at, _)| *at).collect();
    let late = match crashes.get(2) {
        Some(third) => crashes.iter().filter(|at| **at > *third + CONTACT).count(),
        None => 0,
    };
    stage.record.line(&format!(
        "judged the request crashed {} targets, {late} of them later than {} s after the third; {ALLOWED} are allowed",
        crashes.len(),
        CONTACT.as_secs()
    ));
    if late > ALLOWED { Outcome::Broken } else { Outcome::Held }
}
