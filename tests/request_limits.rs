//! Guards against backend servers that get more requests than the limit that they name, from all VMs
//! together. Each test runs gateways between callers, a store and backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use harness::{GATEWAY_KEY as KEY, GatewayFleet, gateway_request as request};
use http::Method;
use standins::gateway_backend::GatewayBackend;
use tokio::task::JoinHandle;

/// Service time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time after the first response that names a limit from which the limit must hold.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Failure domains of the VMs, by their number.
const DOMAINS: [&str; 4] = ["a1", "a1", "b1", "b1"];

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

/// Two VMs in each of two failure domains.
async fn fleet() -> anyhow::Result<GatewayFleet> {
    let mut fleet = GatewayFleet::new(env!("CARGO_BIN_EXE_papayareel-gateway")).await?;
    fleet.write_config(&[KEY]);
    Ok(fleet)
}

async fn start_vms(fleet: &mut GatewayFleet) -> anyhow::Result<Vec<SocketAddr>> {
    for (vm, domain) in (0..).zip(DOMAINS) {
        fleet.start(vm, domain)?;
    }
    for (vm, domain) in (0..).zip(DOMAINS) {
        fleet.wait_until_ready(vm, domain).await?;
    }
    Ok((0..4).map(|vm| fleet.caller_address(vm)).collect())
}

/// How the requests of the callers ended.
#[derive(Default)]
struct Results {
    sent: AtomicU64,
    served: AtomicU64,
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
                let reply = request(address, method, path, &id, KEY).await;
                results.sent.fetch_add(1, Ordering::Relaxed);
                if reply.is_ok_and(|reply| reply.status.as_u16() == 200) {
                    results.served.fetch_add(1, Ordering::Relaxed);
                }
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
    let vms = start_vms(&mut fleet).await?;
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
