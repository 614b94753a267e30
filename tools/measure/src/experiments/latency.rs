//! Latency that the fleet adds to a request, at 2,000 requests per second on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use config::{Change, Organisation, Route, Service, digest_key};
use harness::{Caller, Fleet, FleetLayout, send_request};
use hdrhistogram::Histogram;
use http::Method;
use kernel::prelude::*;
use tokio::sync::Mutex;

use crate::Options;
use crate::figure::{Bound, Figure};

/// Requests per second on each of the three paths.
const REQUESTS_PER_S: f64 = 2000.0;
/// Number of connections on each path.
const CONNECTIONS: usize = 64;
/// Duration of the measurement of a path.
const MEASURE_TIME: Duration = Duration::from_secs(5);
/// Target for the 99th percentile of the added latency.
const TARGET_MS: f64 = 1.8;
const KEY: &str = "key-of-the-measurement";
const SERVICE: &str = "echo";

/// Measures three paths, one after the other in the same run: direct, via the home, and via another
/// VM that forwards to the home.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let runtime = tokio::runtime::Runtime::new().context("cannot start the Tokio runtime")?;
    let bound = Some((Bound::AtMost, TARGET_MS));
    let mut figures = vec![
        Figure::new("added, not forwarded, median", "ms", None),
        Figure::new("added, not forwarded, 99th percentile", "ms", bound),
        Figure::new("added, forwarded once, median", "ms", None),
        Figure::new("added, forwarded once, 99th percentile", "ms", bound),
        Figure::new("direct, median", "ms", None),
        Figure::new("direct, 99th percentile", "ms", None),
    ];
    for _ in 0..options.runs.min(3) {
        let samples = runtime.block_on(measure())?;
        for (figure, sample) in figures.iter_mut().zip(samples) {
            figure.chosen.push(sample);
        }
    }
    Ok(figures)
}

async fn measure() -> anyhow::Result<[f64; 6]> {
    let mut layout = FleetLayout::spread(&[("norrland", "umea-a")], 2, &[(SERVICE, 4)], 64);
    layout.median_time = Duration::from_millis(1);
    layout.p99_time = Duration::from_millis(1);
    let fleet = Fleet::start(harness::reexec::programs()?, layout).await?;
    let version = fleet.apply(0, changes(&fleet)).await?;
    fleet.wait_for_version(version).await?;
    let entry_path = format!("/.papayareel/entry?service={SERVICE}&region=norrland");
    let entry =
        send_request(fleet.caller_address(0), &Method::GET, &entry_path, &[], "").await?.json();
    let home: SocketAddr = entry["addresses"][0]["address"]
        .as_str()
        .context("the entry response lists no address")?
        .parse()?;
    let other_vm = if home == fleet.caller_address(0) {
        fleet.caller_address(1)
    } else {
        fleet.caller_address(0)
    };
    // Opens connections, fills token buckets and gives the detectors their latency statistics.
    for address in [home, other_vm] {
        measure_latency(vec![address], Duration::from_secs(2)).await?;
    }
    let direct =
        measure_latency((0..4).map(|b| fleet.backend_address(b)).collect(), MEASURE_TIME).await?;
    let via_home = measure_latency(vec![home], MEASURE_TIME).await?;
    let forwarded = measure_latency(vec![other_vm], MEASURE_TIME).await?;
    let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    let added = |h: &Histogram<u64>, q: f64| at(h, q) - at(&direct, q);
    Ok([
        added(&via_home, 0.5),
        added(&via_home, 0.99),
        added(&forwarded, 0.5),
        added(&forwarded, 0.99),
        at(&direct, 0.5),
        at(&direct, 0.99),
    ])
}

fn changes(fleet: &Fleet) -> Vec<Change> {
    let organisation = Organisation {
        rate: Rate { per_second: 4.0 * REQUESTS_PER_S, burst: 4.0 * REQUESTS_PER_S },
        weight: 1.0,
    };
    let route = Route {
        prefix: "/echo".into(),
        methods: Vec::new(),
        service: SERVICE.into(),
        public: false,
        idempotent: true,
        weight: 1.0,
        deadline: Duration::from_secs(5),
        organisations: Vec::new(),
    };
    let service = Service { min_healthy: 0.5, backends: fleet.backend_specs(SERVICE) };
    vec![
        Change::PutService { id: SERVICE.into(), service },
        Change::PutRoute { id: SERVICE.into(), route },
        Change::PutOrganisation { id: "measure".into(), organisation },
        Change::IssueKey { digest: digest_key(KEY.as_bytes()), organisation: "measure".into() },
    ]
}

/// Sends requests at even intervals over many connections and returns their latencies in
/// microseconds.
async fn measure_latency(
    addresses: Vec<SocketAddr>,
    duration: Duration,
) -> anyhow::Result<Histogram<u64>> {
    let times = Arc::new(Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?));
    let send_interval = CONNECTIONS as f64 / REQUESTS_PER_S;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for c in 0..CONNECTIONS {
        let mut caller = Caller::new(addresses[c % addresses.len()]);
        let times = Arc::clone(&times);
        tasks.push(tokio::spawn(async move {
            let mut samples = Vec::new();
            let mut sent = c as f64 / CONNECTIONS as f64;
            while start.elapsed() < duration {
                let due = Duration::from_secs_f64(sent * send_interval);
                tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
                let sent_at = Instant::now();
                let headers = [("papayareel-key", KEY)];
                let response = caller.send(&Method::GET, "/echo/x", &headers, "").await?;
                ensure!(
                    response.status.is_success(),
                    "request failed with status {}: {:?}",
                    response.status,
                    response.body
                );
                samples.push(sent_at.elapsed().as_micros() as u64);
                sent += 1.0;
            }
            let mut times = times.lock().await;
            for value in samples {
                times.saturating_record(value);
            }
            anyhow::Ok(())
        }));
    }
    for task in tasks {
        task.await??;
    }
    let times = times.lock().await.clone();
    Ok(times)
}
