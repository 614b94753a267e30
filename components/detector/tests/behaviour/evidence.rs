//! Scenarios for the `evidence` detector.

use std::time::Duration;

use crate::harness::Harness;
use kernel::{AttemptOutcome, BackendEvent, DetectorAction, HealthStatus, LoadReport};

const NORMAL_LATENCY: Duration = Duration::from_millis(50);

fn has_ejection(actions: &[DetectorAction]) -> bool {
    actions.iter().any(|action| matches!(action, DetectorAction::Ejected { .. }))
}

/// Guards against noticing a stalling backend server only when its requests end.
#[test]
fn stall_is_suspected_before_it_ends_and_then_ejected() {
    let mut harness = Harness::warm(5);
    harness.send("b0");
    harness.advance_ms(700);
    assert_eq!(harness.health_status("b0"), HealthStatus::Suspect);
    harness.advance_ms(2500);
    assert_eq!(harness.health_status("b0"), HealthStatus::Ejected);
}

/// Guards against an ejection for a pause of 500 ms that delays requests on all slots.
#[test]
fn pause_of_half_a_second_ejects_nothing() {
    let mut harness = Harness::warm(5);
    for _ in 0..10 {
        let paused: Vec<_> = (0..4).map(|_| harness.send("b0")).collect();
        harness.advance_ms(650);
        for attempt in paused {
            harness.end("b0", attempt, AttemptOutcome::Success);
        }
        harness.serve_all(20, NORMAL_LATENCY);
    }
    assert!(!has_ejection(&harness.actions));
    assert_eq!(harness.health_status("b0"), HealthStatus::Healthy);
}

/// Guards against missing a backend server that answers half its requests with errors.
#[test]
fn backend_server_with_errors_is_suspected() {
    let mut harness = Harness::warm(5);
    for _ in 0..3 {
        harness.fail("b1", AttemptOutcome::ServerError);
        harness.serve("b1", NORMAL_LATENCY);
    }
    assert_eq!(harness.health_status("b1"), HealthStatus::Suspect);
}

/// Guards against ejecting single backend servers while the whole service is overloaded and slow.
#[test]
fn overload_of_the_service_ejects_nothing() {
    let mut harness = Harness::warm(5);
    harness.serve_all(60, Duration::from_millis(300));
    assert!(!has_ejection(&harness.actions));
}

/// Guards against missing a backend server that is five times slower than the others.
#[test]
fn slow_backend_server_is_suspected() {
    let mut harness = Harness::warm(5);
    for _ in 0..8 {
        harness.serve("b2", Duration::from_millis(260));
    }
    assert_ne!(harness.health_status("b2"), HealthStatus::Healthy);
    assert_eq!(harness.health_status("b1"), HealthStatus::Healthy);
}

/// Guards against sending requests to a backend server that is shutting down, also when a load
/// report from before its draining notice arrives late.
#[test]
fn one_sign_of_leaving_is_enough() {
    let mut harness = Harness::warm(5);
    harness.fail("b3", AttemptOutcome::Draining);
    assert_eq!(harness.health_status("b3"), HealthStatus::Draining);
    let load = LoadReport { running: 0, queued: 0, draining: false };
    harness.observe(BackendEvent::LoadReported { backend: "b3".into(), load });
    assert_eq!(harness.health_status("b3"), HealthStatus::Draining);
}

/// Guards against ejecting, for all VMs, a backend server that only this VM cannot reach.
#[test]
fn broken_way_is_unreachable_and_not_ejected() {
    let mut harness = Harness::warm(5);
    for _ in 0..20 {
        harness.fail("b0", AttemptOutcome::ConnectFailed);
        harness.advance_ms(200);
        harness.observe(BackendEvent::PeerReachability { backend: "b0".into(), reachable: true });
    }
    harness.advance_ms(100);
    assert!(!has_ejection(&harness.actions));
    assert_eq!(harness.health_status("b0"), HealthStatus::Unreachable);
}

/// Guards against avoiding a backend server forever after a single failure to connect.
#[test]
fn failure_to_connect_expires() {
    let mut harness = Harness::warm(5);
    harness.fail("b0", AttemptOutcome::ConnectFailed);
    assert_eq!(harness.health_status("b0"), HealthStatus::Suspect);
    harness.advance_ms(11_000);
    assert_eq!(harness.health_status("b0"), HealthStatus::Healthy);
}

