//! Connection allowances and link budgets.

use std::time::Duration;

use balancer::{ConnectionPool, Direction, LinkBudget, connection_allowance};
use kernel::BackendLimits;
use quickcheck::{Arbitrary, Gen};

/// Guards against more connections than a backend server accepts while VMs are replaced.
#[test]
fn fleet_stays_under_the_connection_limit() {
    for (slots, connections) in [(4, 400), (2, 300)] {
        let limits = BackendLimits { slots, connections };
        for vms in 1..60 {
            let each = connection_allowance(limits, vms, 30);
            // Every VM holds all it may, and a quarter of them is being replaced.
            assert!(each * (vms + vms / 4) as u32 <= connections, "{vms} VMs, {each} each");
        }
        assert!(connection_allowance(limits, 44, 30) >= slots);
    }
    let limits = BackendLimits { slots: 4, connections: 400 };
    let fleet: u32 = (0..5800).map(|rank| connection_allowance(limits, 5800, rank)).sum();
    assert!((4..=400).contains(&fleet), "{fleet}");
}

/// Guards against a pool that opens above its allowance or loses count.
#[test]
fn pool_keeps_the_allowance() {
    let mut pool = ConnectionPool::default();
    assert!(pool.try_open("b0", 2) && pool.try_open("b0", 2));
    assert!(!pool.try_open("b0", 2));
    assert_eq!(pool.surplus("b0", 1), 1);
    pool.close("b0");
    assert!(pool.try_open("b0", 2));
}

/// Guards against more bytes in any window than burst + rate x time.
#[test]
fn link_keeps_every_window() {
    let (rate, burst) = (1e6, 2e5);
    let mut g = Gen::from_size_and_seed(100, 1);
    for _ in 0..20 {
        let mut link = LinkBudget::new(Duration::ZERO, rate, burst);
        let (mut now, mut sum, mut lowest) = (Duration::ZERO, 0.0, f64::MAX);
        for _ in 0..2000 {
            now += Duration::from_micros(u64::arbitrary(&mut g) % 5000);
            let bytes = u64::arbitrary(&mut g) % 20_000;
            let due = rate * now.as_secs_f64();
            lowest = f64::min(lowest, sum - due);
            let passed = if bool::arbitrary(&mut g) {
                link.admit(now, bytes, bytes, f64::from(u8::arbitrary(&mut g)))
            } else {
                link.take_chunk(now, Direction::Out, bytes).is_ok()
            };
            sum += if passed { bytes as f64 } else { 0.0 };
            assert!(sum - due - lowest <= burst + 1.0);
        }
        assert!(sum > burst, "the link let nearly nothing through");
    }
}

/// Guards against low weights that take the link from high ones.
#[test]
fn low_weights_are_cut_first() {
    let mut link = LinkBudget::new(Duration::ZERO, 1e6, 5e5);
    let mut passed = [0; 2];
    // Each weight asks for 0.8 of the rate.
    for step in 0..10_000 {
        let now = Duration::from_millis(step);
        for (count, weight) in passed.iter_mut().zip([1.0, 10.0]) {
            *count += u32::from(link.admit(now, 800, 800, weight));
        }
    }
    assert!(passed[1] > 9_900, "{passed:?}");
    assert!(passed[0] < 5_000, "{passed:?}");
}
