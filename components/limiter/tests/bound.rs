//! The rate bound, for arbitrary faults of the network, the clocks and the store.

#[path = "../../rights/tests/fake/mod.rs"]
mod fake;
mod fleet;

use fleet::{Bug, Fleet, Op, max_excess};
use kernel::Rate;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const RATES: [Rate; 4] = [
    Rate { per_second: 20.0, burst: 24.0 },
    Rate { per_second: 100.0, burst: 16.0 },
    Rate { per_second: 5.0, burst: 3.0 },
    Rate { per_second: 2.0, burst: 64.0 },
];

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn run(seed: u64, ops: &[Op], bug: Bug) -> (f64, usize) {
    let rate = RATES[seed as usize % RATES.len()];
    let mut fleet = Fleet::new(seed, rate, bug);
    ops.iter().for_each(|op| fleet.apply(op));
    (max_excess(&fleet.admitted, rate), fleet.admitted.len())
}

fn keeps_bound(seed: u64, ops: Vec<Op>) -> bool {
    // The tolerance covers rounding errors in sums of fractions.
    run(seed, &ops, Bug::None).0 <= 1e-6
}

/// Guards against more admissions than burst + rate x time in any window.
#[test]
fn no_window_holds_more_than_its_rate_allows() {
    let rng = Gen::from_size_and_seed(100, env_or("PAPAYAREEL_FUZZ_SEED", 1));
    let cases = env_or("PAPAYAREEL_FUZZ_CASES", 200);
    QuickCheck::new().rng(rng).tests(cases).quickcheck(keeps_bound as fn(u64, Vec<Op>) -> bool);
}

/// Guards against an oracle or a generator that misses faults: each injected bug must be found.
#[test]
fn the_oracle_finds_broken_variants() {
    for bug in [Bug::OutstandingForgotten, Bug::AlwaysFresh, Bug::ClockStops] {
        let found = (0..400).find(|seed| {
            let ops = Vec::arbitrary(&mut Gen::from_size_and_seed(100, *seed));
            run(*seed, &ops, bug).0 > 1e-6
        });
        assert!(found.is_some(), "{bug:?} was not found in 400 cases");
        println!("{bug:?} is found by case {found:?}");
    }
}

/// Guards against a limiter that keeps the bound by admitting too few requests.
#[test]
fn a_healthy_fleet_admits_the_burst_and_then_the_rate() {
    let rate = Rate { per_second: 100.0, burst: 160.0 };
    let mut fleet = Fleet::new(1, rate, Bug::None);
    fleet.apply(&Op::Run(100));
    for tick in 0..500 {
        fleet.apply(&Op::Requests(tick % 2, 10));
        fleet.apply(&Op::Run(20));
    }
    let admitted = fleet.admitted.len();
    assert!((1100..=1160).contains(&admitted), "{admitted} of 1160 were admitted");
}
