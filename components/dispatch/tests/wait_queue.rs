//! The line of a service under a burst and a return after a holiday, in virtual time.

use std::time::Duration;

use dispatch::{WaitQueue, Waiter};
use kernel::Uptime;

const SLOTS: u32 = 8;
const USUAL: f64 = 0.2;

fn at(millis: u64) -> Uptime {
    Duration::from_millis(millis)
}

fn waiter(priority: u32, now: u64, patience: u64) -> Waiter {
    Waiter { priority, start_deadline: at(now + patience), queued_at: at(now) }
}

#[test]
fn the_most_urgent_starts_first_and_then_the_one_due_first() {
    let mut room = WaitQueue::default();
    for (id, priority, patience) in [(1, 2, 900), (2, 0, 1200), (3, 2, 700), (4, 0, 1000)] {
        assert!(room.enqueue(at(0), id, waiter(priority, 0, patience), SLOTS, USUAL).is_ok());
    }
    assert_eq!(room.ids(), [4, 2, 3, 1]);
    assert!(room.remove(4, &waiter(0, 0, 1000)));
    assert_eq!(room.first(), Some(2));
}

// A burst of 400 a second on 8 slots: what cannot start in time is rejected when it comes.
#[test]
fn a_burst_is_rejected_at_once_and_not_held() {
    let mut room = WaitQueue::default();
    let (mut waiting, mut rejected) = (0, Vec::new());
    for id in 0..400 {
        let now = id * 2;
        match room.enqueue(at(now), id, waiter(1, now, 500), SLOTS, USUAL) {
            Ok(()) => waiting += 1,
            Err(no) => rejected.push(no.retry_after),
        }
    }
    // 8 slots of 0.2 s start 40 a second; half of that is counted on before any start was seen.
    assert!((5..=40).contains(&waiting), "{waiting} wait");
    assert!(rejected.iter().all(|retry| *retry >= Duration::from_millis(100)));
    assert!(rejected.iter().all(|retry| *retry <= Duration::from_secs(3)));
}

#[test]
fn a_faster_line_takes_more() {
    let count = |starts: u64| {
        let mut room = WaitQueue::default();
        for start in 0..starts {
            room.record_start(at(start * 2500 / starts));
        }
        (0..200)
            .filter(|id| room.enqueue(at(2500), *id, waiter(1, 2500, 500), SLOTS, USUAL).is_ok())
            .count()
    };
    assert!(count(500) > 2 * count(25));
}

#[test]
fn an_urgent_request_is_not_held_up_by_the_line() {
    let mut room = WaitQueue::default();
    let mut id = 0;
    while room.enqueue(at(0), id, waiter(2, 0, 500), SLOTS, USUAL).is_ok() {
        id += 1;
    }
    assert!(room.enqueue(at(0), 9999, waiter(0, 0, 500), SLOTS, USUAL).is_ok());
    assert_eq!(room.first(), Some(9999));
}
