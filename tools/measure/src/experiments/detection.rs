//! Time until no VM sends new requests to a gray backend server, and the weight of the requests
//! answered during the fault.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Options;
use crate::fakes::{FakeFleet, Fault, FaultSchedule, FleetKind, Report, Setup, run_seeds};
use crate::figure::{Bound, Figure, quantile};

/// Number of backend servers of the service.
const BACKENDS: usize = 10;
/// Slots of each backend server at the two kinds of site.
pub const SITE_SLOTS: [(&str, u32); 2] = [("4 slots", 4), ("2 slots", 2)];
/// Mean service time of the fake backend servers, in seconds.
pub const MEAN_S: f64 = 0.064;
/// Duration of the load before the fault, without idle time.
const WARMUP: Duration = Duration::from_secs(60);
/// Duration of the fault in runs that measure the detection time.
const DETECTION_FAULT_DURATION: Duration = Duration::from_secs(60);
/// Duration of the fault in runs that count answers.
const ANSWER_FAULT_DURATION: Duration = Duration::from_secs(300);

/// Load before and during a fault.
struct LoadCase {
    name: &'static str,
    /// Number of simulated starts of each fault in each run.
    fault_starts: u64,
    /// Idle time between the warm-up and the fault, after which the backend servers are cold.
    idle: Duration,
    /// Requests per second and backend server during the fault, as a function of its slots.
    rate: fn(u32) -> f64,
}

/// Requests per second and backend server at night.
const LOW_RATE: f64 = 2.0;

const LOAD_CASES: [LoadCase; 3] = [
    LoadCase { name: "night", fault_starts: 50, idle: Duration::ZERO, rate: |_| LOW_RATE },
    LoadCase {
        name: "busy",
        fault_starts: 10,
        idle: Duration::ZERO,
        rate: |slots| 0.3 * f64::from(slots) / MEAN_S,
    },
    LoadCase {
        name: "return",
        fault_starts: 10,
        idle: Duration::from_secs(600),
        rate: |slots| 0.6 * f64::from(slots) / MEAN_S,
    },
];

/// Faults, with the targets in seconds for the median and 99th percentile of the detection time.
const FAULTS: [(&str, Fault, f64, Option<f64>); 4] = [
    ("all stall", Fault::Stall(1.0), 1.0, Some(3.0)),
    ("30% stall", Fault::Stall(0.3), 4.0, None),
    ("five times slower", Fault::Slow(5.0), 5.0, None),
    ("half fail", Fault::Fail(0.5), 3.0, None),
];

fn run_once(
    kind: FleetKind,
    slots: u32,
    load: &LoadCase,
    fault: Fault,
    duration: Duration,
    seed: u64,
) -> anyhow::Result<Report> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gray = rng.random_range(0..BACKENDS);
    // The fault starts anywhere between two polls.
    let fault_start = WARMUP + load.idle + Duration::from_millis(rng.random_range(0..1000));
    let duration = fault_start + duration;
    let mut schedule = FaultSchedule {
        faults: vec![(gray, fault_start, duration, fault)],
        ..FaultSchedule::default()
    };
    if !load.idle.is_zero() {
        schedule.cold_starts.push(fault_start);
    }
    let rate = (load.rate)(slots) * BACKENDS as f64;
    let warmup_rate = if load.idle.is_zero() { rate } else { LOW_RATE * BACKENDS as f64 };
    let idle = load.idle;
    FakeFleet::run(Setup {
        kind,
        backends: BACKENDS,
        slots,
        rate: Box::new(move |at| match at {
            at if at >= fault_start => rate,
            at if at + idle < fault_start => warmup_rate,
            _ => 0.0,
        }),
        max_rate: rate.max(warmup_rate),
        schedule,
        duration,
        counted_from: fault_start,
        seed,
    })
}

/// Returns the detection times in seconds and the mean number of requests sent to the gray backend
/// server after its detection. A fault that was not detected counts with its full duration.
fn time_detection(
    kind: FleetKind,
    slots: u32,
    load: &LoadCase,
    fault: Fault,
    seed: u64,
) -> anyhow::Result<(Vec<f64>, f64)> {
    let (mut times, mut sent_after_detection) = (Vec::new(), 0);
    for i in 0..load.fault_starts {
        let seed = seed * 1_000 + i;
        let report = run_once(kind, slots, load, fault, DETECTION_FAULT_DURATION, seed)?;
        times.push(report.detection_time.unwrap_or(DETECTION_FAULT_DURATION).as_secs_f64());
        sent_after_detection += report.sent_after_detection;
    }
    Ok((times, f64::from(sent_after_detection) / load.fault_starts as f64))
}

/// Runs every fault at every load with the naive and the chosen plug-ins.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for (site, slots) in SITE_SLOTS {
        for load in &LOAD_CASES {
            for (name, fault, median, p99) in FAULTS {
                let title = |what: &str| format!("{site}, {}, {name}: {what}", load.name);
                let at_most = |target| Some((Bound::AtMost, target));
                let at_least = Some((Bound::AtLeast, 99.9));
                let mut set = [
                    Figure::new(title("median"), "s", at_most(median)),
                    Figure::new(title("99th percentile"), "s", p99.and_then(at_most)),
                    Figure::new(title("later requests"), "", None),
                    Figure::new(title("of omniscient"), "%", at_least),
                ];
                let sample = |kind, seed, reference: &Report| -> anyhow::Result<[f64; 4]> {
                    let (times, sent_after_detection) =
                        time_detection(kind, slots, load, fault, seed)?;
                    let report = run_once(kind, slots, load, fault, ANSWER_FAULT_DURATION, seed)?;
                    Ok([
                        quantile(&times, 0.5).unwrap_or(0.0),
                        quantile(&times, 0.99).unwrap_or(0.0),
                        sent_after_detection,
                        100.0 * report.answered / reference.answered,
                    ])
                };
                let runs = run_seeds(options, |seed| {
                    let reference = run_once(
                        FleetKind::Omniscient,
                        slots,
                        load,
                        fault,
                        ANSWER_FAULT_DURATION,
                        seed,
                    )?;
                    Ok((
                        sample(FleetKind::Naive, seed, &reference)?,
                        sample(FleetKind::Chosen, seed, &reference)?,
                    ))
                })?;
                for (naive, chosen) in runs {
                    for (i, figure) in set.iter_mut().enumerate() {
                        figure.naive.push(naive[i]);
                        figure.chosen.push(chosen[i]);
                    }
                }
                figures.extend(set);
            }
        }
    }
    Ok(figures)
}
