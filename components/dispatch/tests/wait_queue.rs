//! The wait queue of a service under a burst and a return of callers after a holiday, in virtual
//! time.

use std::time::Duration;

use dispatch::{WaitQueue, Waiter};
use kernel::Uptime;

const SLOTS: u32 = 8;
const EXPECTED_S: f64 = 0.2;

fn at(millis: u64) -> Uptime {
    Duration::from_millis(millis)
}

fn waiter(priority: u32, now: u64, max_wait: u64) -> Waiter {
    Waiter { priority, start_deadline: at(now + max_wait), queued_at: at(now) }
}

#[test]
fn order_is_by_priority_and_then_by_deadline() {
    let mut queue = WaitQueue::default();
    for (id, priority, max_wait) in [(1, 2, 900), (2, 0, 1200), (3, 2, 700), (4, 0, 1000)] {
        assert!(queue.enqueue(at(0), id, waiter(priority, 0, max_wait), SLOTS, EXPECTED_S).is_ok());
    }
    assert_eq!(queue.ids(), [4, 2, 3, 1]);
    assert!(queue.remove(4, &waiter(0, 0, 1000)));
    assert_eq!(queue.first(), Some(2));
}

// Guards against requests that wait in vain: in a burst of 400 requests on 8 slots, those that
// cannot start in time are rejected on arrival.
#[test]
fn excess_of_a_burst_is_rejected_at_once() {
    let mut queue = WaitQueue::default();
    let (mut waiting, mut rejected) = (0, Vec::new());
    for id in 0..400 {
        let now = id * 2;
        match queue.enqueue(at(now), id, waiter(1, now, 500), SLOTS, EXPECTED_S) {
            Ok(()) => waiting += 1,
            Err(rejection) => rejected.push(rejection.retry_after),
        }
    }
    // 8 slots of 0.2 s start 40 requests per second; half of that is assumed before the first
    // start.
    assert!((5..=40).contains(&waiting), "{waiting} wait");
    assert!(rejected.iter().all(|retry| *retry >= Duration::from_millis(100)));
    assert!(rejected.iter().all(|retry| *retry <= Duration::from_secs(3)));
}

#[test]
fn faster_queue_accepts_more() {
    let count = |starts: u64| {
        let mut queue = WaitQueue::default();
        for start in 0..starts {
            queue.record_start(at(start * 2500 / starts));
        }
        (0..200)
            .filter(|id| {
                queue.enqueue(at(2500), *id, waiter(1, 2500, 500), SLOTS, EXPECTED_S).is_ok()
            })
            .count()
    };
    assert!(count(500) > 2 * count(25));
}

#[test]
fn urgent_request_overtakes_the_queue() {
    let mut queue = WaitQueue::default();
    let mut id = 0;
    while queue.enqueue(at(0), id, waiter(2, 0, 500), SLOTS, EXPECTED_S).is_ok() {
        id += 1;
    }
    assert!(queue.enqueue(at(0), 9999, waiter(0, 0, 500), SLOTS, EXPECTED_S).is_ok());
    assert_eq!(queue.first(), Some(9999));
}
