//! Compares the token bucket with a plain list of admissions.

use std::time::Duration;

use kernel::Rate;
use limiter::{Bucket, GRANT_RESERVATION};
use quickcheck::{Gen, QuickCheck};

const RATE: Rate = Rate { per_second: 7.0, burst: 20.0 };
const NO_EXPIRY: Duration = Duration::MAX;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// A full bucket with `units` of 16 units.
fn full_bucket(units: u32) -> Bucket {
    let mut bucket = Bucket::new(RATE);
    bucket.set_units(Duration::ZERO, units, 16, NO_EXPIRY, true);
    bucket
}

/// Remaining tokens after one more admission at `now`, as the minimum over all windows that end
/// there; negative if the admission would exceed the bound.
fn room(admitted: &[Duration], now: Duration, share: f64) -> f64 {
    let ends = admitted.iter().enumerate().map(|(i, at)| {
        let refill = 0.999 * share * RATE.per_second * (now - *at).as_secs_f64();
        share * RATE.burst + refill - (admitted.len() - i) as f64 - 1.0
    });
    ends.fold(share * RATE.burst - 1.0, f64::min)
}

/// Guards against a bucket that admits more or fewer requests than the list of admissions allows.
#[test]
fn a_bucket_agrees_with_a_list_of_admissions() {
    let check = |units: u8, steps: Vec<(u16, bool)>| {
        let units = 1 + u32::from(units) % 16;
        let share = f64::from(units) / 16.0;
        let mut bucket = full_bucket(units);
        let (mut now, mut admitted) = (Duration::ZERO, Vec::new());
        steps.into_iter().zip(1..).all(|((gap, grant), id)| {
            now += Duration::from_millis(u64::from(gap) % 700 * u64::from(gap % 3));
            let room = room(&admitted, now, share);
            let granted = if bucket.level(now) < 1.0 {
                0.0
            } else if grant {
                let granted = bucket.grant(now, 9, id, 1.0);
                bucket.settle(now, 9, id, 0.0);
                granted
            } else {
                bucket.take(now, 1.0)
            };
            let agreed = room.abs() < 1e-9 || (granted == 1.0) == (room >= 0.0);
            if granted == 1.0 {
                admitted.push(now);
            }
            agreed
        })
    };
    let rng = Gen::from_size_and_seed(200, 1);
    let check = check as fn(u8, Vec<(u16, bool)>) -> bool;
    QuickCheck::new().rng(rng).tests(1000).quickcheck(check);
}

/// Guards against a second debit or a second return when messages are duplicated.
#[test]
fn repeated_messages_count_once() {
    let mut bucket = full_bucket(16);
    assert_eq!(bucket.grant(secs(1.0), 5, 1, 8.0), 8.0);
    assert_eq!(bucket.grant(secs(1.0), 5, 1, 8.0), 8.0);
    assert_eq!(bucket.level(secs(1.0)), 12.0);
    bucket.settle(secs(1.0), 5, 1, 3.0);
    bucket.settle(secs(1.0), 5, 1, 3.0);
    assert_eq!(bucket.grant(secs(1.0), 5, 1, 8.0), 8.0);
    assert_eq!(bucket.level(secs(1.0)), 15.0);
}

/// Guards against adding refill for the time in which outstanding grants left no room for it.
#[test]
fn refill_is_lost_while_the_burst_is_outstanding() {
    let mut bucket = full_bucket(16);
    assert_eq!(bucket.grant(secs(0.0), 5, 1, 99.0), 20.0);
    assert_eq!(bucket.level(secs(2.0)), 0.0);
    let after = (secs(2.12) - GRANT_RESERVATION).as_secs_f64();
    assert!((bucket.level(secs(2.12)) - after * 0.999 * 7.0).abs() < 1e-9);
}

/// Guards against using units after their lease, and against counting units before the grants of
/// their former holder have expired.
#[test]
fn units_end_with_their_lease_and_start_empty_when_they_were_held_before() {
    let mut bucket = Bucket::new(RATE);
    bucket.set_units(secs(0.0), 8, 16, secs(10.0), true);
    assert_eq!(bucket.level(secs(9.9)), 10.0);
    assert_eq!((bucket.level(secs(10.0)), bucket.held_units()), (0.0, 0));
    bucket.set_units(secs(11.0), 8, 16, secs(30.0), true);
    assert_eq!(bucket.level(secs(13.02)), 0.0);
    assert!((bucket.level(secs(14.02)) - 3.5 * 0.999).abs() < 1e-9);
    bucket.set_rate(secs(15.0), Rate { per_second: 1.0, burst: 2.0 });
    assert_eq!(bucket.level(secs(15.0)), 1.0);
}
