//! Ratio of slot time to max-min share of the worst-served organisation, at the home of a service.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::Duration;

use kernel::{Place, Queue, ServiceContext, Ticket, Uptime, build_queue};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use queue as _;

use crate::Options;
use crate::figure::{Bound, Figure};
use crate::workload::{max_min_shares, mean_s, next_arrival, service_time};

/// Number of organisations; the first one sends ten times the rate of an ordinary one.
const ORGANISATIONS: usize = 8;
/// Start of the counted time; by then the queue has an estimate of the service time.
const COUNT_START: Duration = Duration::from_secs(5);
/// End of the counted time.
const COUNT_END: Duration = Duration::from_secs(65);

/// Period in which most slots are unavailable, in cases with a dip.
const DIP_PERIOD: Range<Duration> = Duration::from_secs(20)..Duration::from_secs(30);

/// Parameters of a run.
struct Case {
    name: &'static str,
    /// Slots of the service at its home.
    slots: u32,
    /// Rate of an ordinary organisation, relative to an equal share of the capacity.
    load: f64,
    /// Time from arrival to deadline.
    timeout: Duration,
    /// Service time of the first organisation's requests, relative to the others.
    slow_factor: f64,
    /// Whether only a quarter of the slots is available during `DIP_PERIOD`; then only requests
    /// after it count.
    has_dip: bool,
    target: Option<(Bound, f64)>,
}

impl Case {
    fn slots_at(&self, now: Uptime) -> u32 {
        if self.has_dip && DIP_PERIOD.contains(&now) { self.slots / 4 } else { self.slots }
    }

    /// Returns the start of the counted time.
    fn counted_from(&self) -> Uptime {
        if self.has_dip { DIP_PERIOD.end + self.timeout } else { COUNT_START }
    }
}

const TARGET: Option<(Bound, f64)> = Some((Bound::AtLeast, 0.95));

const CASES: &[Case] = &[
    Case {
        name: "20 slots, 1 s",
        slots: 20,
        load: 0.9,
        timeout: Duration::from_secs(1),
        slow_factor: 1.0,
        has_dip: false,
        target: TARGET,
    },
    Case {
        name: "40 slots, 1 s",
        slots: 40,
        load: 0.9,
        timeout: Duration::from_secs(1),
        slow_factor: 1.0,
        has_dip: false,
        target: TARGET,
    },
    Case {
        name: "40 slots, 1 s, half load",
        slots: 40,
        load: 0.5,
        timeout: Duration::from_secs(1),
        slow_factor: 1.0,
        has_dip: false,
        target: TARGET,
    },
    Case {
        name: "20 slots, 1 s, flood four times slower",
        slots: 20,
        load: 0.9,
        timeout: Duration::from_secs(1),
        slow_factor: 4.0,
        has_dip: false,
        target: None,
    },
    Case {
        name: "20 slots, 1 s, after a dip",
        slots: 20,
        load: 0.9,
        timeout: Duration::from_secs(1),
        slow_factor: 1.0,
        has_dip: true,
        target: TARGET,
    },
    Case {
        name: "20 slots, 3 s",
        slots: 20,
        load: 0.9,
        timeout: Duration::from_secs(3),
        slow_factor: 1.0,
        has_dip: false,
        target: TARGET,
    },
    Case {
        name: "20 slots, 200 ms",
        slots: 20,
        load: 0.9,
        timeout: Duration::from_millis(200),
        slow_factor: 1.0,
        has_dip: false,
        target: None,
    },
    Case {
        name: "20 slots, 400 ms",
        slots: 20,
        load: 0.9,
        timeout: Duration::from_millis(400),
        slow_factor: 1.0,
        has_dip: false,
        target: None,
    },
];

struct Request {
    organisation: usize,
    at: Uptime,
    slot_time: Duration,
}

