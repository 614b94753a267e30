//! Half of the callers' connections to the busy VM of one failure domain are reset at once, several
//! times. Calm traffic in both failure domains follows each time, after `contact_ms` without any
//! disruption.
//!
//! The check is FLOOR as written, over sliding windows of 2 s of the calm traffic: some, but less
//! than `floor_share`, of the sound servers get requests, while more than a tenth of the requests,
//! but under half, are not served.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_stand::client::{call, request, reset};
use review_stand::*;

const SERVERS: usize = 8;
const SLOTS: u32 = 2;
const WORK: Duration = Duration::from_millis(420);
/// How long a caller waits.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Callers in a busy time, each with one request at a time: 16 run, 24 wait for a slot.
const CALLERS: u64 = 40;
/// Resets of a busy time, each after a pause.
const RESETS: u32 = 3;
const RESET_PAUSE: Duration = Duration::from_millis(800);
const ROUNDS: u32 = 7;
/// Time between the busy and the calm traffic: `contact_ms`.
const CONTACT: Duration = Duration::from_millis(4000);
/// Requests per second in a calm time; the servers can run 38.
const CALM_RATE: f64 = 13.7;
/// Two of this many requests come from the failure domain of the busy VM.
const DOMAIN_CYCLE: usize = 5;
const DOMAINS: [&str; 2] = ["umea-a", "lulea-b"];
const CALM_S: f64 = 5.0;
const FLOOR_SHARE: f64 = 0.7;
const WINDOW_S: f64 = 2.0;

/// Times at which requests reached a server, and the server's number.
type Arrivals = Arc<Mutex<Vec<(f64, usize)>>>;

fn get(id: &str) -> Vec<u8> {
    request("GET", "/script/a", HOST, id, KEY, DEADLINE.as_millis() as u64, b"")
}

/// Plays busy traffic, and resets half of its connections if the disruption is played.
fn busy_time(address: SocketAddr, round: u32, record: &Record) {
    let running = Arc::new(AtomicBool::new(true));
    let number = Arc::new(AtomicU64::new(0));
    let open: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (running, number, record) = (Arc::clone(&running), Arc::clone(&number), record.clone());
        let open = Arc::clone(&open);
        callers.push(spawn(move || {
            while running.load(Ordering::Relaxed) {
                let id = format!("busy-{round}-{}", number.fetch_add(1, Ordering::Relaxed));
                let Ok(mut client) = Client::connect(address) else { continue };
                open.lock().unwrap().insert(caller, client.duplicate());
                let answer = client.send(&get(&id)).map(|()| client.receive(DEADLINE));
                open.lock().unwrap().remove(&caller);
                let wait = answer.as_ref().map_or(0.0, |answer| answer.retry_after());
                record.line(format!("{id}: {}", answer.map_or_else(|e| e.to_string(), |a| a.text())));
                sleep(Duration::from_secs_f64(wait));
            }
        }));
    }
    for _ in 0..RESETS {
        sleep(RESET_PAUSE);
        if trouble() {
            let mut open = open.lock().unwrap();
            let half: Vec<TcpStream> = open.drain().map(|(_, s)| s).take(CALLERS as usize / 2).collect();
            record.line(format!("{} connections of callers are reset", half.len()));
            half.iter().for_each(reset);
        }
    }
    sleep(RESET_PAUSE);
    running.store(false, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
}

