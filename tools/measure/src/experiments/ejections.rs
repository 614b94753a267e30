//! False ejections in an hour without gray backend servers, and whether ejections respect the
//! floor with six gray backend servers of ten.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::detection::{MEAN_S, SITE_SLOTS};
use crate::Options;
use crate::fakes::{FakeFleet, Fault, FaultSchedule, FleetKind, Report, Setup, run_seeds};
use crate::figure::{Bound, Figure};

/// Number of backend servers of the service.
const BACKENDS: usize = 10;
/// Duration of the run without gray backend servers.
const QUIET_DURATION: Duration = Duration::from_secs(3600);
/// Start of an idle period in that run.
const IDLE_START_S: f64 = 1800.0;
/// End of the idle period: the backend servers are cold and all callers return at once.
const IDLE_END_S: f64 = 2400.0;
/// Period of the load in seconds.
const LOAD_PERIOD_S: f64 = 300.0;
/// Mean time between two pauses of a backend server, in seconds.
const MEAN_PAUSE_INTERVAL_S: f64 = 60.0;
/// Number of one-way partitions in the hour.
const PARTITIONS: usize = 12;
/// Number of connections that go silent in the hour.
const SILENT_CONNECTIONS: usize = 24;
/// Duration of a partition.
const PARTITION_DURATION: Duration = Duration::from_secs(30);
/// Duration of the run with six gray backend servers.
const MULTI_FAULT_DURATION: Duration = Duration::from_secs(300);

/// Returns the expected fraction of slots in use at a time of the hour, in seconds.
fn slot_use(at: f64) -> f64 {
    if (IDLE_START_S..IDLE_END_S).contains(&at) {
        return 0.0;
    }
    // After the idle period all callers return at once.
    if (IDLE_END_S..IDLE_END_S + 120.0).contains(&at) {
        return 0.6;
    }
    0.3 + 0.25 * (at * std::f64::consts::TAU / LOAD_PERIOD_S).sin()
}

fn draw_disturbances(rng: &mut SmallRng, vms: usize) -> FaultSchedule {
    let mut schedule = FaultSchedule::default();
    let duration_s = QUIET_DURATION.as_secs_f64();
    for _ in 0..BACKENDS {
        let (mut pauses, mut at) = (Vec::new(), 0.0);
        while at < duration_s {
            at += 0.5 + -(1.0 - rng.random::<f64>()).ln() * MEAN_PAUSE_INTERVAL_S;
            pauses.push(Duration::from_secs_f64(at));
        }
        schedule.pauses.push(pauses);
    }
    // Drawn for forty VMs and reduced to the VMs of the fleet, so that every fleet meets the same
    // events.
    let mut draw = |end: f64| {
        let at = Duration::from_secs_f64(rng.random_range(60.0..end));
        let (vm, backend) = (rng.random_range(0..40usize), rng.random_range(0..BACKENDS));
        (at, vm % vms, backend)
    };
    for _ in 0..PARTITIONS {
        let (at, vm, backend) = draw(duration_s - 60.0);
        schedule.partitions.push((vm, backend, at, at + PARTITION_DURATION));
    }
    schedule.silent_connections = (0..SILENT_CONNECTIONS).map(|_| draw(duration_s)).collect();
    schedule.cold_starts = vec![Duration::from_secs_f64(IDLE_END_S)];
    schedule
}

fn vm_count(kind: FleetKind) -> usize {
    if kind == FleetKind::Naive { 40 } else { 2 }
}

fn run_quiet(kind: FleetKind, slots: u32, seed: u64) -> anyhow::Result<Report> {
    let schedule = draw_disturbances(&mut SmallRng::seed_from_u64(seed), vm_count(kind));
    let capacity = BACKENDS as f64 * f64::from(slots) / MEAN_S;
    FakeFleet::run(Setup {
        kind,
        backends: BACKENDS,
        slots,
        rate: Box::new(move |at| capacity * slot_use(at.as_secs_f64())),
        max_rate: capacity * 0.6,
        schedule,
        duration: QUIET_DURATION,
        counted_from: Duration::ZERO,
        seed,
    })
}

/// Runs a fleet in which six of ten backend servers become gray one after the other.
fn run_multi_fault(kind: FleetKind, slots: u32, seed: u64) -> anyhow::Result<Report> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let fault_kinds = [Fault::Stall(1.0), Fault::Fail(0.5), Fault::Slow(5.0), Fault::Stall(0.3)];
    let first = rng.random_range(0..BACKENDS);
    let faults = (0..6)
        .map(|i| {
            let from = Duration::from_millis(60_000 + rng.random_range(0..30_000));
            (
                (first + i * 3) % BACKENDS,
                from,
                MULTI_FAULT_DURATION,
                fault_kinds[rng.random_range(0..4usize)],
            )
        })
        .collect();
    let rate = BACKENDS as f64 * f64::from(slots) * 2.0;
    FakeFleet::run(Setup {
        kind,
        backends: BACKENDS,
        slots,
        rate: Box::new(move |_| rate),
        max_rate: rate,
        schedule: FaultSchedule { faults, ..FaultSchedule::default() },
        duration: MULTI_FAULT_DURATION,
        counted_from: Duration::from_secs(60),
        seed,
    })
}

/// Runs both cases at every site with the naive and the chosen plug-ins.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for (site, slots) in SITE_SLOTS {
        let none_allowed = Some((Bound::AtMost, 0.0));
        let title = |what: &str| format!("{site}: {what}");
        let mut set = [
            Figure::new(title("false ejections in an hour"), "", none_allowed),
            Figure::new(title("false suspicions in an hour"), "", None),
            Figure::new(title("weight answered in that hour"), "%", None),
            Figure::new(title("retries and hedges in that hour"), "%", None),
            Figure::new(title("six gray: polls below the floor"), "", none_allowed),
            Figure::new(title("six gray: weight answered"), "%", None),
        ];
        let sample = |kind, seed| -> anyhow::Result<[f64; 6]> {
            let quiet = run_quiet(kind, slots, seed)?;
            let multi_fault = run_multi_fault(kind, slots, seed)?;
            Ok([
                f64::from(quiet.false_ejections),
                f64::from(quiet.false_suspicions),
                100.0 * quiet.answered / quiet.offered,
                100.0 * quiet.extra_ratio,
                f64::from(quiet.below_floor + multi_fault.below_floor),
                100.0 * multi_fault.answered / multi_fault.offered,
            ])
        };
        let runs = run_seeds(options, |seed| {
            Ok((sample(FleetKind::Naive, seed)?, sample(FleetKind::Chosen, seed)?))
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
