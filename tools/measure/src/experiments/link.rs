//! Bytes between regions when one region has lost most of its backend servers.

use std::collections::BinaryHeap;
use std::time::Duration;

use balancer::{Direction, LinkBudget};
use kernel::Uptime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Options;
use crate::figure::{Bound, Figure};

/// 30 Mbit/s each way.
const RATE: f64 = 30e6 / 8.0;
/// Half a second of the rate.
const BURST: f64 = RATE / 2.0;
/// Chunk of a body.
const CHUNK: u64 = 16 * 1024;
/// Answer that is reserved for a new request; longer ones wait for their chunks.
const RESERVED: u64 = 32 * 1024;
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(120);
/// Requests per second that want to cross: about twice the budget.
const ARRIVALS: f64 = 150.0;
/// Weights of the routes with their part of the requests.
const WEIGHTS: [(f64, f64); 3] = [(10.0, 0.2), (3.0, 0.3), (1.0, 0.5)];

/// One transfer; the heap gives the earliest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Chunk {
    at: std::cmp::Reverse<Uptime>,
    left: u64,
}

/// Largest excess of the bytes in any window over burst + rate x time.
fn worst_excess(sent: &[(Uptime, u64)]) -> f64 {
    // The excess of a window is a rise of sum - rate x time; the lowest start is kept.
    let (mut sum, mut lowest, mut worst) = (0.0, f64::MAX, 0.0_f64);
    for (at, bytes) in sent {
        let due = RATE * at.as_secs_f64();
        lowest = lowest.min(sum - due);
        sum += *bytes as f64;
        worst = worst.max(sum - due - lowest - BURST);
    }
    // Rounding of sums of a few hundred million bytes.
    if worst < 1.0 { 0.0 } else { worst }
}

struct Outcome {
    excess: f64,
    used: f64,
    admitted: [f64; 3],
}

fn run_once(limited: bool, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = LinkBudget::new(Duration::ZERO, RATE, BURST);
    let (mut out, mut back) = (Vec::new(), Vec::new());
    let mut chunks: BinaryHeap<Chunk> = BinaryHeap::new();
    let mut counts = [(0_u32, 0_u32); 3];
    let mut arrival = Duration::ZERO;
    loop {
        let next = chunks.peek().map(|chunk| chunk.at.0);
        let now = next.map_or(arrival, |at| at.min(arrival));
        if now > LENGTH {
            break;
        }
        if next.is_some_and(|at| at <= arrival) {
            let Some(chunk) = chunks.pop() else { break };
            let size = chunk.left.min(CHUNK);
            let taken =
                if limited { budget.take_chunk(now, Direction::Inbound, size) } else { Ok(()) };
            let (at, left) = match taken {
                Ok(()) => {
                    back.push((now, size));
                    (now + Duration::from_millis(1), chunk.left - size)
                }
                Err(wait) => (now + wait, chunk.left),
            };
            if left > 0 {
                chunks.push(Chunk { at: std::cmp::Reverse(at), left });
            }
            continue;
        }
        let draw: f64 = rng.random();
        let class = if draw < WEIGHTS[0].1 {
            0
        } else if draw < WEIGHTS[0].1 + WEIGHTS[1].1 {
            1
        } else {
            2
        };
        let request = rng.random_range(500..4_000);
        // One answer in ten is an audio file.
        let answer: u64 = if rng.random_bool(0.1) {
            rng.random_range(100_000..600_000)
        } else {
            rng.random_range(1_000..RESERVED)
        };
        counts[class].0 += 1;
        if !limited || budget.admit(now, request, RESERVED, WEIGHTS[class].0) {
            counts[class].1 += 1;
            out.push((now, request));
            let head = answer.min(RESERVED);
            back.push((now, head));
            if limited {
                budget.refund(now, Direction::Inbound, RESERVED - head);
            }
            let at = std::cmp::Reverse(now + Duration::from_millis(60));
            if answer > head {
                chunks.push(Chunk { at, left: answer - head });
            }
        }
        arrival += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / ARRIVALS);
    }
    let total: f64 = back.iter().map(|(_, bytes)| *bytes as f64).sum();
    Outcome {
        excess: worst_excess(&out).max(worst_excess(&back)),
        used: 100.0 * total / (RATE * LENGTH.as_secs_f64()),
        admitted: counts.map(|(asked, passed)| 100.0 * f64::from(passed) / f64::from(asked.max(1))),
    }
}

/// Runs the experiment.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let zero = Some((Bound::AtMost, 0.0));
    let mut set = [
        Figure::new("bytes between regions above budget, worst window", "bytes", zero),
        Figure::new("bytes towards the home, part of the budget", "%", None),
        Figure::new("requests let through, weight 10", "%", None),
        Figure::new("requests let through, weight 3", "%", None),
        Figure::new("requests let through, weight 1", "%", None),
    ];
    for seed in options.seed..options.seed + options.runs {
        for limited in [false, true] {
            let outcome = run_once(limited, seed);
            let [high, middle, low] = outcome.admitted;
            let samples = [outcome.excess, outcome.used, high, middle, low];
            for (figure, sample) in set.iter_mut().zip(samples) {
                if limited { figure.chosen.push(sample) } else { figure.naive.push(sample) }
            }
        }
    }
    Ok(set.into())
}
