use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use harness::{Fleet, FleetLayout, send_request};
use hdrhistogram::Histogram;
use http::Method;
use serde_json::json;

use crate::demo_config::{ORGANISATIONS, SERVICES, changes};
use crate::report::Report;
use crate::traffic::{self, RequestStream, TrafficStats};

const PLACES: &[(&str, &str)] = &[
    ("norrland", "umea-a"),
    ("gotaland", "malmo-a"),
    ("norrland", "lulea-b"),
    ("gotaland", "goteborg-b"),
];
/// Index of the backend server that is made gray; it belongs to the first service.
const GRAY_BACKEND: usize = 0;
/// Duration of the traffic before the failure, and again after its start.
const PHASE_DURATION: Duration = Duration::from_secs(6);

/// Starts the fleet, sends traffic before and during a stall of one backend server, and reports.
pub async fn run() -> anyhow::Result<Report> {
    let counts: Vec<(&str, usize)> = SERVICES.iter().map(|(s, _)| (*s, 10)).collect();
    let layout = FleetLayout::spread(PLACES, 8, &counts, 4);
    let (vms, backends) = (layout.vms.len(), layout.backends.len());
    let fleet = Fleet::start(harness::reexec::programs()?, layout).await?;
    let version = fleet.apply(0, changes(&fleet)).await?;
    fleet.wait_for_version(version).await?;

    let healthy = run_traffic(&fleet, 0, PHASE_DURATION).await?;
    let stall = json!({"stall": true});
    fleet.control(fleet.backend_address(GRAY_BACKEND), stall).await?;
    let failed_at = Instant::now();
    let ejection_watch = wait_for_ejection(&fleet, failed_at);
    let (gray, ejected) = tokio::join!(run_traffic(&fleet, 1, PHASE_DURATION), ejection_watch);
    let gray = gray?;
    let (ejected, ejected_after_ms) = ejected?;

    let mut refused = healthy.refused.clone();
    for (kind, count) in &gray.refused {
        *refused.entry(kind.clone()).or_default() += count;
    }
    let mut wrong_samples = healthy.wrong_samples.clone();
    wrong_samples.extend(gray.wrong_samples.iter().cloned());
    Ok(Report {
        vms,
        backends,
        answered: healthy.answered + gray.answered,
        refused,
        wrong: healthy.wrong + gray.wrong,
        wrong_samples,
        healthy_median_ms: quantile(&healthy, 0.5)?,
        healthy_p99_ms: quantile(&healthy, 0.99)?,
        gray_median_ms: quantile(&gray, 0.5)?,
        gray_p99_ms: quantile(&gray, 0.99)?,
        gray: format!("b{GRAY_BACKEND} of {}", SERVICES[0].0),
        ejected,
        ejected_after_ms,
    })
}

fn quantile(stats: &TrafficStats, q: f64) -> anyhow::Result<f64> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?;
    for latency in &stats.latencies_ms {
        histogram.saturating_record((latency * 1e3) as u64);
    }
    Ok(histogram.value_at_quantile(q) as f64 / 1e3)
}

/// Sends the traffic of all organisations for a time. Half of the callers connect to the VM that
/// the entry response names; the others connect to any VM and rely on forwarding.
async fn run_traffic(
    fleet: &Fleet,
    phase_index: usize,
    duration: Duration,
) -> anyhow::Result<TrafficStats> {
    let stats = Arc::new(Mutex::new(TrafficStats::default()));
    let mut tasks = Vec::new();
    for (service, idempotent) in SERVICES {
        for (o, (organisation, rate)) in ORGANISATIONS.iter().enumerate() {
            for (r, region) in ["norrland", "gotaland"].iter().enumerate() {
                let entry_path = format!("/.papayareel/entry?service={service}&region={region}");
                let any_vm = fleet.caller_address((o + r) % fleet.vms.len());
                let entry = send_request(any_vm, &Method::GET, &entry_path, &[], "").await?.json();
                let first = &entry["addresses"][0];
                let address =
                    first["address"].as_str().context("the entry response lists no address")?;
                let prefix = first["idempotency_prefix"].as_str().map(str::to_owned);
                let rate_factor = if *organisation == "radio-loud" { 3.0 } else { 0.2 };
                tasks.push(tokio::spawn(traffic::run(
                    RequestStream {
                        address: if o % 2 == 0 { address.parse()? } else { any_vm },
                        organisation,
                        service,
                        idempotency_prefix: if *idempotent { None } else { prefix },
                        rate: rate * rate_factor,
                        within_rate: rate_factor < 1.0,
                        duration,
                    },
                    phase_index * 1000 + tasks.len(),
                    Arc::clone(&stats),
                )));
            }
        }
    }
    for task in tasks {
        task.await.context("a traffic task panicked")?;
    }
    let stats = std::mem::take(&mut *stats.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(stats)
}

/// Waits for an ejection. Returns the ejected backend servers and the time in ms from the failure
/// to the ejection, or `None` if none happened within [`PHASE_DURATION`].
async fn wait_for_ejection(
    fleet: &Fleet,
    failed_at: Instant,
) -> anyhow::Result<(Vec<String>, Option<u64>)> {
    while failed_at.elapsed() < PHASE_DURATION {
        let status = fleet.operator(1).await?.status(Default::default()).await?;
        if !status.ejections.is_empty() {
            let names = status
                .ejections
                .iter()
                .map(|e| format!("{} of {} ({:?}, by {})", e.backend, e.service, e.reason, e.vm));
            let first = status.ejections.iter().map(|e| e.since).max().unwrap_or_default();
            let after = failed_at.elapsed().saturating_sub(first).as_millis() as u64;
            return Ok((names.collect(), Some(after)));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok((Vec::new(), None))
}
