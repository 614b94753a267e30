//! Bytes sent between regions when one region has lost most of its backend servers.

use std::collections::BinaryHeap;
use std::time::Duration;

use balancer::{Direction, LinkBudget};
use kernel::Uptime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Options;
use crate::figure::{Bound, Figure};

/// Budget of the link: 30 Mbit/s in each direction.
const RATE_BYTES_PER_S: f64 = 30e6 / 8.0;
/// Burst of the budget: half a second of the rate.
const BURST_BYTES: f64 = RATE_BYTES_PER_S / 2.0;
/// Size of a body chunk.
const CHUNK_BYTES: u64 = 16 * 1024;
/// Response bytes reserved on admission of a request; chunks of longer responses wait for budget.
const RESERVED_BYTES: u64 = 32 * 1024;
/// Duration of a run.
const RUN_DURATION: Duration = Duration::from_secs(120);
/// Requests per second between the regions; about twice what the budget admits.
const ARRIVALS_PER_S: f64 = 150.0;
/// Weights of the routes, each with its fraction of the requests.
const ROUTE_CLASSES: [(f64, f64); 3] = [(10.0, 0.2), (3.0, 0.3), (1.0, 0.5)];

/// Rest of a response and the time of its next chunk; a heap yields the earliest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Transfer {
    at: std::cmp::Reverse<Uptime>,
    remaining: u64,
}

/// Returns the largest excess of the bytes in any window over burst + rate * time.
fn worst_excess(sent: &[(Uptime, u64)]) -> f64 {
    // The excess of a window is the rise of sum - rate * time from its start to its end, minus the
    // burst, so the lowest value so far is the worst start.
    let (mut sum, mut lowest, mut worst) = (0.0, f64::MAX, 0.0_f64);
    for (at, bytes) in sent {
        let due = RATE_BYTES_PER_S * at.as_secs_f64();
        lowest = lowest.min(sum - due);
        sum += *bytes as f64;
        worst = worst.max(sum - due - lowest - BURST_BYTES);
    }
    // Smaller values are rounding errors of sums of a few hundred million bytes.
    if worst < 1.0 { 0.0 } else { worst }
}

struct Outcome {
    excess_bytes: f64,
    used_percent: f64,
    admitted_percent: [f64; 3],
}

fn run_once(limited: bool, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = LinkBudget::new(Duration::ZERO, RATE_BYTES_PER_S, BURST_BYTES);
    let (mut outbound, mut inbound) = (Vec::new(), Vec::new());
    let mut transfers: BinaryHeap<Transfer> = BinaryHeap::new();
    let mut counts = [(0_u32, 0_u32); 3];
    let mut arrival = Duration::ZERO;
    loop {
        let next = transfers.peek().map(|transfer| transfer.at.0);
        let now = next.map_or(arrival, |at| at.min(arrival));
        if now > RUN_DURATION {
            break;
        }
        if next.is_some_and(|at| at <= arrival) {
            let Some(transfer) = transfers.pop() else { break };
            let size = transfer.remaining.min(CHUNK_BYTES);
            let admission =
                if limited { budget.take_chunk(now, Direction::Inbound, size) } else { Ok(()) };
            let (at, remaining) = match admission {
                Ok(()) => {
                    inbound.push((now, size));
                    (now + Duration::from_millis(1), transfer.remaining - size)
                }
                Err(wait) => (now + wait, transfer.remaining),
            };
            if remaining > 0 {
                transfers.push(Transfer { at: std::cmp::Reverse(at), remaining });
            }
            continue;
        }
        let draw: f64 = rng.random();
        let class = if draw < ROUTE_CLASSES[0].1 {
            0
        } else if draw < ROUTE_CLASSES[0].1 + ROUTE_CLASSES[1].1 {
            1
        } else {
            2
        };
        let request = rng.random_range(500..4_000);
        // One response in ten is an audio file.
        let answer: u64 = if rng.random_bool(0.1) {
            rng.random_range(100_000..600_000)
        } else {
            rng.random_range(1_000..RESERVED_BYTES)
        };
        counts[class].0 += 1;
        if !limited || budget.admit(now, request, RESERVED_BYTES, ROUTE_CLASSES[class].0) {
            counts[class].1 += 1;
            outbound.push((now, request));
            let reserved_used = answer.min(RESERVED_BYTES);
            inbound.push((now, reserved_used));
            if limited {
                budget.refund(now, Direction::Inbound, RESERVED_BYTES - reserved_used);
            }
            let at = std::cmp::Reverse(now + Duration::from_millis(60));
            if answer > reserved_used {
                transfers.push(Transfer { at, remaining: answer - reserved_used });
            }
        }
        arrival += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / ARRIVALS_PER_S);
    }
    let total: f64 = inbound.iter().map(|(_, bytes)| *bytes as f64).sum();
    Outcome {
        excess_bytes: worst_excess(&outbound).max(worst_excess(&inbound)),
        used_percent: 100.0 * total / (RATE_BYTES_PER_S * RUN_DURATION.as_secs_f64()),
        admitted_percent: counts
            .map(|(offered, admitted)| 100.0 * f64::from(admitted) / f64::from(offered.max(1))),
    }
}

/// Runs the simulation without and with the link budget.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let none_allowed = Some((Bound::AtMost, 0.0));
    let mut set = [
        Figure::new("bytes between regions above budget, worst window", "bytes", none_allowed),
        Figure::new("bytes towards the home, part of the budget", "%", None),
        Figure::new("requests let through, weight 10", "%", None),
        Figure::new("requests let through, weight 3", "%", None),
        Figure::new("requests let through, weight 1", "%", None),
    ];
    for seed in options.seed..options.seed + options.runs {
        for limited in [false, true] {
            let outcome = run_once(limited, seed);
            let [high, middle, low] = outcome.admitted_percent;
            let samples = [outcome.excess_bytes, outcome.used_percent, high, middle, low];
            for (figure, sample) in set.iter_mut().zip(samples) {
                if limited { figure.chosen.push(sample) } else { figure.naive.push(sample) }
            }
        }
    }
    Ok(set.into())
}
