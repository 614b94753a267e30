//! Messages that are duplicated, late or unsolicited.

use std::time::Duration;

use kernel::{Admission, Limiter, LimiterAction, LimiterMessage, Rate, VmContext};
use limiter::SharesLimiter;

const RATE: Rate = Rate { per_second: 10.0, burst: 32.0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn vm(incarnation: u64) -> SharesLimiter {
    let mut vm = SharesLimiter::new(&VmContext { incarnation, vms: 2 });
    vm.set_rate(ms(0), "o", Some(RATE));
    vm.set_vms(ms(0), &[1, 2]);
    vm
}

fn next_message(vm: &mut SharesLimiter, now: Duration) -> Option<LimiterMessage> {
    vm.poll(now).into_iter().find_map(|action| match action {
        LimiterAction::Send { message, .. } => Some(message),
        _ => None,
    })
}

/// A holder, a requester whose first request waits, and the grant in flight to the requester at 40
/// ms.
fn grant_in_flight() -> (SharesLimiter, SharesLimiter, LimiterMessage) {
    let (mut holder, mut requester) = (vm(1), vm(2));
    holder.set_units(ms(0), "o", 8, 16, ms(1_000_000), true);
    assert!(matches!(requester.admit(ms(20), "o"), Admission::Wait(_)));
    let ask = next_message(&mut requester, ms(20)).unwrap();
    holder.receive(ms(40), 2, ask.clone());
    let grant = next_message(&mut holder, ms(40)).unwrap();
    holder.receive(ms(41), 2, ask);
    assert_eq!(next_message(&mut holder, ms(41)).as_ref(), Some(&grant), "a repeated ask");
    (holder, requester, grant)
}

/// Guards against spending a duplicated grant twice.
#[test]
fn a_duplicated_grant_counts_once() {
    let (_, mut requester, grant) = grant_in_flight();
    requester.receive(ms(60), 1, grant.clone());
    requester.receive(ms(61), 1, grant.clone());
    assert_eq!(requester.admit(ms(62), "o"), Admission::Admitted);
    requester.receive(ms(63), 1, grant);
    assert!(matches!(requester.admit(ms(64), "o"), Admission::Wait(_)));
}

/// Guards against spending tokens after their holder has stopped counting them as outstanding.
#[test]
fn a_grant_is_not_spent_after_its_validity() {
    let (_, mut late, grant) = grant_in_flight();
    late.receive(ms(2020), 1, grant.clone());
    assert!(!matches!(late.admit(ms(2020), "o"), Admission::Admitted));
    let (_, mut paused, grant) = grant_in_flight();
    paused.receive(ms(60), 1, grant);
    assert!(!matches!(paused.admit(ms(2020), "o"), Admission::Admitted));
}

/// Guards against using units again while their release is still being written to the store.
#[test]
fn released_units_stay_unused_until_the_release_is_confirmed() {
    let (mut holder, ..) = grant_in_flight();
    holder.set_vms(ms(100), &[1, 2, 3, 4]);
    let mut kept_units = None;
    for now in (1..40).map(|s| ms(s * 1000)) {
        holder.set_units(now, "o", 8, 16, now + ms(1_000_000), false);
        kept_units = kept_units.or(holder.poll(now).into_iter().find_map(|action| match action {
            LimiterAction::Release { units, .. } => Some(units),
            _ => None,
        }));
    }
    assert_eq!(kept_units, Some(4));
    let mut admitted = 0;
    while holder.admit(ms(39_000), "o") == Admission::Admitted {
        admitted += 1;
    }
    assert_eq!(admitted, 8, "4 of 16 units own 8 of 32 tokens");
}
