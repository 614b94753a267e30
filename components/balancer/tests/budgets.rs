//! Connection limits and bandwidth limits.

use std::time::Duration;

use balancer::{ConnectionCounter, Direction, LinkBudget, connection_limit};
use kernel::BackendLimits;
use quickcheck::{Arbitrary, Gen};

/// Guards against more connections than a backend server accepts: while VMs are being replaced,
/// the old and the new ones hold connections at the same time.
#[test]
fn fleet_stays_under_the_connection_limit() {
    for (slots, connections) in [(4, 400), (2, 300)] {
        let limits = BackendLimits { slots, connections };
        for vms in 1..60 {
            let each = connection_limit(limits, vms, 30);
            // Every VM holds as many as it may, and a quarter of the VMs is being replaced.
            assert!(each * (vms + vms / 4) as u32 <= connections, "{vms} VMs, {each} each");
        }
        assert!(connection_limit(limits, 44, 30) >= slots);
    }
    let limits = BackendLimits { slots: 4, connections: 400 };
    let fleet: u32 = (0..5800).map(|rank| connection_limit(limits, 5800, rank)).sum();
    assert!((4..=400).contains(&fleet), "{fleet}");
}

/// Guards against a counter that exceeds its limit or miscounts closed connections.
#[test]
fn counter_enforces_the_limit() {
    let mut counter = ConnectionCounter::default();
    assert!(counter.try_add("b0", 2) && counter.try_add("b0", 2));
    assert!(!counter.try_add("b0", 2));
    assert_eq!(counter.excess("b0", 1), 1);
    counter.remove("b0");
    assert!(counter.try_add("b0", 2));
}

/// Guards against admitting more bytes in any time window than burst + rate x time.
#[test]
fn link_stays_within_rate_and_burst_in_every_window() {
    let (rate, burst) = (1e6, 2e5);
    let mut g = Gen::from_size_and_seed(100, 1);
    for _ in 0..20 {
        let mut link = LinkBudget::new(Duration::ZERO, rate, burst);
        let (mut now, mut sum, mut lowest) = (Duration::ZERO, 0.0, f64::MAX);
        for _ in 0..2000 {
            now += Duration::from_micros(u64::arbitrary(&mut g) % 5000);
            let bytes = u64::arbitrary(&mut g) % 20_000;
            let refilled = rate * now.as_secs_f64();
            lowest = f64::min(lowest, sum - refilled);
            let admitted = if bool::arbitrary(&mut g) {
                link.admit(now, bytes, bytes, f64::from(u8::arbitrary(&mut g)))
            } else {
                link.take_chunk(now, Direction::Outbound, bytes).is_ok()
            };
            sum += if admitted { bytes as f64 } else { 0.0 };
            assert!(sum - refilled - lowest <= burst + 1.0);
        }
        assert!(sum > burst, "too few bytes admitted: {sum}");
    }
}

/// Guards against low weights starving high weights when the demand exceeds the rate.
#[test]
fn low_weights_are_rejected_first() {
    let mut link = LinkBudget::new(Duration::ZERO, 1e6, 5e5);
    let mut admitted = [0; 2];
    // The demand of each weight is 0.8 of the rate.
    for step in 0..10_000 {
        let now = Duration::from_millis(step);
        for (count, weight) in admitted.iter_mut().zip([1.0, 10.0]) {
            *count += u32::from(link.admit(now, 800, 800, weight));
        }
    }
    assert!(admitted[1] > 9_900, "{admitted:?}");
    assert!(admitted[0] < 5_000, "{admitted:?}");
}
