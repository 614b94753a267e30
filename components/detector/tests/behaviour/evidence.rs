//! Behaviour of the `evidence` detector in single cases.

use std::time::Duration;

use crate::bench::Bench;
use kernel::{AttemptOutcome, BackendEvent, DetectorAction, HealthStatus, LoadReport};

const ORDINARY: Duration = Duration::from_millis(50);

fn ejected(actions: &[DetectorAction]) -> bool {
    actions.iter().any(|action| matches!(action, DetectorAction::Ejected { .. }))
}

/// Guards against a stalling backend server that is noticed only when its requests end.
#[test]
fn stall_is_suspected_before_it_ends_and_then_ejected() {
    let mut bench = Bench::warm(5);
    bench.send("b0");
    bench.run(700);
    assert_eq!(bench.health_status("b0"), HealthStatus::Suspect);
    bench.run(2500);
    assert_eq!(bench.health_status("b0"), HealthStatus::Ejected);
}

/// Guards against ejecting a backend server for a pause of 500 ms, with all its slots in use.
#[test]
fn pause_of_half_a_second_ejects_nothing() {
    let mut bench = Bench::warm(5);
    for _ in 0..10 {
        let paused: Vec<_> = (0..4).map(|_| bench.send("b0")).collect();
        bench.run(650);
        for attempt in paused {
            bench.end("b0", attempt, AttemptOutcome::Success);
        }
        bench.serve_all(20, ORDINARY);
    }
    assert!(!ejected(&bench.actions));
    assert_eq!(bench.health_status("b0"), HealthStatus::Healthy);
}

/// Guards against a backend server that answers half its requests with errors going unnoticed.
#[test]
fn errors_make_suspect() {
    let mut bench = Bench::warm(5);
    for _ in 0..3 {
        bench.fail("b1", AttemptOutcome::ServerError);
        bench.serve("b1", ORDINARY);
    }
    assert_eq!(bench.health_status("b1"), HealthStatus::Suspect);
}

/// Guards against ejecting single backend servers of a service that is slow as a whole.
#[test]
fn overload_of_the_service_ejects_nothing() {
    let mut bench = Bench::warm(5);
    bench.serve_all(60, Duration::from_millis(300));
    assert!(!ejected(&bench.actions));
}

/// Guards against missing a backend server that is five times slower than the others.
#[test]
fn slow_backend_server_is_suspected() {
    let mut bench = Bench::warm(5);
    for _ in 0..8 {
        bench.serve("b2", Duration::from_millis(260));
    }
    assert_ne!(bench.health_status("b2"), HealthStatus::Healthy);
    assert_eq!(bench.health_status("b1"), HealthStatus::Healthy);
}

/// Guards against new work for a leaving backend server, and against a lagging load report that
/// takes the sign back.
#[test]
fn one_sign_of_leaving_is_enough() {
    let mut bench = Bench::warm(5);
    bench.fail("b3", AttemptOutcome::Draining);
    assert_eq!(bench.health_status("b3"), HealthStatus::Draining);
    let load = LoadReport { running: 0, queued: 0, draining: false };
    bench.observe(BackendEvent::LoadReported { backend: "b3".into(), load });
    assert_eq!(bench.health_status("b3"), HealthStatus::Draining);
}

/// Guards against ejecting for all VMs what only this VM cannot reach.
#[test]
fn broken_way_is_unreachable_and_not_ejected() {
    let mut bench = Bench::warm(5);
    for _ in 0..20 {
        bench.fail("b0", AttemptOutcome::ConnectFailed);
        bench.run(200);
        bench.observe(BackendEvent::PeerReachability { backend: "b0".into(), reachable: true });
    }
    bench.run(100);
    assert!(!ejected(&bench.actions));
    assert_eq!(bench.health_status("b0"), HealthStatus::Unreachable);
}

/// Guards against a backend server that is avoided for ever after one failure to connect.
#[test]
fn failure_to_connect_is_forgotten() {
    let mut bench = Bench::warm(5);
    bench.fail("b0", AttemptOutcome::ConnectFailed);
    assert_eq!(bench.health_status("b0"), HealthStatus::Suspect);
    bench.run(11_000);
    assert_eq!(bench.health_status("b0"), HealthStatus::Healthy);
}

