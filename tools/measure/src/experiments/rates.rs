//! Admissions above the configured rates and refusals below them.

use std::thread;
use std::time::Duration;

use kernel::Rate;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::Options;
use crate::figure::{Bound, Figure};
use crate::rate_fleet::{Organisation, RateFleet, Report, RunOptions};

const VMS: usize = 40;

/// Rates of the organisations in requests per second; a few are much larger than the others.
const RATES: [f64; 8] = [400.0, 250.0, 150.0, 50.0, 40.0, 30.0, 20.0, 10.0];

/// Burst of an organisation, in seconds of its rate.
const BURST_S: f64 = 2.0;

/// Maximum number of runs at the same time; leaves cores of a shared machine to others.
const MAX_PARALLEL_RUNS: usize = 4;

/// Distribution of the requests of an organisation over the VMs.
#[derive(Clone, Copy, PartialEq)]
enum Spread {
    /// Evenly.
    Even,
    /// Half of the VMs get ten times as many requests as the others.
    Skewed,
    /// Two VMs get all requests, as with one home in each region.
    Homes,
}

struct Scenario {
    name: &'static str,
    spread: Spread,
    bursts: bool,
    duration_s: u64,
    vm_lost_s: Option<u64>,
    outage_start_s: Option<u64>,
    /// Maximum percentage of refusals; `None` for a scenario that is only reported.
    target: Option<f64>,
}

const SCENARIOS: [Scenario; 9] = [
    Scenario::two_minutes("even", Spread::Even, false, None),
    Scenario::two_minutes("skewed 10 to 1", Spread::Skewed, false, Some(0.1)),
    Scenario::two_minutes("skewed 10 to 1, bursts", Spread::Skewed, true, Some(0.1)),
    Scenario::two_minutes("two homes", Spread::Homes, false, Some(0.1)),
    Scenario::two_minutes("two homes, bursts", Spread::Homes, true, Some(0.1)),
    Scenario::two_minutes("one VM lost", Spread::Skewed, false, Some(1.0)).with_vm_loss(20),
    Scenario::two_minutes("one VM lost, bursts", Spread::Skewed, true, Some(1.0)).with_vm_loss(20),
    Scenario::two_minutes("store away an hour", Spread::Skewed, false, Some(1.0)).with_outage(),
    Scenario::two_minutes("store away an hour, one VM lost", Spread::Skewed, true, Some(1.0))
        .with_vm_loss(600)
        .with_outage(),
];

impl Scenario {
    const fn two_minutes(
        name: &'static str,
        spread: Spread,
        bursts: bool,
        target: Option<f64>,
    ) -> Self {
        Scenario {
            name,
            spread,
            bursts,
            duration_s: 120,
            vm_lost_s: None,
            outage_start_s: None,
            target,
        }
    }

    const fn with_vm_loss(mut self, at: u64) -> Self {
        self.vm_lost_s = Some(at);
        self
    }

    const fn with_outage(mut self) -> Self {
        self.duration_s = 3660;
        self.outage_start_s = Some(60);
        self
    }

    fn run(&self, limiter: &'static str, seed: u64) -> anyhow::Result<Report> {
        let run_options = RunOptions {
            limiter,
            vms: VMS,
            duration: Duration::from_secs(self.duration_s),
            bursts: self.bursts,
            vm_lost_at: self.vm_lost_s.map(Duration::from_secs),
            outage_start: self.outage_start_s.map(Duration::from_secs),
        };
        RateFleet::run(&run_options, &organisations(self.spread, seed), seed)
    }
}

fn organisations(spread: Spread, seed: u64) -> Vec<Organisation> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x7465_6e61);
    let organisation = |(i, per_second): (usize, &f64)| {
        let mut weights: Vec<f64> = match spread {
            Spread::Even => vec![1.0; VMS],
            Spread::Skewed => (0..VMS).map(|vm| if vm < VMS / 2 { 10.0 } else { 1.0 }).collect(),
            Spread::Homes => vec![0.0; VMS],
        };
        weights.shuffle(&mut rng);
        if spread == Spread::Homes {
            let first = rng.random_range(0..VMS);
            weights[first] = 1.0;
            weights[(first + 1) % VMS] = 1.0;
        }
        let rate = Rate { per_second: *per_second, burst: per_second * BURST_S };
        Organisation { name: format!("organisation-{i}").into(), rate, weights }
    };
    RATES.iter().enumerate().map(organisation).collect()
}

