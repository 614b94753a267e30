use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{Queue, Ticket, Uptime};
use queue::FairQueue;
use quickcheck::{Arbitrary, Gen, TestResult};

/// Organisation that sends requests at regular intervals.
#[derive(Clone, Debug)]
struct Client {
    share: u8,
    /// Time between arrivals.
    interval_ms: u8,
    /// Slot time of each request.
    service_ms: u8,
    /// Time of the first request.
    start_ms: u16,
}

impl Arbitrary for Client {
    fn arbitrary(g: &mut Gen) -> Self {
        Client {
            share: u8::arbitrary(g) % 4 + 1,
            interval_ms: u8::arbitrary(g) % 100 + 2,
            service_ms: u8::arbitrary(g) % 70 + 10,
            start_ms: u16::arbitrary(g) % 2000,
        }
    }
}

/// Reference computation of weighted max-min allocations: raises all allocations together until
/// each meets its demand or the capacity is used up. `demands` are pairs of demand and share.
fn max_min(demands: &[(f64, f64)], capacity: f64) -> Vec<f64> {
    let mut allocations = vec![0.0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len()).collect();
    let mut remaining = capacity;
    loop {
        let shares: f64 = unsatisfied.iter().map(|i| demands[*i].1).sum();
        let level = remaining / shares;
        let (satisfied, rest): (Vec<usize>, Vec<usize>) =
            unsatisfied.iter().partition(|i| demands[**i].0 <= level * demands[**i].1);
        if satisfied.is_empty() {
            unsatisfied.iter().for_each(|i| allocations[*i] = level * demands[*i].1);
            return allocations;
        }
        for i in satisfied {
            allocations[i] = demands[i].0;
            remaining -= demands[i].0;
        }
        if rest.is_empty() {
            return allocations;
        }
        unsatisfied = rest;
    }
}

/// Start of the measured period.
const START_MS: u64 = 4_000;
/// End of the simulation.
const END_MS: u64 = 14_000;

/// Simulates the queue and returns the slot time in ms that each client used in the measured
/// period.
fn simulate(clients: &[Client], slots: usize) -> Vec<f64> {
    let ms = Duration::from_millis;
    let mut queue = FairQueue::default();
    let mut busy: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    let mut clients_by_id = Vec::new();
    let mut used = vec![0.0; clients.len()];
    for now in 0..END_MS {
        while let Some((&(end, id), &i)) =
            busy.first_key_value().filter(|((end, _), _)| *end <= now)
        {
            busy.remove(&(end, id));
            queue.record_usage(ms(now), &i.to_string(), ms(clients[i].service_ms.into()));
        }
        for (i, c) in clients.iter().enumerate() {
            if now >= c.start_ms.into()
                && (now - u64::from(c.start_ms)).is_multiple_of(c.interval_ms.into())
            {
                let id = clients_by_id.len() as u64;
                clients_by_id.push(i);
                let share = c.share.into();
                let deadline = Uptime::from_secs(1000);
                let organisation = i.to_string().into();
                let t = Ticket {
                    id,
                    organisation,
                    organisation_weight: share,
                    route_weight: 1.0,
                    deadline,
                };
                // A refusal only means that this organisation's own queue is full.
                let _ = queue.push(ms(now), t, slots as u32);
            }
        }
        while busy.len() < slots
            && let Some(id) = queue.pop(ms(now))
        {
            let i = clients_by_id[id as usize];
            let service_ms = u64::from(clients[i].service_ms);
            busy.insert((now + service_ms, id), i);
            let counted = (now + service_ms).min(END_MS).saturating_sub(now.max(START_MS));
            used[i] += counted as f64;
        }
    }
    used
}

/// Guards against an organisation that gets less slot time than its max-min fair allocation.
#[test]
fn slot_time_matches_max_min() {
    fn property(clients: Vec<Client>, slots: u8) -> TestResult {
        let clients = &clients[..clients.len().min(6)];
        if clients.is_empty() {
            return TestResult::discard();
        }
        let slots = usize::from(slots % 8 + 1);
        let span = (END_MS - START_MS) as f64;
        let demand = |c: &Client| f64::from(c.service_ms) / f64::from(c.interval_ms) * span;
        let demands: Vec<_> = clients.iter().map(|c| (demand(c), f64::from(c.share))).collect();
        let allocations = max_min(&demands, span * slots as f64);
        let used = simulate(clients, slots);
        for (i, (allocation, used)) in allocations.iter().zip(&used).enumerate() {
            // Requests are not divisible: at most one partial request of under 80 ms at either end
            // of the period and in every slot.
            let tolerance = 80.0 * (slots + 2) as f64;
            if *used < allocation * 0.97 - tolerance {
                return TestResult::error(format!("client {i}: {used} ms of {allocation} ms"));
            }
        }
        TestResult::passed()
    }
    fuzz::check(6, 60, property as fn(Vec<Client>, u8) -> TestResult);
}