/// Guards against ejecting for all VMs a backend server whose answers get lost on the way here,
/// and against probes above their budget of one a second.
#[test]
fn lost_answers_are_unreachable_and_not_ejected() {
    let mut bench = Bench::warm(5);
    bench.open = false;
    bench.actions.clear();
    bench.send_on("b0", true);
    let begun = bench.now();
    for _ in 0..20 {
        bench.run(500);
        bench.observe(BackendEvent::PeerReachability { backend: "b0".into(), reachable: true });
    }
    assert!(!ejected(&bench.actions));
    assert_eq!(bench.health_status("b0"), HealthStatus::Unreachable);
    let probes = bench.actions.iter().filter(|a| matches!(a, DetectorAction::Probe { .. })).count();
    assert!(probes as u64 <= (bench.now() - begun).as_secs(), "{probes} probes");
    bench.open = true;
    bench.run(6000);
    assert!(
        matches!(bench.health_status("b0"), HealthStatus::Ramping(_)),
        "{:?}",
        bench.health_status("b0")
    );
}

/// Guards against ejecting a backend server for one connection that went silent.
#[test]
fn silent_connection_is_dropped_and_the_backend_server_kept() {
    let mut bench = Bench::warm(5);
    let silent = bench.send_on("b0", true);
    for _ in 0..20 {
        bench.serve("b0", ORDINARY);
        bench.run(200);
    }
    let drop = DetectorAction::DropConnection { backend: "b0".into(), attempt: silent };
    assert!(bench.actions.contains(&drop));
    assert!(!ejected(&bench.actions));
    assert_eq!(bench.health_status("b0"), HealthStatus::Healthy);
}

/// Guards against punishing a backend server for a request that crashes whoever runs it.
#[test]
fn excused_crashes_do_not_eject() {
    let mut bench = Bench::warm(5);
    for _ in 0..4 {
        let (poison, other) = (bench.send("b0"), bench.send("b0"));
        bench.end("b0", other, AttemptOutcome::Reset);
        bench.end_excused("b0", poison);
        bench.fail("b0", AttemptOutcome::ConnectFailed);
        bench.run(1000);
        bench.serve("b0", ORDINARY);
    }
    assert!(!ejected(&bench.actions));
}

/// Guards against more ejections than the budget, and against keeping them when it shrinks.
#[test]
fn budget_bounds_ejections() {
    let mut bench = Bench::warm(7);
    bench.set_ejection_budget(1);
    let stalled = ["b0", "b1"];
    for backend in stalled {
        bench.send(backend);
    }
    bench.run(4000);
    let count = |bench: &Bench| {
        stalled.iter().filter(|b| bench.health_status(b) == HealthStatus::Ejected).count()
    };
    assert_eq!(count(&bench), 1);
    bench.set_ejection_budget(0);
    bench.run(50);
    assert_eq!(count(&bench), 0);
}

/// Guards against full load on a backend server that has just come back, and against a flapping
/// one that returns as fast each time.
#[test]
fn return_is_by_trials_and_a_ramp_and_flapping_waits_longer() {
    let mut bench = Bench::warm(5);
    let mut waits = Vec::new();
    for _ in 0..3 {
        bench.send("b0");
        bench.run(4000);
        assert_eq!(bench.health_status("b0"), HealthStatus::Ejected);
        let begun = bench.now();
        while bench.health_status("b0") == HealthStatus::Ejected {
            bench.run(50);
        }
        waits.push(bench.now() - begun);
        assert_eq!(bench.health_status("b0"), HealthStatus::HalfOpen);
        while bench.health_status("b0") == HealthStatus::HalfOpen {
            bench.serve("b0", ORDINARY);
        }
        assert!(matches!(bench.health_status("b0"), HealthStatus::Ramping(part) if part < 0.2));
        bench.run(11_000);
        assert_eq!(bench.health_status("b0"), HealthStatus::Healthy);
    }
    assert!(waits.windows(2).all(|pair| pair[1] > pair[0]), "{waits:?}");
}

/// Guards against full load on a backend server with a cold start.
#[test]
fn new_backend_server_starts_slowly() {
    let mut bench = Bench::warm(3);
    bench.set_backends(4);
    assert!(matches!(bench.health_status("b3"), HealthStatus::Ramping(part) if part < 0.2));
    assert_eq!(bench.health_status("b2"), HealthStatus::Healthy);
}