/// Returns the percentage of the requests that the fleet refused although one token bucket for the
/// whole fleet would have admitted them: over all organisations, and for the worst-served one.
fn refused_percent(report: &Report) -> (f64, f64) {
    let deficit = |ideal: u64, admitted: u64| ideal.saturating_sub(admitted) as f64;
    let total_deficit: f64 = report.counts.iter().map(|c| deficit(c.ideal, c.admitted)).sum();
    let ideal: u64 = report.counts.iter().map(|c| c.ideal).sum();
    let shares = report.counts.iter().map(|c| deficit(c.ideal, c.admitted) / c.ideal as f64);
    (100.0 * total_deficit / ideal as f64, 100.0 * shares.fold(0.0, f64::max))
}

struct Figures {
    excess: Figure,
    refused: Figure,
    worst: Figure,
    waits: Figure,
    messages: Figure,
    cross_region: Figure,
}

impl Figures {
    fn new(scenario: &Scenario) -> Self {
        let name = |what: &str| format!("{what}: {}", scenario.name);
        let target = scenario.target.map(|t| (Bound::AtMost, t));
        Figures {
            excess: Figure::new(name("above the bound"), "requests", Some((Bound::AtMost, 0.0))),
            refused: Figure::new(name("refused"), "%", target),
            worst: Figure::new(name("worst organisation"), "%", None),
            waits: Figure::new(name("wait, 99th percentile"), "ms", None),
            messages: Figure::new(name("messages of a VM"), "1/s", None),
            cross_region: Figure::new(name("messages between regions"), "1/s", None),
        }
    }

    fn add(&mut self, scenario: &Scenario, report: &Report, naive: bool) {
        let excess = report.counts.iter().map(|c| c.excess).fold(0.0, f64::max);
        let (all, worst) = refused_percent(report);
        let wait = report.waits.value_at_quantile(0.99) as f64 / 1000.0;
        let messages = report.messages as f64 / (scenario.duration_s * VMS as u64) as f64;
        // Smaller values are rounding errors of sums of fractions.
        let excess = if excess < 1e-6 { 0.0 } else { excess };
        let figures = [
            (&mut self.excess, excess),
            (&mut self.refused, all),
            (&mut self.worst, worst),
            (&mut self.waits, wait),
            (&mut self.messages, messages),
            (&mut self.cross_region, report.cross_region as f64 / scenario.duration_s as f64),
        ];
        for (figure, value) in figures {
            if naive { figure.naive.push(value) } else { figure.chosen.push(value) }
        }
    }
}

/// Runs the scenarios without a store outage, with both plug-ins on the same arrivals.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    run_all(options, |scenario| scenario.outage_start_s.is_none())
}

/// Runs the scenarios in which the store is unavailable for an hour.
pub fn run_hour(options: &Options) -> anyhow::Result<Vec<Figure>> {
    run_all(options, |scenario| scenario.outage_start_s.is_some())
}

fn run_all(options: &Options, is_selected: fn(&Scenario) -> bool) -> anyhow::Result<Vec<Figure>> {
    let mut all = Vec::new();
    for scenario in SCENARIOS.iter().filter(|scenario| is_selected(scenario)) {
        let mut figures = Figures::new(scenario);
        let jobs: Vec<(&'static str, u64)> = (options.seed..options.seed + options.runs)
            .flat_map(|seed| [("naive", seed), ("shares", seed)])
            .collect();
        for batch in jobs.chunks(MAX_PARALLEL_RUNS) {
            let reports = thread::scope(|scope| {
                let start = |&(limiter, seed): &(&'static str, u64)| {
                    scope.spawn(move || scenario.run(limiter, seed))
                };
                let running: Vec<_> = batch.iter().map(start).collect();
                running.into_iter().map(|job| job.join()).collect::<Vec<_>>()
            });
            for ((limiter, seed), report) in batch.iter().zip(reports) {
                let failed = |_| anyhow::anyhow!("run {seed} of {limiter} panicked");
                figures.add(scenario, &report.map_err(failed)??, *limiter == "naive");
            }
        }
        let Figures { excess, refused, worst, waits, messages, cross_region } = figures;
        all.extend([excess, refused, worst, waits, messages, cross_region]);
    }
    Ok(all)
}
