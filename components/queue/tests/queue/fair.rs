use std::time::Duration;

use kernel::{Queue, QueueError, ServiceContext, Ticket, Uptime, build_queue};
use queue::FairQueue;

const MS: Duration = Duration::from_millis(1);

fn ticket(id: u64, organisation: &str, deadline: Uptime) -> Ticket {
    Ticket {
        id,
        organisation: organisation.into(),
        organisation_weight: 1.0,
        route_weight: 1.0,
        deadline,
    }
}

/// Queue with a measured service time of 50 ms, and the time after the measurements.
fn measured_queue() -> (FairQueue, Uptime) {
    let mut queue = FairQueue::default();
    for i in 0..200 {
        queue.record_usage(MS * i * 10, "old", MS * 50);
    }
    (queue, MS * 2000)
}

/// Guards against a queue plug-in that is not linked in or not registered under its name.
#[test]
fn both_plugins_are_registered() {
    let place = kernel::Place { region: "r".into(), domain: "d".into() };
    let context = ServiceContext { service: "s".into(), place, vms: 1, min_healthy: 0.5 };
    for name in ["fair", "naive"] {
        let mut queue = build_queue(name, &context).expect("registered");
        queue.push(Uptime::ZERO, ticket(1, "a", MS * 1000), 4).expect("room");
        assert_eq!(queue.pop(Uptime::ZERO), Some(1), "{name}");
        assert!(queue.is_empty());
    }
}

/// Guards against a flood of requests from one organisation that makes the queue refuse or delay
/// the requests of another.
#[test]
fn flood_does_not_affect_other_organisations() {
    let (mut queue, now) = measured_queue();
    let refused =
        (0..10_000).filter(|i| queue.push(now, ticket(*i, "flood", now + MS * 60_000), 4).is_err());
    assert!(refused.count() > 8_000);
    queue
        .push(now, ticket(20_000, "calm", now + MS * 300), 4)
        .expect("the flood is from another organisation");
    let first: Vec<_> = (0..2).filter_map(|_| queue.pop(now)).collect();
    assert!(first.contains(&20_000), "{first:?}");
}

/// Guards against accepting requests that will miss their deadline, and against refusing requests
/// that can meet it because of the backlog of another organisation.
#[test]
fn deadline_check_uses_backlog_of_own_organisation() {
    let (mut queue, now) = measured_queue();
    // 4 slots at 50 ms finish 80 requests per second, so about 28 can start within the 350 ms
    // before the last start that meets a deadline of 400 ms.
    let accepted = (0..100).filter(|i| queue.push(now, ticket(*i, "a", now + MS * 400), 4).is_ok());
    let accepted = accepted.count();
    assert!((20..=32).contains(&accepted), "{accepted}");
    let late = queue.push(now, ticket(200, "a", now + MS * 400), 4);
    assert!(matches!(late, Err(QueueError::TooLate { retry }) if retry >= MS * 10), "{late:?}");
    queue.push(now, ticket(201, "a", now + MS * 5000), 4).expect("has time");
    queue.push(now, ticket(202, "a", now + MS * 100), 4).expect("earlier deadlines go first");
    queue.push(now, ticket(203, "b", now + MS * 100), 4).expect("b has no backlog");
    let hopeless = queue.push(now, ticket(204, "c", now + MS * 5), 4);
    assert!(matches!(hopeless, Err(QueueError::TooLate { .. })));
}

/// Guards against tickets that are lost or reported twice when they expire, are cancelled or are
/// put back.
#[test]
fn each_ticket_leaves_the_queue_once() {
    let (mut queue, now) = measured_queue();
    for id in 0..4 {
        queue.push(now, ticket(id, "a", now + MS * 400), 4).expect("room");
    }
    assert!(queue.cancel(now, 1));
    assert!(!queue.cancel(now, 1));
    assert_eq!(queue.pop(now), Some(0));
    queue.requeue(now, ticket(0, "a", now + MS * 400));
    assert_eq!((queue.len(), queue.pop(now)), (3, Some(0)), "a requeued ticket is served first");
    queue.requeue(now, ticket(0, "a", now + MS * 400));
    let later = now + MS * 399;
    assert_eq!(queue.pop(later), None, "no request can meet its deadline");
    assert!(queue.cancel(later, 3), "an expired ticket can be cancelled");
    let mut late = queue.expire(later);
    late.sort_unstable();
    assert_eq!((late, queue.len()), (vec![0, 2], 0));
    assert!(queue.expire(later).is_empty());
}

/// Guards against an organisation that takes all slots after it was idle.
#[test]
fn idle_time_earns_no_credit() {
    let (mut queue, mut now) = measured_queue();
    let mut id = 0;
    let mut run = |queue: &mut FairQueue, names: &[&str], rounds: usize| {
        let mut served = vec![0; names.len()];
        for _ in 0..rounds {
            for name in names {
                id += 1;
                queue
                    .push(now, ticket(id * 2 + u64::from(*name == "b"), name, now + MS * 60_000), 1)
                    .expect("room");
            }
            let popped = queue.pop(now).expect("backlog");
            let name = if popped % 2 == 1 { "b" } else { "a" };
            served[names.iter().position(|n| *n == name).expect("known")] += 1;
            now += MS * 50;
            queue.record_usage(now, name, MS * 50);
        }
        served
    };
    run(&mut queue, &["a"], 500);
    let served = run(&mut queue, &["a", "b"], 100);
    assert!(served[1] <= 52, "b had {} of 100", served[1]);
}

/// Guards against refusing all requests for good after a slow phase: with no request running, the
/// service time estimate gets no new samples.
#[test]
fn service_time_estimate_decays_without_samples() {
    let mut queue = FairQueue::default();
    for i in 0..200 {
        queue.record_usage(MS * i * 100, "a", MS * 5000);
    }
    let now = MS * 20_000;
    assert!(queue.push(now, ticket(1, "a", now + MS * 1000), 4).is_err());
    let later = now + MS * 5000;
    queue.push(later, ticket(2, "a", later + MS * 1000), 4).expect("the estimate has decayed");
}

/// Guards against estimating the wait from the interval of earlier, slower starts. Requests that
/// are refused because of it never start, so the interval would never be corrected.
#[test]
fn start_interval_expires() {
    let (mut queue, mut now) = measured_queue();
    for id in 0..40 {
        queue.push(now, ticket(id, "a", now + MS * 600_000), 4).expect("room");
    }
    while queue.pop(now).is_some() {
        now += MS * 1000;
        queue.record_usage(now, "a", MS * 50);
    }
    now += MS * 3000;
    for id in 100..103 {
        queue.push(now, ticket(id, "a", now + MS * 500), 4).expect("slots are free again");
    }
}

/// Guards against ignoring the route weights within an organisation.
#[test]
fn routes_are_served_by_weight() {
    let (mut queue, now) = measured_queue();
    for id in 0..400 {
        let weight = if id % 2 == 0 { 3.0 } else { 1.0 };
        let t = Ticket { route_weight: weight, ..ticket(id, "a", now + MS * 600_000) };
        queue.push(now, t, 4).expect("room");
    }
    let heavy = (0..100).filter_map(|_| queue.pop(now)).filter(|id| id % 2 == 0).count();
    assert!((74..=76).contains(&heavy), "{heavy}");
}