/// Plays calm traffic; returns how FLOOR was broken, if it was.
fn calm_time(addresses: [SocketAddr; 2], round: u32, start: Instant, arrivals: &Arrivals, record: &Record) -> Option<String> {
    let begun = start.elapsed().as_secs_f64();
    let outcomes: Arc<Mutex<Vec<(f64, bool)>>> = Arc::default();
    let mut callers = Vec::new();
    for i in 0..(CALM_RATE * CALM_S) as usize {
        let due = begun + i as f64 / CALM_RATE;
        sleep(Duration::from_secs_f64((due - start.elapsed().as_secs_f64()).max(0.0)));
        let (outcomes, record) = (Arc::clone(&outcomes), record.clone());
        let address = addresses[usize::from(i % DOMAIN_CYCLE >= 2)];
        callers.push(spawn(move || {
            let sent = start.elapsed().as_secs_f64();
            let id = format!("calm-{round}-{i}");
            let answer = call(address, &get(&id), DEADLINE);
            record.line(format!("{id} sent at {sent:.3} s: {}", answer.text()));
            outcomes.lock().unwrap().push((sent, answer.status() == 200));
        }));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let (arrivals, outcomes) = (arrivals.lock().unwrap(), outcomes.lock().unwrap());
    let used: HashSet<usize> = arrivals.iter().filter(|a| a.0 > begun).map(|a| a.1).collect();
    record.verdict(format!(
        "calm time {round}: {} of {} requests served; {} of {SERVERS} servers got any",
        outcomes.iter().filter(|o| o.1).count(),
        outcomes.len(),
        used.len()
    ));
    let mut at = begun;
    while at + WINDOW_S <= begun + CALM_S {
        let inside = |t: f64| t >= at && t < at + WINDOW_S;
        let used: HashSet<usize> = arrivals.iter().filter(|a| inside(a.0)).map(|a| a.1).collect();
        let sent: Vec<bool> = outcomes.iter().filter(|o| inside(o.0)).map(|o| o.1).collect();
        let unserved = sent.iter().filter(|s| !**s).count() as f64 / sent.len().max(1) as f64;
        let share = used.len() as f64 / SERVERS as f64;
        if share > 0.0 && share < FLOOR_SHARE && unserved > 0.1 && unserved < 0.5 {
            return Some(format!(
                "FLOOR broken in the 2 s from {at:.1} s: {} of {SERVERS} sound servers get requests, {:.0} of \
                 100 requests are not served",
                used.len(),
                unserved * 100.0
            ));
        }
        at += 0.1;
    }
    None
}

fn main() {
    std::process::exit(run())
}

/// Plays the case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
fn run() -> i32 {
    let record = Record::create();
    let layout = Layout::new();
    let store = Store::start(&layout.ip(1));
    let routes = [Route {
        prefix: "/script/",
        kind: "safe",
        service: "manus",
        timeout_ms: 3000,
        objective_ms: 1500,
        max_attempts: 2,
    }];
    store.put("op", "config", &configuration(7, &routes, &["manus"], 0.0, 0.0));
    let start = Instant::now();
    let arrivals: Arrivals = Arc::default();
    for server in 0..SERVERS {
        let (seen, record) = (Arc::clone(&arrivals), record.clone());
        let id = format!("i-{server}");
        let name = id.clone();
        let backend = Backend::start(&layout.ip(100 + server as u8), &id, move |message| {
            seen.lock().unwrap().push((start.elapsed().as_secs_f64(), server));
            record.line(format!("server {name} runs {}", message.header("request-id").unwrap_or("")));
            let signature = vec![("Response-Signature".to_owned(), "s".to_owned())];
            Reply::Work(WORK, 200, signature, vec![b'x'; 1500])
        });
        store.put("servers", &id, &backend.entry("manus", DOMAINS[server % 2], SLOTS, "ready", 1));
    }
    let vms: Vec<Gateway> = (0..4)
        .map(|vm| layout.start(vm + 1, DOMAINS[usize::from(vm) / 2], &DOMAINS, store.address))
        .collect();
    if !wait_until(Duration::from_secs(10), || vms.iter().all(Gateway::is_ready)) {
        record.verdict("the VMs did not become ready");
        return 2;
    }
    sleep(Duration::from_secs(2));
    let (Some(busy), Some(other)) = (resolve(&vms[0], DOMAINS[0]), resolve(&vms[2], DOMAINS[1])) else {
        record.verdict("no VM is handed out to callers");
        return 2;
    };
    record.line(format!("callers of {} use {busy}, those of {} {other}", DOMAINS[0], DOMAINS[1]));
    let mut broken = None;
    for round in 0..ROUNDS {
        busy_time(busy, round, &record);
        sleep(CONTACT);
        broken = calm_time([busy, other], round, start, &arrivals, &record);
        if broken.is_some() {
            break;
        }
    }
    let is_broken = broken.is_some();
    record.verdict(broken.unwrap_or_else(|| "FLOOR held".to_owned()));
    drop(vms);
    layout.remove_folder();
    i32::from(is_broken)
}
