//! Time until no VM sends new work to a gray backend server, and answers meanwhile.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Options;
use crate::fakes::{Fault, Fleet, Kind, Report, Script, Setup, run_seeds};
use crate::figure::{Bound, Figure, quantile};

/// Backend servers of the service.
const BACKENDS: usize = 10;
/// Slots of each backend server at the two sites.
pub const SITES: [(&str, u32); 2] = [("4 slots", 4), ("2 slots", 2)];
/// Mean service time of the fakes in seconds.
pub const MEAN_S: f64 = 0.064;
/// Load before the fault starts.
const WARM: Duration = Duration::from_secs(60);
/// Length of the fault in runs that time the detection.
const FAULT: Duration = Duration::from_secs(60);
/// Length of the fault in runs that count answers.
const LONG: Duration = Duration::from_secs(300);

/// Circumstances of an onset.
struct Scene {
    name: &'static str,
    /// Onsets of each fault in each run.
    onsets: u64,
    /// Idle time between the warm load and the fault; the backend servers get cold in it.
    idle: Duration,
    /// Requests per second and backend server during the fault, from its slots.
    rate: fn(u32) -> f64,
}

/// Requests per second and backend server at night.
const LOW_RATE: f64 = 2.0;

const SCENES: [Scene; 3] = [
    Scene { name: "night", onsets: 50, idle: Duration::ZERO, rate: |_| LOW_RATE },
    Scene {
        name: "busy",
        onsets: 10,
        idle: Duration::ZERO,
        rate: |slots| 0.3 * f64::from(slots) / MEAN_S,
    },
    Scene {
        name: "return",
        onsets: 10,
        idle: Duration::from_secs(600),
        rate: |slots| 0.6 * f64::from(slots) / MEAN_S,
    },
];

/// Faults with their targets for the median and, where there is one, the 99th percentile.
const FAULTS: [(&str, Fault, f64, Option<f64>); 4] = [
    ("all stall", Fault::Stall(1.0), 1.0, Some(3.0)),
    ("30% stall", Fault::Stall(0.3), 4.0, None),
    ("five times slower", Fault::Slow(5.0), 5.0, None),
    ("half fail", Fault::Fail(0.5), 3.0, None),
];

fn run_once(
    kind: Kind,
    slots: u32,
    scene: &Scene,
    fault: Fault,
    length: Duration,
    seed: u64,
) -> anyhow::Result<Report> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gray = rng.random_range(0..BACKENDS);
    // The onset falls anywhere between two polls.
    let onset = WARM + scene.idle + Duration::from_millis(rng.random_range(0..1000));
    let length = onset + length;
    let mut script = Script { faults: vec![(gray, onset, length, fault)], ..Script::default() };
    if !scene.idle.is_zero() {
        script.colds.push(onset);
    }
    let rate = (scene.rate)(slots) * BACKENDS as f64;
    let before = if scene.idle.is_zero() { rate } else { LOW_RATE * BACKENDS as f64 };
    let idle = scene.idle;
    Fleet::run(Setup {
        kind,
        backends: BACKENDS,
        slots,
        rate: Box::new(move |at| match at {
            at if at >= onset => rate,
            at if at + idle < onset => before,
            _ => 0.0,
        }),
        peak: rate.max(before),
        script,
        length,
        count_from: onset,
        seed,
    })
}

/// Detection times in seconds; one that never came counts as the length of the fault. Also the
/// mean number of requests after the detection.
fn time_detection(
    kind: Kind,
    slots: u32,
    scene: &Scene,
    fault: Fault,
    seed: u64,
) -> anyhow::Result<(Vec<f64>, f64)> {
    let (mut times, mut relapsed) = (Vec::new(), 0);
    for onset in 0..scene.onsets {
        let seed = seed * 1_000 + onset;
        let report = run_once(kind, slots, scene, fault, FAULT, seed)?;
        times.push(report.detected.unwrap_or(FAULT).as_secs_f64());
        relapsed += report.relapsed;
    }
    Ok((times, f64::from(relapsed) / scene.onsets as f64))
}

/// Runs the experiment.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for (site, slots) in SITES {
        for scene in &SCENES {
            for (name, fault, median, tail) in FAULTS {
                let title = |what: &str| format!("{site}, {}, {name}: {what}", scene.name);
                let at_most = |target| Some((Bound::AtMost, target));
                let at_least = Some((Bound::AtLeast, 99.9));
                let mut set = [
                    Figure::new(title("median"), "s", at_most(median)),
                    Figure::new(title("99th percentile"), "s", tail.and_then(at_most)),
                    Figure::new(title("later requests"), "", None),
                    Figure::new(title("of omniscient"), "%", at_least),
                ];
                let sample = |kind, seed, ideal: &Report| -> anyhow::Result<[f64; 4]> {
                    let (times, relapsed) = time_detection(kind, slots, scene, fault, seed)?;
                    let report = run_once(kind, slots, scene, fault, LONG, seed)?;
                    Ok([
                        quantile(&times, 0.5).unwrap_or(0.0),
                        quantile(&times, 0.99).unwrap_or(0.0),
                        relapsed,
                        100.0 * report.answered / ideal.answered,
                    ])
                };
                let runs = run_seeds(options, |seed| {
                    let ideal = run_once(Kind::Omniscient, slots, scene, fault, LONG, seed)?;
                    Ok((sample(Kind::Naive, seed, &ideal)?, sample(Kind::Chosen, seed, &ideal)?))
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
