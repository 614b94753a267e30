//! Time until no VM sends new work to a gray backend server, and answers meanwhile.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Options;
use crate::fakes::{Fault, Fleet, Kind, Report, Script, Setup};
use crate::figure::{Bound, Figure, quantile};

/// Backend servers of the service.
const BACKENDS: usize = 10;
/// Slots of each backend server at the two sites.
pub const SITES: [(&str, u32); 2] = [("4 slots", 4), ("2 slots", 2)];
/// Requests per second and backend server at night.
const LOW_RATE: f64 = 2.0;
/// Load before the fault starts.
const WARM: Duration = Duration::from_secs(60);
/// Length of the fault in runs that time the detection.
const FAULT: Duration = Duration::from_secs(60);
/// Onsets of each fault in each run.
const ONSETS: u64 = 50;
/// Length of runs that count answers; the fault lasts from `WARM` to the end.
const LONG: Duration = Duration::from_secs(660);

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
    rate: f64,
    fault: Fault,
    length: Duration,
    seed: u64,
) -> anyhow::Result<Report> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gray = rng.random_range(0..BACKENDS);
    // The onset falls anywhere between two polls.
    let onset = WARM + Duration::from_millis(rng.random_range(0..1000));
    let script = Script { faults: vec![(gray, onset, length, fault)], ..Script::default() };
    let rate = rate * BACKENDS as f64;
    Fleet::run(Setup {
        kind,
        backends: BACKENDS,
        slots,
        rate: Box::new(move |_| rate),
        peak: rate,
        script,
        length,
        count_from: onset,
        seed,
    })
}

/// Detection times in seconds; one that never came counts as the length of the fault.
fn time_detection(
    kind: Kind,
    slots: u32,
    fault: Fault,
    seed: u64,
) -> anyhow::Result<(Vec<f64>, f64)> {
    let (mut times, mut relapsed) = (Vec::new(), 0);
    for onset in 0..ONSETS {
        let seed = seed * 1_000 + onset;
        let report = run_once(kind, slots, LOW_RATE, fault, WARM + FAULT, seed)?;
        times.push(report.detected.unwrap_or(FAULT).as_secs_f64());
        relapsed += report.relapsed;
    }
    Ok((times, f64::from(relapsed) / ONSETS as f64))
}

/// Runs the experiment.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for (site, slots) in SITES {
        for (name, fault, median, tail) in FAULTS {
            let title = |what: &str| format!("{site}, {name}: {what}");
            let mut mid =
                Figure::new(title("detection median"), "s", Some((Bound::AtMost, median)));
            let tail = tail.map(|tail| (Bound::AtMost, tail));
            let mut late = Figure::new(title("detection 99th percentile"), "s", tail);
            let mut again = Figure::new(title("later requests in 60 s"), "", None);
            let mut answered =
                Figure::new(title("answered of omniscient"), "%", Some((Bound::AtLeast, 99.9)));
            for seed in options.seed..options.seed + options.runs {
                for kind in [Kind::Naive, Kind::Chosen] {
                    let (times, relapsed) = time_detection(kind, slots, fault, seed)?;
                    let ideal = run_once(Kind::Omniscient, slots, LOW_RATE, fault, LONG, seed)?;
                    let report = run_once(kind, slots, LOW_RATE, fault, LONG, seed)?;
                    let samples = [
                        (&mut mid, quantile(&times, 0.5).unwrap_or(0.0)),
                        (&mut late, quantile(&times, 0.99).unwrap_or(0.0)),
                        (&mut again, relapsed),
                        (&mut answered, 100.0 * report.answered / ideal.answered),
                    ];
                    for (figure, sample) in samples {
                        if kind == Kind::Naive {
                            figure.naive.push(sample);
                        } else {
                            figure.chosen.push(sample);
                        }
                    }
                }
            }
            figures.extend([mid, late, again, answered]);
        }
    }
    Ok(figures)
}
