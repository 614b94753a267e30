//! Behaviour of the `homes` balancer in single cases.

use std::time::Duration;

use balancer::Homes;
use kernel::{
    BackendId, BackendLimits, BackendSpec, Balancer, HealthStatus, Pick, PickRequest, Place, Uptime,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Uptime = Uptime::ZERO;

fn place(domain: &str) -> Place {
    Place { region: if domain == "far" { "r2" } else { "r1" }.into(), domain: domain.into() }
}

fn homes(domains: &[&str], slots: u32) -> Homes {
    let spec = |(i, domain): (usize, &&str)| BackendSpec {
        id: format!("b{i}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        place: place(domain),
        limits: BackendLimits { slots, connections: 100 },
        draining: false,
    };
    let specs: Vec<BackendSpec> = domains.iter().enumerate().map(spec).collect();
    let mut homes = Homes::default();
    homes.set_backends(START, &specs, &place("near"));
    homes
}

fn pick(
    homes: &mut Homes,
    now: Uptime,
    tried: &[BackendId],
    standing: &dyn Fn(&str) -> HealthStatus,
) -> Option<Pick> {
    let request = PickRequest { idempotent: true, tried };
    homes.pick(now, &request, standing, &mut SmallRng::seed_from_u64(1))
}

fn all_healthy(_: &str) -> HealthStatus {
    HealthStatus::Healthy
}

/// Guards against more requests on a backend server than it has slots.
#[test]
fn slots_are_never_exceeded() {
    let mut homes = homes(&["near", "other", "far"], 2);
    let mut counts = [0; 3];
    while let Some(pick) = pick(&mut homes, START, &[], &all_healthy) {
        counts[pick.backend[1..].parse::<usize>().expect("a number")] += 1;
    }
    assert_eq!(counts, [2, 2, 2]);
    homes.release(START, "b1");
    let again = pick(&mut homes, START, &[], &all_healthy).expect("a slot is free");
    assert_eq!(&*again.backend, "b1");
}

/// Guards against bytes between regions while the own region has free slots.
#[test]
fn other_regions_come_last() {
    let mut homes = homes(&["near", "far", "other"], 2);
    let order: Vec<_> = (0..6).filter_map(|_| pick(&mut homes, START, &[], &all_healthy)).collect();
    assert!(order[..4].iter().all(|pick| &*pick.backend != "b1"), "{order:?}");
}

/// Guards against a retry that goes to the backend server that has just failed.
#[test]
fn tried_backend_servers_are_left_out() {
    let mut homes = homes(&["near", "near"], 2);
    let tried: [BackendId; 1] = ["b0".into()];
    for _ in 0..2 {
        let pick = pick(&mut homes, START, &tried, &all_healthy).expect("b1 has a free slot");
        assert_eq!(&*pick.backend, "b1");
    }
    assert_eq!(pick(&mut homes, START, &tried, &all_healthy), None);
}

/// Guards against a suspect backend server that gets ordinary work while others have free slots,
/// and against one that gets none when nothing else is free.
#[test]
fn suspect_is_used_last() {
    let standing =
        |id: &str| if id == "b0" { HealthStatus::Suspect } else { HealthStatus::Healthy };
    let mut homes = homes(&["near", "near"], 2);
    let request = PickRequest { idempotent: false, tried: &[] };
    let mut rng = SmallRng::seed_from_u64(1);
    let order: Vec<_> = (0..5)
        .map_while(|_| homes.pick(START, &request, &standing, &mut rng))
        .map(|pick| pick.backend)
        .collect();
    assert_eq!(order, ["b1", "b1", "b0", "b0"].map(BackendId::from));
}

/// Guards against several requests at once, or one that must not repeat, on a backend server
/// whose return is being tried.
#[test]
fn half_open_takes_one_idempotent_trial_at_a_time() {
    let standing = |_: &str| HealthStatus::HalfOpen;
    let mut homes = homes(&["near"], 4);
    let fixed = PickRequest { idempotent: false, tried: &[] };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut trials = 0;
    for second in 0..60 {
        let now = Duration::from_secs(second);
        assert_eq!(homes.pick(now, &fixed, &standing, &mut rng), None);
        if let Some(trial) = pick(&mut homes, now, &[], &standing) {
            assert!(trial.trial);
            assert_eq!(pick(&mut homes, now, &[], &standing), None);
            homes.release(now, "b0");
            trials += 1;
        }
    }
    assert!(trials >= 3, "{trials} trials");
}

/// Guards against full load on a backend server with a cold start.
#[test]
fn ramping_takes_part_of_the_slots() {
    let mut homes = homes(&["near"], 4);
    let standing = |_: &str| HealthStatus::Ramping(0.5);
    let count = (0..4).filter_map(|_| pick(&mut homes, START, &[], &standing)).count();
    assert_eq!((count, homes.load(&standing)), (2, (2, 2)));
}

/// Guards against slots that are counted twice when a backend server leaves and comes back.
#[test]
fn slots_in_use_survive_a_change_of_the_set() {
    let mut homes = homes(&["near"], 1);
    assert!(pick(&mut homes, START, &[], &all_healthy).is_some());
    homes.set_backends(START, &[], &place("near"));
    let spec = BackendSpec {
        id: "b0".into(),
        address: ([127, 0, 0, 1], 1).into(),
        place: place("near"),
        limits: BackendLimits { slots: 1, connections: 100 },
        draining: false,
    };
    homes.set_backends(START, &[spec], &place("near"));
    assert_eq!(pick(&mut homes, START, &[], &all_healthy), None);
}
