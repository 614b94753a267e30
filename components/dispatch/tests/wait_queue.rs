//! The wait queue of a service under a burst and a return of callers after a holiday, in virtual
//! time.

use std::time::Duration;

use dispatch::{NextWaiter, QueueCapacity, RemoteWaiter, WaitQueue, Waiter};
use kernel::Uptime;

const CAPACITY: QueueCapacity =
    QueueCapacity { slots: 8, expected_s: 0.2, available_at: Uptime::ZERO, limited_rate: None };

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
        assert!(queue.enqueue(at(0), id, waiter(priority, 0, max_wait), CAPACITY, 0.0).is_ok());
    }
    assert_eq!(queue.order([].into_iter()), [4, 2, 3, 1].map(NextWaiter::Own));
    // Requests that wait on other VMs stand among them by the same order.
    let remote =
        |priority, deadline, vm| RemoteWaiter { priority, start_deadline: at(deadline), vm };
    let remote = [remote(2, 800, 7), remote(0, 900, 8), remote(3, 1, 9)];
    let own = NextWaiter::Own;
    let other = NextWaiter::Remote;
    let merged = [other(8), own(4), own(2), own(3), other(7), own(1), other(9)];
    assert_eq!(queue.order(remote.into_iter()), merged);
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
        match queue.enqueue(at(now), id, waiter(1, now, 500), CAPACITY, 0.0) {
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
            .filter(|id| queue.enqueue(at(2500), *id, waiter(1, 2500, 500), CAPACITY, 0.0).is_ok())
            .count()
    };
    assert!(count(500) > 2 * count(25));
}

#[test]
fn urgent_request_overtakes_the_queue() {
    let mut queue = WaitQueue::default();
    let mut id = 0;
    while queue.enqueue(at(0), id, waiter(2, 0, 500), CAPACITY, 0.0).is_ok() {
        id += 1;
    }
    assert!(queue.enqueue(at(0), 9999, waiter(0, 0, 500), CAPACITY, 0.0).is_ok());
    assert_eq!(queue.first(), Some(9999));
}

// Guards against callers that wait or return in vain while all backend servers of a service have
// asked for a pause of 800 ms.
#[test]
fn request_waits_for_the_end_of_a_pause_only_if_it_fits() {
    let paused = QueueCapacity { available_at: at(1800), ..CAPACITY };
    let mut queue = WaitQueue::default();
    let long = waiter(1, 1000, 1500);
    assert!(queue.enqueue(at(1000), 1, long, paused, 0.5).is_ok());
    let short = waiter(1, 1000, 600);
    let mut returns = Vec::new();
    for (id, spread) in [(2, 0.0), (3, 0.5), (4, 0.9)] {
        let rejected = queue.enqueue(at(1000), id, short, paused, spread);
        returns.push(rejected.expect_err("it cannot start in time").retry_after);
    }
    assert_eq!(returns, [at(800), at(1300), at(1700)]);
}

/// Guards against requests that wait for slots which a request limit keeps idle.
#[test]
fn requests_beyond_a_limit_are_rejected_at_once() {
    let count = |limited_rate: Option<f64>, slots: u32| {
        let mut queue = WaitQueue::default();
        // The starts of the seconds before the limit.
        (0..200).for_each(|start| queue.record_start(at(start * 10)));
        let capacity = QueueCapacity { slots, limited_rate, ..CAPACITY };
        let mut retries = Vec::new();
        for id in 0..200 {
            let queued = queue.enqueue(at(2000), id, waiter(1, 2000, 1000), capacity, 0.0);
            retries.extend(queued.err().map(|rejected| rejected.retry_after));
        }
        (queue.len(), retries.into_iter().max().unwrap_or_default())
    };
    assert!(count(None, 8).0 >= 90, "{:?}", count(None, 8));
    // Two requests a second start in the second that they may wait.
    let (waiting, retry_after) = count(Some(2.0), 0);
    assert_eq!(waiting, 2);
    assert!(retry_after >= Duration::from_millis(1500), "{retry_after:?}");
    // Unlimited servers beside the limited ones count with their slots.
    assert!((40..=44).contains(&count(Some(2.0), 8).0), "{:?}", count(Some(2.0), 8));
    assert_eq!(count(Some(0.3), 0).0, 0);
}
