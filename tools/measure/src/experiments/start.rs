//! A fleet of today's size that starts together: the store's budget, a change in force everywhere,
//! and what an idle VM costs.

use std::time::{Duration, Instant};

use anyhow::Context;
use config::{Change, Organisation, Service};
use harness::{Fleet, FleetLayout, send_request};
use http::Method;
use kernel::prelude::*;
use serde_json::Value;

use crate::Options;
use crate::figure::{Bound, Figure, quantile};

/// VMs of today's largest fleet.
const VMS: usize = 44;
const PLACES: &[(&str, &str)] = &[
    ("norrland", "umea-a"),
    ("gotaland", "malmo-a"),
    ("norrland", "lulea-b"),
    ("gotaland", "goteborg-b"),
];
const SERVICES: &[(&str, usize)] = &[("manus", 10), ("sandning", 10), ("rattelse", 15)];
/// Configuration changes that are timed.
const CHANGES: usize = 5;
/// Time for which the cost of idle VMs is measured.
const IDLE: Duration = Duration::from_secs(10);
/// Ticks of processor time in a second, as Linux counts them for programs.
const TICKS: f64 = 100.0;

/// Starts 44 VMs, 35 backend servers and the platform as processes.
pub fn run(_options: &Options) -> anyhow::Result<Vec<Figure>> {
    let runtime = tokio::runtime::Runtime::new().context("cannot start the worker threads")?;
    runtime.block_on(measure())
}

async fn measure() -> anyhow::Result<Vec<Figure>> {
    let shape = FleetLayout::spread(PLACES, VMS, SERVICES, 4);
    let began = Instant::now();
    let fleet = Fleet::start(harness::reexec::programs()?, shape).await?;
    let served = began.elapsed();
    let mut changes = Vec::new();
    for (service, _) in SERVICES {
        let service_of = Service { min_healthy: 0.6, backends: fleet.backend_specs(service) };
        changes.push(Change::PutService { id: (*service).into(), service: service_of });
    }
    let version = fleet.apply(0, changes).await?;
    fleet.wait_for_version(version).await?;
    let mut spread = Vec::new();
    for i in 0..CHANGES {
        spread.push(change(&fleet, i).await?);
    }
    let before = processor_time(&fleet)?;
    let store = seen(&fleet).await?;
    tokio::time::sleep(IDLE).await;
    let after = processor_time(&fleet)?;
    let idle = seen(&fleet).await?;
    let core: Vec<f64> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) / IDLE.as_secs_f64() * 100.0)
        .collect();

    let mut figures = Vec::new();
    let mut push = |name: &str, unit, target: Option<f64>, value: f64| {
        let mut figure = Figure::new(name, unit, target.map(|t| (Bound::AtMost, t)));
        figure.chosen.push(value);
        figures.push(figure);
    };
    let per_second = |name: &str| (number(&idle, name) - number(&store, name)) / IDLE.as_secs_f64();
    push("44 VMs serve after", "s", None, served.as_secs_f64());
    push("reads refused by the store's budget", "", Some(0.0), number(&idle, "reads_refused"));
    push("writes refused by the store's budget", "", Some(0.0), number(&idle, "writes_refused"));
    push("reads of the idle fleet", "1/s", Some(2000.0), per_second("reads"));
    push("writes of the idle fleet", "1/s", Some(400.0), per_second("writes"));
    let worst = spread.iter().copied().fold(0.0, f64::max);
    push("a change in force on 44 VMs, worst of 5", "s", Some(5.0), worst);
    push("idle VM, median", "% core", Some(2.5), quantile(&core, 0.5).unwrap_or_default());
    push("idle VM, worst", "% core", Some(2.5), quantile(&core, 1.0).unwrap_or_default());
    Ok(figures)
}

/// Seconds from the answer to a change until the last VM has it in force.
async fn change(fleet: &Fleet, i: usize) -> anyhow::Result<f64> {
    let rate = Rate { per_second: 10.0 + i as f64, burst: 20.0 };
    let organisation = Organisation { rate, weight: 1.0 };
    let put = Change::PutOrganisation { id: "timed".into(), organisation };
    let version = fleet.apply(i * 7 % VMS, vec![put]).await?;
    let accepted = Instant::now();
    fleet.wait_for_version(version).await?;
    Ok(accepted.elapsed().as_secs_f64())
}

async fn seen(fleet: &Fleet) -> anyhow::Result<Value> {
    Ok(send_request(fleet.platform_address(), &Method::GET, "/seen", &[], "").await?.json())
}

fn number(value: &Value, name: &str) -> f64 {
    value[name].as_f64().unwrap_or(f64::NAN)
}

/// Seconds of processor time that each VM has used.
fn processor_time(fleet: &Fleet) -> anyhow::Result<Vec<f64>> {
    let read = |id: u32| {
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).context("a VM is gone")?;
        // The name in parentheses may hold blanks; user and system time are the 12th and 13th
        // fields after it.
        let (_, fields) = text.rsplit_once(')').context("no fields")?;
        let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<f64>);
        Ok(ticks.collect::<Result<Vec<f64>, _>>()?.iter().sum::<f64>() / TICKS)
    };
    fleet.vms.iter().flatten().map(|vm| read(vm.id())).collect()
}
