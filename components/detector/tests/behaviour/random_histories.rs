//! Random event histories for both detectors.

use std::time::Duration;

use crate::harness::specs;
use kernel::{
    AttemptOutcome, BackendEvent, BackendId, Detector, HealthStatus, LoadReport, ServiceContext,
    Uptime, build_detector,
};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::SmallRng;

// The plug-ins are looked up by name, so the crate must be linked.
use detector as _;

const BACKENDS: usize = 8;
const STEPS: usize = 600;

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn build(name: &str) -> Box<dyn Detector> {
    let place = specs(1)[0].place.clone();
    let context = ServiceContext { service: "s".into(), place, vms: 1, min_healthy: 0.7 };
    build_detector(name, &context).expect("the plug-in is linked")
}

fn arbitrary_outcome(g: &mut Gen, gray: bool) -> AttemptOutcome {
    use AttemptOutcome::{
        Cancelled, ConnectFailed, Draining, Reset, ServerError, Shed, Success, TimedOut,
    };
    let bad = [ServerError, ServerError, ConnectFailed, Reset, TimedOut, Cancelled];
    let rare = [Shed, Draining];
    match u8::arbitrary(g) % 100 {
        0 => *g.choose(&rare).expect("not empty"),
        part if gray && part < 70 => *g.choose(&bad).expect("not empty"),
        1..5 => *g.choose(&bad).expect("not empty"),
        _ => Success,
    }
}

/// Runs one random history and checks after each step that the ejections stay within the budget.
/// Returns the largest number of ejections.
fn run_history(name: &str, g: &mut Gen, seed: u64) -> usize {
    let mut detector = build(name);
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<BackendId> = specs(BACKENDS).into_iter().map(|spec| spec.id).collect();
    let (mut now, mut budget, mut max_held) = (Uptime::ZERO, 0, 0);
    let mut in_flight: Vec<(u64, BackendId)> = Vec::new();
    detector.set_backends(now, &specs(BACKENDS));
    let mut budget_applied = true;
    for step in 0..STEPS as u64 {
        let backend = g.choose(&ids).expect("not empty").clone();
        let gray = &*backend < "b3";
        match u8::arbitrary(g) % 40 {
            0 => {
                budget = usize::arbitrary(g) % 4;
                detector.set_ejection_budget(now, budget);
                budget_applied = false;
            }
            1 => detector.set_backends(now, &specs(BACKENDS - usize::arbitrary(g) % 3)),
            2 => {
                let reachable = bool::arbitrary(g);
                detector.observe(now, &BackendEvent::PeerReachability { backend, reachable });
            }
            3 => {
                let (healthy, took) = (bool::arbitrary(g), Duration::from_millis(25));
                detector.observe(now, &BackendEvent::Probed { backend, healthy, took });
            }
            4 => {
                let draining = u8::arbitrary(g) % 20 == 0;
                let load = LoadReport { running: 0, queued: 0, draining };
                detector.observe(now, &BackendEvent::LoadReported { backend, load });
            }
            5..20 => {
                in_flight.push((step, backend.clone()));
                let reused = bool::arbitrary(g);
                detector.observe(now, &BackendEvent::Sent { backend, attempt: step, reused });
            }
            20..30 if !in_flight.is_empty() => {
                let (attempt, backend) =
                    in_flight.swap_remove(usize::arbitrary(g) % in_flight.len());
                let outcome = arbitrary_outcome(g, gray);
                let request_fault = u8::arbitrary(g) % 20 == 0;
                let ended = BackendEvent::Ended { backend, attempt, outcome, request_fault };
                detector.observe(now, &ended);
            }
            _ => {
                now += Duration::from_millis(50 * (1 + u64::arbitrary(g) % 20));
                detector.poll(now, &mut rng);
                budget_applied = true;
            }
        }
        let holds_unit = |id: &&BackendId| {
            matches!(
                detector.health_status(now, id),
                HealthStatus::Ejected | HealthStatus::HalfOpen
            )
        };
        let held = ids.iter().filter(holds_unit).count();
        // A reduced budget takes effect at the next poll.
        assert!(
            !budget_applied || held <= budget,
            "{name}, seed {seed}, step {step}: {held} ejected, budget {budget}"
        );
        max_held = max_held.max(held);
    }
    max_held
}

/// Guards against exceeding the ejection budget, and so leaving too few backend servers in service,
/// for any order of events.
#[test]
fn ejections_never_exceed_the_budget() {
    let cases = env_or("PAPAYAREEL_FUZZ_CASES", 200);
    let seed = env_or("PAPAYAREEL_FUZZ_SEED", 1);
    for name in ["evidence", "naive"] {
        let mut g = Gen::from_size_and_seed(100, seed);
        let max_held = (0..cases).map(|case| run_history(name, &mut g, seed + case)).max();
        // Histories without any ejection would prove nothing.
        assert!(max_held >= Some(1), "{name} never ejected");
    }
}
