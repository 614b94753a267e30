//! A caller with a cached address sends a request to a VM more than 3 s after its SIGTERM.

use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_stand::client::{call, request};
use review_stand::gateway::SIGTERM;
use review_stand::*;

const DEADLINE: Duration = Duration::from_millis(4000);
const WORK: Duration = Duration::from_millis(2750);

fn main() {
    std::process::exit(run())
}

/// Plays the case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
fn run() -> i32 {
    let record = Record::create();
    let layout = Layout::new();
    let store = Store::start(&layout.ip(1));
    let routes = [Route {
        prefix: "/publish/",
        kind: "unsafe",
        service: "sandning",
        timeout_ms: 4000,
        objective_ms: 1500,
        max_attempts: 2,
    }];
    store.put("op", "config", &configuration(7, &routes, &["sandning"], 0.0, 0.0));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for i in 1..=4_u8 {
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        let id = format!("i-{i}");
        let backend = Backend::start(&layout.ip(100 + i), &id.clone(), move |message| {
            let request = message.header("request-id").unwrap_or("").to_owned();
            record.line(format!("server {id} runs {request}"));
            runs.lock().unwrap().push(request);
            let work = if message.target().contains("long") { WORK } else { Duration::from_millis(100) };
            Reply::Work(work, 200, vec![("Response-Signature".into(), "s".into())], b"done".to_vec())
        });
        store.put("servers", &format!("i-{i}"), &backend.entry("sandning", "umea-a", 4, "ready", 1));
    }
    let mut vms: Vec<Gateway> =
        (1..=2).map(|vm| layout.start(vm, "umea-a", &["umea-a"], store.address)).collect();
    if !wait_until(Duration::from_secs(10), || vms.iter().all(Gateway::is_ready)) {
        record.verdict("the VMs did not become ready");
        return 2;
    }
    sleep(Duration::from_secs(2));
    // The VM to stop is the one that callers are told to use.
    let told = resolve(&vms[1], "umea-a");
    record.line(format!("callers are told: {told:?}"));
    let Some(index) = vms.iter().position(|vm| Some(vm.callers) == told) else {
        record.verdict("no VM is handed out to callers");
        return 2;
    };
    let mut serving = vms.remove(index);
    for i in 0..20 {
        let bytes = request("POST", "/publish/a", HOST, &format!("warm-{i}"), KEY, 4000, b"bulletin");
        let answer = call(serving.callers, &bytes, DEADLINE);
        record.line(format!("warm-{i}: {}", answer.text()));
    }
    let stopped = Instant::now();
    if trouble() {
        serving.signal(SIGTERM);
        record.line("SIGTERM to the VM that serves");
    }
    let mut callers = Vec::new();
    for i in 0..4_u64 {
        let (record, address) = (record.clone(), serving.callers);
        callers.push(spawn(move || {
            sleep(Duration::from_millis(3150 + 100 * i));
            let id = format!("late-{i}");
            let bytes = request("POST", "/publish/long", HOST, &id, KEY, 4000, b"bulletin");
            record.line(format!("{id} is sent, {:.3} s after SIGTERM", stopped.elapsed().as_secs_f64()));
            let sent = Instant::now();
            let answer = call(address, &bytes, DEADLINE);
            record.line(format!("{id} after {:.3} s: {}", sent.elapsed().as_secs_f64(), answer.text()));
            (id, answer, sent.elapsed())
        }));
    }
    let mut lost = 0;
    for caller in callers {
        let (id, answer, took) = caller.join().unwrap();
        let ran = runs.lock().unwrap().contains(&id);
        if ran && took < DEADLINE && matches!(answer, Answer::Ended(_)) {
            lost += 1;
            record.line(format!("{id} was run by a server, and its connection ended without an answer"));
        }
    }
    record.line(format!("the VM ended: {:?}", serving.ended()));
    record.verdict(format!("LOST: {lost} requests were passed on and never answered"));
    drop(serving);
    drop(vms);
    layout.remove_folder();
    i32::from(lost > 0)
}
