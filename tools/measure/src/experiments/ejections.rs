//! False ejections in an hour without gray backend servers, and the floor with many of them.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::detection::{MEAN_S, SITES};
use crate::Options;
use crate::fakes::{Fault, Fleet, Kind, Report, Script, Setup, run_seeds};
use crate::figure::{Bound, Figure};

/// Backend servers of the service.
const BACKENDS: usize = 10;
/// Length of the quiet run.
const HOUR: Duration = Duration::from_secs(3600);
/// Idle time in it that ends with cold backend servers and everybody back at once.
const HOLIDAY: (f64, f64) = (1800.0, 2400.0);
/// Length of a load wave in seconds.
const WAVE_S: f64 = 300.0;
/// Mean time between two pauses of a backend server in seconds.
const PAUSE_GAP_S: f64 = 60.0;
/// One-way partitions and silent connections in the hour.
const CUTS: usize = 12;
const SILENCES: usize = 24;
/// Length of a partition.
const CUT: Duration = Duration::from_secs(30);
/// Length of the run with many gray backend servers.
const CRISIS: Duration = Duration::from_secs(300);

/// Part of the slots in use at a time of the hour, on average.
fn load(at: f64) -> f64 {
    if (HOLIDAY.0..HOLIDAY.1).contains(&at) {
        return 0.0;
    }
    // After the holiday everybody is back at once.
    if (HOLIDAY.1..HOLIDAY.1 + 120.0).contains(&at) {
        return 0.6;
    }
    0.3 + 0.25 * (at * std::f64::consts::TAU / WAVE_S).sin()
}

fn draw_hour(rng: &mut SmallRng, vms: usize) -> Script {
    let mut script = Script::default();
    let hour = HOUR.as_secs_f64();
    for _ in 0..BACKENDS {
        let (mut pauses, mut at) = (Vec::new(), 0.0);
        while at < hour {
            at += 0.5 + -(1.0 - rng.random::<f64>()).ln() * PAUSE_GAP_S;
            pauses.push(Duration::from_secs_f64(at));
        }
        script.pauses.push(pauses);
    }
    // Drawn for forty VMs and folded, so that every fleet meets the same events.
    let mut draw = |end: f64| {
        let at = Duration::from_secs_f64(rng.random_range(60.0..end));
        let (vm, backend) = (rng.random_range(0..40usize), rng.random_range(0..BACKENDS));
        (at, vm % vms, backend)
    };
    for _ in 0..CUTS {
        let (at, vm, backend) = draw(hour - 60.0);
        script.partitions.push((vm, backend, at, at + CUT));
    }
    script.silences = (0..SILENCES).map(|_| draw(hour)).collect();
    script.colds = vec![Duration::from_secs_f64(HOLIDAY.1)];
    script
}

fn vms(kind: Kind) -> usize {
    if kind == Kind::Naive { 40 } else { 2 }
}

fn run_hour(kind: Kind, slots: u32, seed: u64) -> anyhow::Result<Report> {
    let script = draw_hour(&mut SmallRng::seed_from_u64(seed), vms(kind));
    let full = BACKENDS as f64 * f64::from(slots) / MEAN_S;
    Fleet::run(Setup {
        kind,
        backends: BACKENDS,
        slots,
        rate: Box::new(move |at| full * load(at.as_secs_f64())),
        peak: full * 0.6,
        script,
        length: HOUR,
        count_from: Duration::ZERO,
        seed,
    })
}

/// Six of ten backend servers turn gray one after the other.
fn run_crisis(kind: Kind, slots: u32, seed: u64) -> anyhow::Result<Report> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let kinds = [Fault::Stall(1.0), Fault::Fail(0.5), Fault::Slow(5.0), Fault::Stall(0.3)];
    let first = rng.random_range(0..BACKENDS);
    let faults = (0..6)
        .map(|i| {
            let from = Duration::from_millis(60_000 + rng.random_range(0..30_000));
            ((first + i * 3) % BACKENDS, from, CRISIS, kinds[rng.random_range(0..4usize)])
        })
        .collect();
    let rate = BACKENDS as f64 * f64::from(slots) * 2.0;
    Fleet::run(Setup {
        kind,
        backends: BACKENDS,
        slots,
        rate: Box::new(move |_| rate),
        peak: rate,
        script: Script { faults, ..Script::default() },
        length: CRISIS,
        count_from: Duration::from_secs(60),
        seed,
    })
}

/// Runs the experiment.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for (site, slots) in SITES {
        let zero = Some((Bound::AtMost, 0.0));
        let title = |what: &str| format!("{site}: {what}");
        let mut set = [
            Figure::new(title("false ejections in an hour"), "", zero),
            Figure::new(title("false suspicions in an hour"), "", None),
            Figure::new(title("weight answered in that hour"), "%", None),
            Figure::new(title("retries and hedges in that hour"), "%", None),
            Figure::new(title("six gray: polls below the floor"), "", zero),
            Figure::new(title("six gray: weight answered"), "%", None),
        ];
        let sample = |kind, seed| -> anyhow::Result<[f64; 6]> {
            let hour = run_hour(kind, slots, seed)?;
            let crisis = run_crisis(kind, slots, seed)?;
            Ok([
                f64::from(hour.false_ejections),
                f64::from(hour.false_suspicions),
                100.0 * hour.answered / hour.asked,
                100.0 * hour.extra,
                f64::from(hour.below_floor + crisis.below_floor),
                100.0 * crisis.answered / crisis.asked,
            ])
        };
        let runs = run_seeds(options, |seed| {
            Ok((sample(Kind::Naive, seed)?, sample(Kind::Chosen, seed)?))
        })?;
        for (naive, chosen) in runs {
            for (i, figure) in set.iter_mut().enumerate() {
                figure.naive.push(naive[i]);
                figure.chosen.push(chosen[i]);
            }
        }
        figures.extend(set);
    }
    Ok(figures)
}
