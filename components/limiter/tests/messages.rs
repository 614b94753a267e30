//! Messages that come twice, late or unasked.

use std::time::Duration;

use kernel::{Admission, Limiter, LimiterAction, LimiterMessage, Rate, VmContext};
use limiter::Shares;

const RATE: Rate = Rate { per_second: 10.0, burst: 32.0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn vm(incarnation: u64) -> Shares {
    let mut vm = Shares::new(&VmContext { incarnation, vms: 2 });
    vm.set_rate(ms(0), "o", Some(RATE));
    vm.set_vms(ms(0), &[1, 2]);
    vm
}

fn sent(vm: &mut Shares, now: Duration) -> Option<LimiterMessage> {
    vm.poll(now).into_iter().find_map(|action| match action {
        LimiterAction::Send { message, .. } => Some(message),
        _ => None,
    })
}

/// A holder, a requester whose first request waits, and the grant on its way to it at 40 ms.
fn granted() -> (Shares, Shares, LimiterMessage) {
    let (mut holder, mut requester) = (vm(1), vm(2));
    holder.set_units(ms(0), "o", 8, 16, ms(1_000_000), true);
    assert!(matches!(requester.admit(ms(20), "o"), Admission::Wait(_)));
    let ask = sent(&mut requester, ms(20)).unwrap();
    holder.receive(ms(40), 2, ask.clone());
    let grant = sent(&mut holder, ms(40)).unwrap();
    holder.receive(ms(41), 2, ask);
    assert_eq!(sent(&mut holder, ms(41)).as_ref(), Some(&grant), "a repeated ask");
    (holder, requester, grant)
}

/// Guards against a grant that is spent twice.
#[test]
fn a_grant_that_comes_twice_counts_once() {
    let (_, mut requester, grant) = granted();
    requester.receive(ms(60), 1, grant.clone());
    requester.receive(ms(61), 1, grant.clone());
    assert_eq!(requester.admit(ms(62), "o"), Admission::Admitted);
    requester.receive(ms(63), 1, grant);
    assert!(matches!(requester.admit(ms(64), "o"), Admission::Wait(_)));
}

/// Guards against tokens that are used after their holder has counted them as free again.
#[test]
fn a_grant_is_not_spent_after_its_validity() {
    let (_, mut late, grant) = granted();
    late.receive(ms(2020), 1, grant.clone());
    assert!(!matches!(late.admit(ms(2020), "o"), Admission::Admitted));
    let (_, mut paused, grant) = granted();
    paused.receive(ms(60), 1, grant);
    assert!(!matches!(paused.admit(ms(2020), "o"), Admission::Admitted));
}

/// Guards against units that come back into use while their release is being written.
#[test]
fn released_units_stay_unused_until_the_release_is_confirmed() {
    let (mut holder, ..) = granted();
    holder.set_vms(ms(100), &[1, 2, 3, 4]);
    let mut keep = None;
    for now in (1..40).map(|s| ms(s * 1000)) {
        holder.set_units(now, "o", 8, 16, now + ms(1_000_000), false);
        keep = keep.or(holder.poll(now).into_iter().find_map(|action| match action {
            LimiterAction::Release { units, .. } => Some(units),
            _ => None,
        }));
    }
    assert_eq!(keep, Some(4));
    let mut admitted = 0;
    while holder.admit(ms(39_000), "o") == Admission::Admitted {
        admitted += 1;
    }
    assert_eq!(admitted, 8, "4 of 16 units own 8 of 32 tokens");
}
