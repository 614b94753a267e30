//! Guards against backend servers that get more requests than the limit that they name, from all VMs
//! together. Each test runs gateways between callers, a store and backend servers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use harness::{
    GATEWAY_KEY as KEY, GatewayFleet, HttpResponse, gateway_request as request, wait_until,
};
use http::Method;
use standins::gateway_backend::GatewayBackend;
use tokio::task::JoinHandle;

/// Service time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time after the first response that names a limit from which the limit must hold.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Longest time to a refusal of a request for which there is no room.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(600);

/// Highest number of requests that a backend server may get in a window.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Highest number of requests in any window that ends between two times.
fn most_in_window(backend: &GatewayBackend, from: Instant, to: Instant) -> usize {
    let arrivals = backend.observed().arrivals;
    let ends = arrivals.iter().filter(|at| **at >= from && **at <= to);
    let count =
        |end: &Instant| arrivals.iter().filter(|at| **at <= *end && **at + WINDOW > *end).count();
    ends.map(count).max().unwrap_or(0)
}

async fn fleet() -> anyhow::Result<GatewayFleet> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    Ok(fleet)
}

async fn start_vms(fleet: &mut GatewayFleet, domains: &[&str]) -> anyhow::Result<Vec<SocketAddr>> {
    for (vm, domain) in (0..).zip(domains) {
        fleet.start(vm, domain)?;
    }
    for (vm, domain) in (0..).zip(domains) {
        fleet.wait_until_ready(vm, domain).await?;
    }
    // The leaders have heard of each other.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    Ok((0..domains.len() as u8).map(|vm| fleet.caller_address(vm)).collect())
}

/// How the requests of the callers ended.
#[derive(Default)]
struct Results {
    sent: AtomicU64,
    served: AtomicU64,
    /// Refusals with the time that they took and their Retry-After.
    refused: Mutex<Vec<(Duration, Duration)>>,
}

impl Results {
    fn record(&self, reply: anyhow::Result<HttpResponse>, took: Duration) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        let Ok(reply) = reply else { return };
        match reply.status.as_u16() {
            200 => drop(self.served.fetch_add(1, Ordering::Relaxed)),
            503 => {
                let retry_after = reply.header("retry-after").parse().unwrap_or_default();
                let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
                refused.push((took, Duration::from_secs_f64(retry_after)));
            }
            _ => {}
        }
    }
}

/// Sends requests to all VMs until `end`: at each VM eight callers, with a pause between two requests.
fn send_requests(vms: &[SocketAddr], end: Instant) -> (Arc<Results>, Vec<JoinHandle<()>>) {
    let results = Arc::new(Results::default());
    let callers =
        vms.iter().enumerate().flat_map(|(vm, address)| (0..8).map(move |n| (vm, *address, n)));
    let tasks = callers.map(|(vm, address, caller)| {
        let results = Arc::clone(&results);
        tokio::spawn(async move {
            let mut number = 0;
            while Instant::now() < end {
                let id = format!("{vm}-{caller}-{number}");
                let method = if number % 2 == 0 { Method::GET } else { Method::POST };
                let path = if number % 2 == 0 { "/read/" } else { "/write/" };
                let start = Instant::now();
                let reply = request(address, method, path, &id, KEY).await;
                results.record(reply, start.elapsed());
                number += 1;
                tokio::time::sleep(Duration::from_millis(150)).await;
            }
        })
    });
    (Arc::clone(&results), tasks.collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn limited_server_gets_at_most_its_limit_from_all_vms() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let limited = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let slow = fleet.start_backend(2, "b1", SERVICE_TIME).await?;
    let _others = [
        fleet.start_backend(3, "a1", SERVICE_TIME).await?,
        fleet.start_backend(4, "b1", SERVICE_TIME).await?,
    ];
    let vms = start_vms(&mut fleet, &["a1", "a1", "b1", "b1"]).await?;
    limited.set_limits(&["5"]);
    slow.set_limits(&["1"]);
    let start = Instant::now();
    let end = start + Duration::from_secs(14);
    let (results, tasks) = send_requests(&vms, end);
    futures::future::join_all(tasks).await;
    for (backend, limit) in [(&limited, 5.0), (&slow, 1.0)] {
        let named_at = backend.observed().arrivals[0];
        let most = most_in_window(backend, named_at + CONTACT_TIME, end);
        assert!(most <= allowed(limit), "{most} requests in 4 s at a limit of {limit}");
        assert!(most > 0, "nothing was sent at a limit of {limit}");
    }
    // The others have room for all requests.
    let (sent, served) =
        (results.sent.load(Ordering::Relaxed), results.served.load(Ordering::Relaxed));
    assert!(sent > 500 && served * 100 >= sent * 99, "{served} of {sent}");
    Ok(())
}

/// All backend servers are limited: what their limits allow is used, in whichever failure domain the
/// callers are, and the rest is refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn full_demand_uses_the_limits_and_the_rest_is_refused_at_once() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let limited = [
        fleet.start_backend(1, "a1", SERVICE_TIME).await?,
        fleet.start_backend(2, "b1", SERVICE_TIME).await?,
    ];
    let vms = start_vms(&mut fleet, &["a1", "a2", "b1", "b2"]).await?;
    limited.iter().for_each(|backend| backend.set_limits(&["5"]));
    let start = Instant::now();
    let end = start + Duration::from_secs(16);
    let (results, tasks) = send_requests(&vms, end);
    futures::future::join_all(tasks).await;
    for backend in &limited {
        let arrivals = backend.observed().arrivals;
        let most = most_in_window(backend, arrivals[0] + CONTACT_TIME, end);
        assert!(most <= allowed(5.0), "{most} requests in 4 s at a limit of 5");
        let from = arrivals[0] + CONTACT_TIME;
        let count = arrivals.iter().filter(|at| **at >= from && **at < end).count();
        let used = count as f64 / (5.0 * (end - from).as_secs_f64());
        assert!(used >= 0.9, "{used} of the limit used");
    }
    let refused = results.refused.lock().unwrap_or_else(PoisonError::into_inner).clone();
    assert!(refused.len() > 100, "{} refused", refused.len());
    let late = refused.iter().filter(|(took, _)| *took > MAX_REFUSAL_TIME).count();
    // Those that are queued in time and overtaken by more urgent ones may be refused later.
    assert!(late * 10 <= refused.len(), "{late} of {} refusals were late", refused.len());
    assert!(refused.iter().all(|(_, retry_after)| *retry_after >= Duration::from_millis(100)));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn server_is_used_again_after_its_limit_ends() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let backend = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let vms = start_vms(&mut fleet, &["a1", "a1", "a2"]).await?;
    backend.set_limits(&["2"]);
    let start = Instant::now();
    let (_, tasks) = send_requests(&vms, start + Duration::from_secs(14));
    tokio::time::sleep(Duration::from_secs(8)).await;
    let limited = backend.observed().arrivals.len();
    backend.set_limits(&[]);
    let is_used = || async { backend.observed().arrivals.len() > limited + 100 };
    assert!(wait_until(Duration::from_secs(3), is_used).await, "not used within 3 s");
    // No VM holds on to the limit.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for (vm, address) in vms.iter().enumerate() {
        let id = format!("after-{vm}");
        let reply = request(*address, Method::POST, "/write/", &id, KEY).await?;
        assert_eq!(reply.status.as_u16(), 200, "{id}");
    }
    futures::future::join_all(tasks).await;
    Ok(())
}

