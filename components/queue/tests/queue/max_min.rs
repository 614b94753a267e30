use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{Queue, Ticket, Uptime};
use queue::FairQueue;
use quickcheck::{Arbitrary, Gen, TestResult};

/// One organisation with regular arrivals.
#[derive(Clone, Debug)]
struct Client {
    share: u8,
    /// Time between arrivals.
    every_ms: u8,
    /// Slot time of each request.
    takes_ms: u8,
    /// When it starts to send.
    from_ms: u16,
}

impl Arbitrary for Client {
    fn arbitrary(g: &mut Gen) -> Self {
        Client {
            share: u8::arbitrary(g) % 4 + 1,
            every_ms: u8::arbitrary(g) % 100 + 2,
            takes_ms: u8::arbitrary(g) % 70 + 10,
            from_ms: u16::arbitrary(g) % 2000,
        }
    }
}

/// Plain weighted max-min: raises all parts together until each has its demand or the capacity is
/// used up.
fn max_min(demands: &[(f64, f64)], capacity: f64) -> Vec<f64> {
    let mut parts = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    let mut left = capacity;
    loop {
        let shares: f64 = open.iter().map(|i| demands[*i].1).sum();
        let level = left / shares;
        let (full, rest): (Vec<usize>, Vec<usize>) =
            open.iter().partition(|i| demands[**i].0 <= level * demands[**i].1);
        if full.is_empty() {
            open.iter().for_each(|i| parts[*i] = level * demands[*i].1);
            return parts;
        }
        for i in full {
            parts[i] = demands[i].0;
            left -= demands[i].0;
        }
        if rest.is_empty() {
            return parts;
        }
        open = rest;
    }
}

const START: u64 = 4_000;
const END: u64 = 14_000;

/// Slot time in ms that each client used between `START` and `END`.
fn serve(clients: &[Client], slots: usize) -> Vec<f64> {
    let ms = Duration::from_millis;
    let mut queue = FairQueue::default();
    let mut busy: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    let mut owner = Vec::new();
    let mut used = vec![0.0; clients.len()];
    for now in 0..END {
        while let Some((&(end, id), &i)) =
            busy.first_key_value().filter(|((end, _), _)| *end <= now)
        {
            busy.remove(&(end, id));
            queue.record_usage(ms(now), &i.to_string(), ms(clients[i].takes_ms.into()));
        }
        for (i, c) in clients.iter().enumerate() {
            if now >= c.from_ms.into()
                && (now - u64::from(c.from_ms)).is_multiple_of(c.every_ms.into())
            {
                let id = owner.len() as u64;
                owner.push(i);
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
                // A refusal is one organisation's own full queue.
                let _ = queue.push(ms(now), t, slots as u32);
            }
        }
        while busy.len() < slots
            && let Some(id) = queue.pop(ms(now))
        {
            let i = owner[id as usize];
            let takes = u64::from(clients[i].takes_ms);
            busy.insert((now + takes, id), i);
            let counted = (now + takes).min(END).saturating_sub(now.max(START));
            used[i] += counted as f64;
        }
    }
    used
}

/// Guards against an organisation that gets less slot time than a plain max-min computation says.
#[test]
fn slot_time_follows_max_min() {
    fn property(clients: Vec<Client>, slots: u8) -> TestResult {
        let clients = &clients[..clients.len().min(6)];
        if clients.is_empty() {
            return TestResult::discard();
        }
        let slots = usize::from(slots % 8 + 1);
        let span = (END - START) as f64;
        let demand = |c: &Client| f64::from(c.takes_ms) / f64::from(c.every_ms) * span;
        let demands: Vec<_> = clients.iter().map(|c| (demand(c), f64::from(c.share))).collect();
        let parts = max_min(&demands, span * slots as f64);
        let used = serve(clients, slots);
        for (i, (part, used)) in parts.iter().zip(&used).enumerate() {
            // Whole requests at both ends of the time and in every slot.
            let grain = 80.0 * (slots + 2) as f64;
            if *used < part * 0.97 - grain {
                return TestResult::error(format!("client {i}: {used} ms of {part} ms"));
            }
        }
        TestResult::passed()
    }
    fuzz::check(6, 60, property as fn(Vec<Client>, u8) -> TestResult);
}
