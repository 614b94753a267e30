//! Random histories of both detectors.

use std::time::Duration;

use crate::bench::specs;
use kernel::{
    AttemptOutcome, BackendEvent, BackendId, Detector, HealthStatus, LoadReport, ServiceContext,
    Uptime, build_detector,
};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::SmallRng;

// The plug-ins are found by name, so the crate must be linked.
use detector as _;

const BACKENDS: usize = 8;
const STEPS: usize = 600;

fn fuzz(name: &str, default: u64) -> u64 {
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

/// One history; checks after each step that no more is ejected than the budget allows.
fn run_history(name: &str, g: &mut Gen, seed: u64) -> usize {
    let mut detector = build(name);
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<BackendId> = specs(BACKENDS).into_iter().map(|spec| spec.id).collect();
    let (mut now, mut budget, mut most) = (Uptime::ZERO, 0, 0);
    let mut open: Vec<(u64, BackendId)> = Vec::new();
    detector.set_backends(now, &specs(BACKENDS));
    let mut settled = true;
    for step in 0..STEPS as u64 {
        let backend = g.choose(&ids).expect("not empty").clone();
        let gray = &*backend < "b3";
        match u8::arbitrary(g) % 40 {
            0 => {
                budget = usize::arbitrary(g) % 4;
                detector.set_ejection_budget(now, budget);
                settled = false;
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
                open.push((step, backend.clone()));
                let reused = bool::arbitrary(g);
                detector.observe(now, &BackendEvent::Sent { backend, attempt: step, reused });
            }
            20..30 if !open.is_empty() => {
                let (attempt, backend) = open.swap_remove(usize::arbitrary(g) % open.len());
                let outcome = arbitrary_outcome(g, gray);
                let request_fault = u8::arbitrary(g) % 20 == 0;
                let ended = BackendEvent::Ended { backend, attempt, outcome, request_fault };
                detector.observe(now, &ended);
            }
            _ => {
                now += Duration::from_millis(50 * (1 + u64::arbitrary(g) % 20));
                detector.poll(now, &mut rng);
                settled = true;
            }
        }
        let out = |id: &&BackendId| {
            matches!(
                detector.health_status(now, id),
                HealthStatus::Ejected | HealthStatus::HalfOpen
            )
        };
        let held = ids.iter().filter(out).count();
        // A smaller budget takes effect at the next poll.
        assert!(!settled || held <= budget, "{name}, seed {seed}, step {step}: {held} > {budget}");
        most = most.max(held);
    }
    most
}

/// Guards against ejecting below the floor, whatever happens in whatever order.
#[test]
fn ejections_never_exceed_the_budget() {
    let cases = fuzz("PAPAYAREEL_FUZZ_CASES", 200);
    let seed = fuzz("PAPAYAREEL_FUZZ_SEED", 1);
    for name in ["evidence", "naive"] {
        let mut g = Gen::from_size_and_seed(100, seed);
        let most = (0..cases).map(|case| run_history(name, &mut g, seed + case)).max();
        // Histories without any ejection would show nothing.
        assert!(most >= Some(1), "{name} never ejected");
    }
}
