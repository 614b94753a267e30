//! Scenarios of the `homes` balancer.

use std::time::Duration;

use balancer::HomeBalancer;
use kernel::{
    BackendId, BackendLimits, BackendSpec, Balancer, HealthStatus, Pick, PickRequest, Place, Uptime,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Uptime = Uptime::ZERO;

fn place(domain: &str) -> Place {
    Place { region: if domain == "far" { "r2" } else { "r1" }.into(), domain: domain.into() }
}

fn new_balancer(domains: &[&str], slots: u32) -> HomeBalancer {
    let spec = |(i, domain): (usize, &&str)| BackendSpec {
        id: format!("b{i}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        place: place(domain),
        limits: BackendLimits { slots, connections: 100 },
        draining: false,
    };
    let specs: Vec<BackendSpec> = domains.iter().enumerate().map(spec).collect();
    let mut balancer = HomeBalancer::default();
    balancer.set_backends(START, &specs, &place("near"));
    balancer
}

fn pick(
    balancer: &mut HomeBalancer,
    now: Uptime,
    tried: &[BackendId],
    health: &dyn Fn(&str) -> HealthStatus,
) -> Option<Pick> {
    let request = PickRequest { idempotent: true, tried };
    balancer.pick(now, &request, health, &mut SmallRng::seed_from_u64(1))
}

fn all_healthy(_: &str) -> HealthStatus {
    HealthStatus::Healthy
}

/// Guards against more concurrent requests on a backend server than it has slots.
#[test]
fn slots_are_never_exceeded() {
    let mut balancer = new_balancer(&["near", "other", "far"], 2);
    let mut counts = [0; 3];
    while let Some(pick) = pick(&mut balancer, START, &[], &all_healthy) {
        counts[pick.backend[1..].parse::<usize>().expect("a number")] += 1;
    }
    assert_eq!(counts, [2, 2, 2]);
    balancer.release(START, "b1");
    let again = pick(&mut balancer, START, &[], &all_healthy).expect("a slot is free");
    assert_eq!(&*again.backend, "b1");
}

/// Guards against traffic between regions while the local region has free slots.
#[test]
fn other_regions_come_last() {
    let mut balancer = new_balancer(&["near", "far", "other"], 2);
    let order: Vec<_> =
        (0..6).filter_map(|_| pick(&mut balancer, START, &[], &all_healthy)).collect();
    assert!(order[..4].iter().all(|pick| &*pick.backend != "b1"), "{order:?}");
}

/// Guards against a retry on a backend server on which the request has already failed.
#[test]
fn tried_backend_servers_are_skipped() {
    let mut balancer = new_balancer(&["near", "near"], 2);
    let tried: [BackendId; 1] = ["b0".into()];
    for _ in 0..2 {
        let pick = pick(&mut balancer, START, &tried, &all_healthy).expect("b1 has a free slot");
        assert_eq!(&*pick.backend, "b1");
    }
    assert_eq!(pick(&mut balancer, START, &tried, &all_healthy), None);
}

/// Guards against a suspect backend server that receives normal requests while others have free
/// slots, and against one that receives none when no other slot is free.
#[test]
fn suspect_is_used_last() {
    let health = |id: &str| if id == "b0" { HealthStatus::Suspect } else { HealthStatus::Healthy };
    let mut balancer = new_balancer(&["near", "near"], 2);
    let request = PickRequest { idempotent: false, tried: &[] };
    let mut rng = SmallRng::seed_from_u64(1);
    let order: Vec<_> = (0..5)
        .map_while(|_| balancer.pick(START, &request, &health, &mut rng))
        .map(|pick| pick.backend)
        .collect();
    assert_eq!(order, ["b1", "b1", "b0", "b0"].map(BackendId::from));
}

/// Guards against concurrent or non-idempotent requests on a half-open backend server.
#[test]
fn half_open_takes_one_idempotent_trial_at_a_time() {
    let health = |_: &str| HealthStatus::HalfOpen;
    let mut balancer = new_balancer(&["near"], 4);
    let non_idempotent = PickRequest { idempotent: false, tried: &[] };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut trials = 0;
    for second in 0..60 {
        let now = Duration::from_secs(second);
        assert_eq!(balancer.pick(now, &non_idempotent, &health, &mut rng), None);
        if let Some(trial) = pick(&mut balancer, now, &[], &health) {
            assert!(trial.trial);
            assert_eq!(pick(&mut balancer, now, &[], &health), None);
            balancer.release(now, "b0");
            trials += 1;
        }
    }
    assert!(trials >= 3, "{trials} trials");
}

/// Guards against full load on a backend server during its slow start.
#[test]
fn ramping_limits_the_slots() {
    let mut balancer = new_balancer(&["near"], 4);
    let health = |_: &str| HealthStatus::Ramping(0.5);
    let count = (0..4).filter_map(|_| pick(&mut balancer, START, &[], &health)).count();
    assert_eq!((count, balancer.load(&health)), (2, (2, 2)));
}

/// Guards against losing count of slots in use when a backend server is removed from the
/// configuration and added again.
#[test]
fn slots_in_use_survive_removal_and_return() {
    let mut balancer = new_balancer(&["near"], 1);
    assert!(pick(&mut balancer, START, &[], &all_healthy).is_some());
    balancer.set_backends(START, &[], &place("near"));
    let spec = BackendSpec {
        id: "b0".into(),
        address: ([127, 0, 0, 1], 1).into(),
        place: place("near"),
        limits: BackendLimits { slots: 1, connections: 100 },
        draining: false,
    };
    balancer.set_backends(START, &[spec], &place("near"));
    assert_eq!(pick(&mut balancer, START, &[], &all_healthy), None);
}
