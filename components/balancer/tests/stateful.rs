//! Random operation sequences on both balancers, checked against a simple count of slots.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{
    BackendId, BackendLimits, BackendSpec, HealthStatus, PickRequest, Place, ServiceContext,
    Uptime, build_balancer,
};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::SmallRng;

// The plug-ins register themselves and are looked up by name, so the crate must be linked.
use balancer as _;

const STEPS: usize = 400;

fn fuzz_option(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn arbitrary_specs(g: &mut Gen) -> Vec<BackendSpec> {
    let count = 1 + usize::arbitrary(g) % 6;
    (0..count)
        .map(|i| BackendSpec {
            id: format!("b{i}").into(),
            address: ([127, 0, 0, 1], 1).into(),
            place: Place {
                region: format!("r{}", i % 4 / 3).into(),
                domain: format!("d{}", i % 3).into(),
            },
            limits: BackendLimits { slots: 1 + u32::arbitrary(g) % 4, connections: 100 },
            draining: false,
        })
        .collect()
}

fn arbitrary_health(g: &mut Gen) -> HealthStatus {
    let fraction = f64::from(1 + u8::arbitrary(g) % 100) / 100.0;
    *g.choose(&[
        HealthStatus::Healthy,
        HealthStatus::Healthy,
        HealthStatus::Ramping(fraction),
        HealthStatus::Suspect,
        HealthStatus::Unreachable,
        HealthStatus::HalfOpen,
        HealthStatus::Ejected,
        HealthStatus::Draining,
    ])
    .expect("not empty")
}

/// Returns the maximum number of concurrent requests on a backend server after a pick.
fn max_slots(slots: u32, health: HealthStatus) -> u32 {
    match health {
        HealthStatus::Healthy | HealthStatus::Suspect => slots,
        HealthStatus::Ramping(fraction) => ((f64::from(slots) * fraction) as u32).max(1),
        HealthStatus::HalfOpen => 1,
        HealthStatus::Unreachable | HealthStatus::Ejected | HealthStatus::Draining => 0,
    }
}

fn run_history(name: &str, g: &mut Gen, seed: u64) {
    let local = Place { region: "r0".into(), domain: "d0".into() };
    let context =
        ServiceContext { service: "s".into(), place: local.clone(), vms: 1, min_healthy: 0.7 };
    let mut balancer = build_balancer(name, &context).expect("the plug-in is linked");
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut now = Uptime::ZERO;
    let mut specs = arbitrary_specs(g);
    balancer.set_backends(now, &specs, &local);
    let mut statuses: BTreeMap<BackendId, HealthStatus> = BTreeMap::new();
    let mut used: BTreeMap<BackendId, u32> = BTreeMap::new();
    for step in 0..STEPS {
        now += Duration::from_millis(u64::arbitrary(g) % 100);
        match u8::arbitrary(g) % 30 {
            // The naive balancer loses the count of slots in use of removed backend servers.
            0 if name != "naive" || used.values().all(|count| *count == 0) => {
                specs = arbitrary_specs(g);
                balancer.set_backends(now, &specs, &local);
            }
            1..4 => {
                let id = g.choose(&specs).expect("not empty").id.clone();
                statuses.insert(id, arbitrary_health(g));
            }
            4..14 => {
                let busy: Vec<BackendId> = used
                    .iter()
                    .filter(|(_, count)| **count > 0)
                    .map(|(id, _)| id.clone())
                    .collect();
                if let Some(id) = g.choose(&busy) {
                    balancer.release(now, id);
                    *used.entry(id.clone()).or_default() -= 1;
                }
            }
            _ => {
                let tried: Vec<BackendId> = if u8::arbitrary(g) % 4 == 0 {
                    vec![g.choose(&specs).expect("not empty").id.clone()]
                } else {
                    Vec::new()
                };
                let idempotent = bool::arbitrary(g);
                let health = |id: &str| statuses.get(id).copied().unwrap_or(HealthStatus::Healthy);
                let request = PickRequest { idempotent, tried: &tried };
                let Some(pick) = balancer.pick(now, &request, &health, &mut rng) else {
                    continue;
                };
                let spec = specs.iter().find(|spec| spec.id == pick.backend);
                let slots = spec.expect("only configured ones are picked").limits.slots;
                let count = used.entry(pick.backend.clone()).or_default();
                *count += 1;
                let limit = max_slots(slots, health(&pick.backend));
                assert!(
                    *count <= limit,
                    "{name}, seed {seed}, step {step}: {pick:?}, {count} > {limit}"
                );
                assert!(!tried.contains(&pick.backend) && (idempotent || !pick.trial));
                let (open, in_use) = balancer.load(&health);
                assert!(in_use <= open);
            }
        }
    }
}

/// Guards against more concurrent requests on a backend server than its slots and its health status
/// allow.
#[test]
fn slots_in_use_never_exceed_the_limits() {
    let cases = fuzz_option("PAPAYAREEL_FUZZ_CASES", 200);
    let seed = fuzz_option("PAPAYAREEL_FUZZ_SEED", 1);
    for name in ["homes", "naive"] {
        let mut g = Gen::from_size_and_seed(100, seed);
        (0..cases).for_each(|case| run_history(name, &mut g, seed + case));
    }
}
