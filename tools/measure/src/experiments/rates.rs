//! Admissions above the rates and refusals within them.

use std::thread;
use std::time::Duration;

use kernel::Rate;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::Options;
use crate::figure::{Bound, Figure};
use crate::rate_fleet::{Plan, RateFleet, Report, Tenant};

const VMS: usize = 40;

/// Rates of the organisations: a few are large.
const RATES: [f64; 8] = [400.0, 250.0, 150.0, 50.0, 40.0, 30.0, 20.0, 10.0];

/// Bursts last as long as this at the rate.
const BURST_S: f64 = 2.0;

/// Runs at the same time; the machine is shared.
const THREADS: usize = 4;

/// How the requests of an organisation spread over the VMs.
#[derive(Clone, Copy, PartialEq)]
enum Spread {
    /// Evenly.
    Even,
    /// Half of the VMs get ten times as many as the others.
    Skewed,
    /// All on two VMs, as with one home in each region.
    Homes,
}

struct Scenario {
    name: &'static str,
    spread: Spread,
    bursts: bool,
    seconds: u64,
    lost: Option<u64>,
    outage: Option<u64>,
    /// Share of refusals, in percent; none for a scenario that is only reported.
    target: Option<f64>,
}

const SCENARIOS: [Scenario; 9] = [
    Scenario::short("even", Spread::Even, false, None),
    Scenario::short("skewed 10 to 1", Spread::Skewed, false, Some(0.1)),
    Scenario::short("skewed 10 to 1, bursts", Spread::Skewed, true, Some(0.1)),
    Scenario::short("two homes", Spread::Homes, false, Some(0.1)),
    Scenario::short("two homes, bursts", Spread::Homes, true, Some(0.1)),
    Scenario::short("one VM lost", Spread::Skewed, false, Some(1.0)).lose(20),
    Scenario::short("one VM lost, bursts", Spread::Skewed, true, Some(1.0)).lose(20),
    Scenario::short("store away an hour", Spread::Skewed, false, Some(1.0)).hour(),
    Scenario::short("store away an hour, one VM lost", Spread::Skewed, true, Some(1.0))
        .lose(600)
        .hour(),
];

impl Scenario {
    const fn short(name: &'static str, spread: Spread, bursts: bool, target: Option<f64>) -> Self {
        Scenario { name, spread, bursts, seconds: 120, lost: None, outage: None, target }
    }

    const fn lose(mut self, at: u64) -> Self {
        self.lost = Some(at);
        self
    }

    const fn hour(mut self) -> Self {
        self.seconds = 3660;
        self.outage = Some(60);
        self
    }

    fn run(&self, limiter: &'static str, seed: u64) -> anyhow::Result<Report> {
        let plan = Plan {
            limiter,
            vms: VMS,
            length: Duration::from_secs(self.seconds),
            bursts: self.bursts,
            lost: self.lost.map(Duration::from_secs),
            outage: self.outage.map(Duration::from_secs),
        };
        RateFleet::run(&plan, &tenants(self.spread, seed), seed)
    }
}

fn tenants(spread: Spread, seed: u64) -> Vec<Tenant> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x7465_6e61);
    let tenant = |(i, per_second): (usize, &f64)| {
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
        Tenant { name: format!("organisation-{i}").into(), rate, weights }
    };
    RATES.iter().enumerate().map(tenant).collect()
}

/// Share of the requests that one bucket for the whole fleet would have admitted and the fleet did
/// not, in percent: over all organisations, and for the one that fares worst.
fn refused(report: &Report) -> (f64, f64) {
    let missing = |ideal: u64, admitted: u64| ideal.saturating_sub(admitted) as f64;
    let lost: f64 = report.counts.iter().map(|c| missing(c.ideal, c.admitted)).sum();
    let ideal: u64 = report.counts.iter().map(|c| c.ideal).sum();
    let shares = report.counts.iter().map(|c| missing(c.ideal, c.admitted) / c.ideal as f64);
    (100.0 * lost / ideal as f64, 100.0 * shares.fold(0.0, f64::max))
}

struct Figures {
    excess: Figure,
    refused: Figure,
    worst: Figure,
    waits: Figure,
    messages: Figure,
    far: Figure,
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
            far: Figure::new(name("messages between regions"), "1/s", None),
        }
    }

    fn add(&mut self, scenario: &Scenario, report: &Report, naive: bool) {
        let excess = report.counts.iter().map(|c| c.excess).fold(0.0, f64::max);
        let (all, worst) = refused(report);
        let wait = report.waits.value_at_quantile(0.99) as f64 / 1000.0;
        let messages = report.messages as f64 / (scenario.seconds * VMS as u64) as f64;
        // Sums of fractions round by less than this.
        let excess = if excess < 1e-6 { 0.0 } else { excess };
        let figures = [
            (&mut self.excess, excess),
            (&mut self.refused, all),
            (&mut self.worst, worst),
            (&mut self.waits, wait),
            (&mut self.messages, messages),
            (&mut self.far, report.far as f64 / scenario.seconds as f64),
        ];
        for (figure, value) in figures {
            if naive { figure.naive.push(value) } else { figure.chosen.push(value) }
        }
    }
}

/// Runs the scenarios of two minutes with both plug-ins on the same arrivals.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    run_all(options, |scenario| scenario.outage.is_none())
}

/// Runs the scenarios in which the store is away for an hour.
pub fn run_hour(options: &Options) -> anyhow::Result<Vec<Figure>> {
    run_all(options, |scenario| scenario.outage.is_some())
}

fn run_all(options: &Options, chosen: fn(&Scenario) -> bool) -> anyhow::Result<Vec<Figure>> {
    let mut all = Vec::new();
    for scenario in SCENARIOS.iter().filter(|scenario| chosen(scenario)) {
        let mut figures = Figures::new(scenario);
        let jobs: Vec<(&'static str, u64)> = (options.seed..options.seed + options.runs)
            .flat_map(|seed| [("naive", seed), ("shares", seed)])
            .collect();
        for batch in jobs.chunks(THREADS) {
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
        let Figures { excess, refused, worst, waits, messages, far } = figures;
        all.extend([excess, refused, worst, waits, messages, far]);
    }
    Ok(all)
}