/// Neither a new leader nor one that wakes up begins with a burst, and none forgets the limit.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_while_its_owners_are_stopped_killed_and_paused() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let backend = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let _other = fleet.start_backend(2, "b1", SERVICE_TIME).await?;
    let domains = ["a1", "a1", "a1", "a1", "b1"];
    let vms = start_vms(&mut fleet, &domains).await?;
    backend.set_limits(&["2"]);
    let start = Instant::now();
    let end = start + Duration::from_secs(22);
    let (_, tasks) = send_requests(&vms, end);
    for signal in ["TERM", "KILL", "STOP"] {
        tokio::time::sleep(Duration::from_secs(6)).await;
        let leader = fleet.resolve(4, "a1").await;
        let vm = vms.iter().position(|vm| Some(*vm) == leader);
        let vm = vm.ok_or_else(|| anyhow::anyhow!("no leader before SIG{signal}"))?;
        fleet.processes[vm].signal(signal)?;
        if signal == "STOP" {
            tokio::time::sleep(Duration::from_millis(2500)).await;
            fleet.processes[vm].signal("CONT")?;
        }
    }
    futures::future::join_all(tasks).await;
    let most = most_in_window(&backend, start + CONTACT_TIME, end);
    assert!(most <= allowed(2.0), "{most} requests in 4 s at a limit of 2");
    assert!(most > 0, "nothing was sent");
    Ok(())
}

/// What cannot be read as a number neither ends a limit nor stops a VM.
#[tokio::test(flavor = "multi_thread")]
async fn values_that_are_no_limit_leave_the_one_in_force() -> anyhow::Result<()> {
    let mut fleet = fleet().await?;
    let backend = fleet.start_backend(1, "a1", SERVICE_TIME).await?;
    let _other = fleet.start_backend(2, "a1", SERVICE_TIME).await?;
    let vms = start_vms(&mut fleet, &["a1", "a1"]).await?;
    backend.set_limits(&["2"]);
    let start = Instant::now();
    let end = start + Duration::from_secs(12);
    let (results, tasks) = send_requests(&vms, end);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for bad in [&["NaN"][..], &["-5"], &["inf"], &[""], &["none"], &["1e400"], &["NaN", "2"]] {
        backend.set_limits(bad);
        tokio::time::sleep(Duration::from_millis(1400)).await;
    }
    futures::future::join_all(tasks).await;
    let most = most_in_window(&backend, start + CONTACT_TIME, end);
    assert!(most <= allowed(2.0), "{most} requests in 4 s at a limit of 2");
    let (sent, served) =
        (results.sent.load(Ordering::Relaxed), results.served.load(Ordering::Relaxed));
    assert!(served * 100 >= sent * 99, "{served} of {sent}");
    assert!(fleet.log(0).contains("limit-unreadable") || fleet.log(1).contains("limit-unreadable"));
    Ok(())
}