/// Guards against ejecting, for all VMs, a backend server whose responses are lost on the network
/// path to this VM, and against more than one probe per second.
#[test]
fn lost_responses_are_unreachable_and_not_ejected() {
    let mut harness = Harness::warm(5);
    harness.answer_probes = false;
    harness.actions.clear();
    harness.send_on("b0", true);
    let start = harness.now();
    for _ in 0..20 {
        harness.advance_ms(500);
        harness.observe(BackendEvent::PeerReachability { backend: "b0".into(), reachable: true });
    }
    assert!(!has_ejection(&harness.actions));
    assert_eq!(harness.health_status("b0"), HealthStatus::Unreachable);
    let probes =
        harness.actions.iter().filter(|a| matches!(a, DetectorAction::Probe { .. })).count();
    assert!(probes as u64 <= (harness.now() - start).as_secs(), "{probes} probes");
    harness.answer_probes = true;
    harness.advance_ms(6000);
    assert!(
        matches!(harness.health_status("b0"), HealthStatus::Ramping(_)),
        "{:?}",
        harness.health_status("b0")
    );
}

/// Guards against ejecting a backend server because one connection became silent.
#[test]
fn silent_connection_is_dropped_and_the_backend_server_kept() {
    let mut harness = Harness::warm(5);
    let silent = harness.send_on("b0", true);
    for _ in 0..20 {
        harness.serve("b0", NORMAL_LATENCY);
        harness.advance_ms(200);
    }
    let drop = DetectorAction::DropConnection { backend: "b0".into(), attempt: silent };
    assert!(harness.actions.contains(&drop));
    assert!(!has_ejection(&harness.actions));
    assert_eq!(harness.health_status("b0"), HealthStatus::Healthy);
}

/// Guards against ejecting a backend server for crashes that the request causes. Such a request
/// crashes every backend server that runs it, and its crash also ends the other requests there.
#[test]
fn crashes_caused_by_requests_do_not_eject() {
    let mut harness = Harness::warm(5);
    for _ in 0..4 {
        let (poison, other) = (harness.send("b0"), harness.send("b0"));
        harness.end("b0", other, AttemptOutcome::Reset);
        harness.end_with_request_fault("b0", poison);
        harness.fail("b0", AttemptOutcome::ConnectFailed);
        harness.advance_ms(1000);
        harness.serve("b0", NORMAL_LATENCY);
    }
    assert!(!has_ejection(&harness.actions));
}

/// Guards against exceeding the ejection budget, and against keeping ejections after it shrinks.
#[test]
fn budget_bounds_ejections() {
    let mut harness = Harness::warm(7);
    harness.set_ejection_budget(1);
    let stalled = ["b0", "b1"];
    for backend in stalled {
        harness.send(backend);
    }
    harness.advance_ms(4000);
    let count = |harness: &Harness| {
        stalled.iter().filter(|b| harness.health_status(b) == HealthStatus::Ejected).count()
    };
    assert_eq!(count(&harness), 1);
    harness.set_ejection_budget(0);
    harness.advance_ms(50);
    assert_eq!(count(&harness), 0);
}

/// Guards against sending the full load to a backend server that has just returned, and against a
/// constant wait for one that is ejected again and again.
#[test]
fn recovery_takes_trials_and_a_ramp_and_repeated_ejections_wait_longer() {
    let mut harness = Harness::warm(5);
    let mut waits = Vec::new();
    for _ in 0..3 {
        harness.send("b0");
        harness.advance_ms(4000);
        assert_eq!(harness.health_status("b0"), HealthStatus::Ejected);
        let start = harness.now();
        while harness.health_status("b0") == HealthStatus::Ejected {
            harness.advance_ms(50);
        }
        waits.push(harness.now() - start);
        assert_eq!(harness.health_status("b0"), HealthStatus::HalfOpen);
        while harness.health_status("b0") == HealthStatus::HalfOpen {
            harness.serve("b0", NORMAL_LATENCY);
        }
        assert!(
            matches!(harness.health_status("b0"), HealthStatus::Ramping(fraction) if fraction < 0.2)
        );
        harness.advance_ms(11_000);
        assert_eq!(harness.health_status("b0"), HealthStatus::Healthy);
    }
    assert!(waits.windows(2).all(|pair| pair[1] > pair[0]), "{waits:?}");
}

/// Guards against sending the full load to a new backend server.
#[test]
fn new_backend_server_starts_slowly() {
    let mut harness = Harness::warm(3);
    harness.set_backends(4);
    assert!(
        matches!(harness.health_status("b3"), HealthStatus::Ramping(fraction) if fraction < 0.2)
    );
    assert_eq!(harness.health_status("b2"), HealthStatus::Healthy);
}