/// Returns the requests of all organisations by arrival time; both queues get the same requests.
fn arrivals(case: &Case, seed: u64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let share = f64::from(case.slots) / ORGANISATIONS as f64 / mean_s();
    let mut requests = Vec::new();
    for organisation in 0..ORGANISATIONS {
        let is_flood = organisation == 0;
        let rate = share * case.load * if is_flood { 10.0 } else { 1.0 };
        let mut at = next_arrival(&mut rng, rate);
        while at < COUNT_END {
            let slow_factor = if is_flood { case.slow_factor } else { 1.0 };
            let slot_time = service_time(&mut rng).mul_f64(slow_factor);
            requests.push(Request { organisation, at, slot_time });
            at += next_arrival(&mut rng, rate);
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}

/// Slot time of one organisation, in seconds.
#[derive(Clone, Copy, Default)]
struct SlotTime {
    /// Slot time of all its requests.
    demand: f64,
    /// Slot time of requests answered in time.
    served: f64,
    /// Slot time of requests answered after their deadline.
    wasted: f64,
}

struct FakeHome<'a> {
    case: &'a Case,
    queue: Box<dyn Queue>,
    requests: &'a [Request],
    /// Running requests: end and index of each, earliest first.
    running: BinaryHeap<Reverse<(Uptime, usize)>>,
    slot_times: [SlotTime; ORGANISATIONS],
}

impl FakeHome<'_> {
    fn start_queued(&mut self, now: Uptime) {
        self.queue.expire(now);
        while self.running.len() < self.case.slots_at(now) as usize
            && let Some(id) = self.queue.pop(now)
        {
            let at = id as usize;
            self.running.push(Reverse((now + self.requests[at].slot_time, at)));
        }
    }

    /// Ends the requests that complete by `now`.
    fn finish_until(&mut self, now: Uptime) {
        while let Some(Reverse((end, at))) = self.running.peek().copied() {
            if end > now {
                break;
            }
            self.running.pop();
            let r = &self.requests[at];
            self.queue.record_usage(end, &r.organisation.to_string(), r.slot_time);
            if r.at >= self.case.counted_from() {
                let in_time = end <= r.at + self.case.timeout;
                let times = &mut self.slot_times[r.organisation];
                let used = if in_time { &mut times.served } else { &mut times.wasted };
                *used += r.slot_time.as_secs_f64();
            }
            self.start_queued(end);
        }
    }

    fn run(&mut self) {
        for (at, r) in self.requests.iter().enumerate() {
            self.finish_until(r.at);
            if r.at >= self.case.counted_from() {
                self.slot_times[r.organisation].demand += r.slot_time.as_secs_f64();
            }
            let ticket = Ticket {
                id: at as u64,
                organisation: r.organisation.to_string().into(),
                organisation_weight: 1.0,
                route_weight: 1.0,
                deadline: r.at + self.case.timeout,
            };
            // A refused request needs no record: it counts as demand that was not served.
            let _ = self.queue.push(r.at, ticket, self.case.slots_at(r.at));
            self.start_queued(r.at);
        }
        self.finish_until(COUNT_END + self.case.timeout);
    }
}

/// Returns the ratio of served slot time to max-min share for each organisation, and the fraction of
/// the capacity spent on late answers.
fn run_case(case: &Case, plugin: &str, requests: &[Request]) -> anyhow::Result<(Vec<f64>, f64)> {
    let place = Place { region: "r".into(), domain: "d".into() };
    let context = ServiceContext { service: "s".into(), place, vms: 1, min_healthy: 0.5 };
    let queue = build_queue(plugin, &context)?;
    let running = BinaryHeap::new();
    let mut home = FakeHome { case, queue, requests, running, slot_times: Default::default() };
    home.run();
    let capacity = f64::from(case.slots) * (COUNT_END - case.counted_from()).as_secs_f64();
    let demands: Vec<_> = home.slot_times.iter().map(|s| (s.demand, 1.0)).collect();
    let shares = max_min_shares(&demands, capacity);
    let served = home.slot_times.iter().zip(&shares).map(|(s, share)| s.served / share).collect();
    let wasted = home.slot_times.iter().map(|s| s.wasted).sum::<f64>() / capacity;
    Ok((served, wasted))
}

/// Runs every case with the fair and the naive queue on the same arrivals.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for case in CASES {
        let name = |what: &str| format!("{what}, {}", case.name);
        let mut worst = Figure::new(name("worst-served over share"), "ratio", case.target);
        let mut worst_ordinary =
            Figure::new(name("worst ordinary one over share"), "ratio", case.target);
        let mut flood = Figure::new(name("flood over its share"), "ratio", None);
        let mut waste = Figure::new(name("slot time on late answers"), "ratio", None);
        for seed in options.seed..options.seed + options.runs {
            let requests = arrivals(case, seed);
            for plugin in ["naive", "fair"] {
                let (served, wasted) = run_case(case, plugin, &requests)?;
                let lowest = |s: &[f64]| s.iter().copied().fold(f64::INFINITY, f64::min);
                let (all, ordinary) = (lowest(&served), lowest(&served[1..]));
                for (figure, value) in [
                    (&mut worst, all),
                    (&mut worst_ordinary, ordinary),
                    (&mut flood, served[0]),
                    (&mut waste, wasted),
                ] {
                    let naive = plugin == "naive";
                    if naive { &mut figure.naive } else { &mut figure.chosen }.push(value);
                }
            }
        }
        figures.extend([worst, worst_ordinary, flood, waste]);
    }
    Ok(figures)
}
