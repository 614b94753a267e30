use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use harness::{Fleet, FleetLayout, send_request};
use hdrhistogram::Histogram;
use http::Method;
use serde_json::json;

use crate::desired::{ORGANISATIONS, SERVICES, changes};
use crate::report::Report;
use crate::traffic::{self, Stream, Tally};

const PLACES: &[(&str, &str)] = &[
    ("norrland", "umea-a"),
    ("gotaland", "malmo-a"),
    ("norrland", "lulea-b"),
    ("gotaland", "goteborg-b"),
];
/// Number of the backend server that is made gray; it belongs to the first service.
const GRAY: usize = 0;
/// Time for which traffic runs before and after the failure.
const PHASE: Duration = Duration::from_secs(6);

/// Starts the fleet, runs the traffic and reports.
pub async fn run() -> anyhow::Result<Report> {
    let counts: Vec<(&str, usize)> = SERVICES.iter().map(|(s, _)| (*s, 10)).collect();
    let shape = FleetLayout::spread(PLACES, 8, &counts, 4);
    let (vms, backends) = (shape.vms.len(), shape.backends.len());
    let fleet = Fleet::start(harness::reexec::programs()?, shape).await?;
    let version = fleet.apply(0, changes(&fleet)).await?;
    fleet.wait_for_version(version).await?;

    let healthy = phase(&fleet, 0, PHASE).await?;
    let stall = json!({"stall": true});
    fleet.control(fleet.backend_address(GRAY), stall).await?;
    let onset = Instant::now();
    let watch = watch_ejection(&fleet, onset);
    let (gray, ejected) = tokio::join!(phase(&fleet, 1, PHASE), watch);
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
        gray: format!("b{GRAY} of {}", SERVICES[0].0),
        ejected,
        ejected_after_ms,
    })
}

fn quantile(tally: &Tally, q: f64) -> anyhow::Result<f64> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?;
    for time in &tally.times_ms {
        histogram.saturating_record((time * 1e3) as u64);
    }
    Ok(histogram.value_at_quantile(q) as f64 / 1e3)
}

/// Sends the traffic of all organisations for a while. Half of the callers use the entry
/// response; the others use any VM.
async fn phase(fleet: &Fleet, number: usize, time: Duration) -> anyhow::Result<Tally> {
    let tally = Arc::new(Mutex::new(Tally::default()));
    let mut tasks = Vec::new();
    for (service, idempotent) in SERVICES {
        for (o, (organisation, rate)) in ORGANISATIONS.iter().enumerate() {
            for (r, region) in ["norrland", "gotaland"].iter().enumerate() {
                let target = format!("/.papayareel/entry?service={service}&region={region}");
                let any = fleet.caller_address((o + r) % fleet.vms.len());
                let entry = send_request(any, &Method::GET, &target, &[], "").await?.json();
                let first = &entry["addresses"][0];
                let address = first["address"].as_str().context("the entry has no address")?;
                let prefix = first["idempotency_prefix"].as_str().map(str::to_owned);
                let loud = if *organisation == "radio-loud" { 3.0 } else { 0.2 };
                tasks.push(tokio::spawn(traffic::run(
                    Stream {
                        address: if o % 2 == 0 { address.parse()? } else { any },
                        organisation,
                        service,
                        prefix: if *idempotent { None } else { prefix },
                        rate: rate * loud,
                        within: loud < 1.0,
                        time,
                    },
                    number * 1000 + tasks.len(),
                    Arc::clone(&tally),
                )));
            }
        }
    }
    for task in tasks {
        task.await.context("a caller failed")?;
    }
    let tally = std::mem::take(&mut *tally.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(tally)
}

/// Waits for the ejection of a backend server. Returns those ejected and the time that it took.
async fn watch_ejection(
    fleet: &Fleet,
    onset: Instant,
) -> anyhow::Result<(Vec<String>, Option<u64>)> {
    while onset.elapsed() < PHASE {
        let status = fleet.operator(1).await?.status(Default::default()).await?;
        if !status.ejections.is_empty() {
            let names = status
                .ejections
                .iter()
                .map(|e| format!("{} of {} ({:?}, by {})", e.backend, e.service, e.reason, e.vm));
            let first = status.ejections.iter().map(|e| e.since).max().unwrap_or_default();
            let after = onset.elapsed().saturating_sub(first).as_millis() as u64;
            return Ok((names.collect(), Some(after)));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok((Vec::new(), None))
}
