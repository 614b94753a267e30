//! Simultaneous start of a fleet of today's size: whether it stays within the store's rate limits,
//! how long a configuration change takes to reach every VM, and the CPU use of an idle VM.

use std::time::{Duration, Instant};

use anyhow::Context;
use config::{Change, Organisation, Service};
use harness::{Fleet, FleetLayout, send_request};
use http::Method;
use kernel::prelude::*;
use serde_json::Value;

use crate::Options;
use crate::figure::{Bound, Figure, quantile};

/// Number of VMs of today's largest fleet.
const VMS: usize = 44;
const PLACES: &[(&str, &str)] = &[
    ("norrland", "umea-a"),
    ("gotaland", "malmo-a"),
    ("norrland", "lulea-b"),
    ("gotaland", "goteborg-b"),
];
const SERVICES: &[(&str, usize)] = &[("manus", 10), ("sandning", 10), ("rattelse", 15)];
/// Number of configuration changes whose propagation is timed.
const TIMED_CHANGES: usize = 5;
/// Duration of the measurement of idle VMs.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// CPU time ticks per second in `/proc/PID/stat` (`USER_HZ` of Linux).
const TICKS_PER_S: f64 = 100.0;

/// Starts 44 VMs, 35 backend servers and the platform as processes, and measures them.
pub fn run(_options: &Options) -> anyhow::Result<Vec<Figure>> {
    let runtime = tokio::runtime::Runtime::new().context("cannot start the Tokio runtime")?;
    runtime.block_on(measure())
}

async fn measure() -> anyhow::Result<Vec<Figure>> {
    let layout = FleetLayout::spread(PLACES, VMS, SERVICES, 4);
    let began = Instant::now();
    let fleet = Fleet::start(harness::reexec::programs()?, layout).await?;
    let startup_time = began.elapsed();
    let mut changes = Vec::new();
    for (service, _) in SERVICES {
        let service_config = Service { min_healthy: 0.6, backends: fleet.backend_specs(service) };
        changes.push(Change::PutService { id: (*service).into(), service: service_config });
    }
    let version = fleet.apply(0, changes).await?;
    fleet.wait_for_version(version).await?;
    let mut propagation_times = Vec::new();
    for i in 0..TIMED_CHANGES {
        propagation_times.push(measure_propagation(&fleet, i).await?);
    }
    let cpu_before = read_cpu_times(&fleet)?;
    let counters_before = read_store_counters(&fleet).await?;
    tokio::time::sleep(IDLE_TIME).await;
    let cpu_after = read_cpu_times(&fleet)?;
    let counters_after = read_store_counters(&fleet).await?;
    let cpu_percent: Vec<f64> = cpu_after
        .iter()
        .zip(&cpu_before)
        .map(|(cpu_after, cpu_before)| (cpu_after - cpu_before) / IDLE_TIME.as_secs_f64() * 100.0)
        .collect();

    let mut figures = Vec::new();
    let mut push = |name: &str, unit, target: Option<f64>, value: f64| {
        let mut figure = Figure::new(name, unit, target.map(|t| (Bound::AtMost, t)));
        figure.chosen.push(value);
        figures.push(figure);
    };
    let per_second = |name: &str| {
        (counter(&counters_after, name) - counter(&counters_before, name)) / IDLE_TIME.as_secs_f64()
    };
    push("44 VMs serve after", "s", None, startup_time.as_secs_f64());
    push(
        "reads refused by the store's budget",
        "",
        Some(0.0),
        counter(&counters_after, "reads_refused"),
    );
    push(
        "writes refused by the store's budget",
        "",
        Some(0.0),
        counter(&counters_after, "writes_refused"),
    );
    push("reads of the idle fleet", "1/s", Some(2000.0), per_second("reads"));
    push("writes of the idle fleet", "1/s", Some(400.0), per_second("writes"));
    let worst = propagation_times.iter().copied().fold(0.0, f64::max);
    push("a change in force on 44 VMs, worst of 5", "s", Some(5.0), worst);
    push("idle VM, median", "% core", Some(2.5), quantile(&cpu_percent, 0.5).unwrap_or_default());
    push("idle VM, worst", "% core", Some(2.5), quantile(&cpu_percent, 1.0).unwrap_or_default());
    Ok(figures)
}

/// Returns the seconds from the acceptance of a change until it is in force on the last VM.
async fn measure_propagation(fleet: &Fleet, i: usize) -> anyhow::Result<f64> {
    let rate = Rate { per_second: 10.0 + i as f64, burst: 20.0 };
    let organisation = Organisation { rate, weight: 1.0 };
    let put = Change::PutOrganisation { id: "timed".into(), organisation };
    let version = fleet.apply(i * 7 % VMS, vec![put]).await?;
    let accepted = Instant::now();
    fleet.wait_for_version(version).await?;
    Ok(accepted.elapsed().as_secs_f64())
}

async fn read_store_counters(fleet: &Fleet) -> anyhow::Result<Value> {
    Ok(send_request(fleet.platform_address(), &Method::GET, "/seen", &[], "").await?.json())
}

fn counter(value: &Value, name: &str) -> f64 {
    value[name].as_f64().unwrap_or(f64::NAN)
}

/// Returns the CPU seconds that each VM has used.
fn read_cpu_times(fleet: &Fleet) -> anyhow::Result<Vec<f64>> {
    let read = |id: u32| {
        let text = std::fs::read_to_string(format!("/proc/{id}/stat"))
            .context("cannot read the CPU time of a VM: it has exited")?;
        // The program name in parentheses may contain spaces; user and system time are the 12th and
        // 13th fields after it.
        let (_, fields) = text.rsplit_once(')').context("/proc/PID/stat has no program name")?;
        let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<f64>);
        Ok(ticks.collect::<Result<Vec<f64>, _>>()?.iter().sum::<f64>() / TICKS_PER_S)
    };
    fleet.vms.iter().flatten().map(|vm| read(vm.id())).collect()
}
