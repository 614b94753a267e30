//! Slot time of the worst-served organisation over its max-min share, at the home of a service.

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
use crate::service_fake::{max_min, mean_s, next_arrival, service_time};

/// Organisations; the first one sends ten times its rate.
const ORGANISATIONS: usize = 8;
/// Start of the counted time, after the queue has measured the service.
const WARM: Duration = Duration::from_secs(5);
/// End of the counted time.
const END: Duration = Duration::from_secs(65);

/// Time in which most slots are away in some cases.
const DIP: Range<Duration> = Duration::from_secs(20)..Duration::from_secs(30);

/// What a run varies.
struct Case {
    name: &'static str,
    /// Slots of the service at its home.
    slots: u32,
    /// Rate of an ordinary organisation over its equal part of the capacity.
    load: f64,
    /// Time that callers allow.
    allowed: Duration,
    /// Service time of the first organisation's requests over that of the others.
    slowness: f64,
    /// Whether only a quarter of the slots is there during `DIP`; then only what comes after it
    /// counts.
    dip: bool,
    target: Option<(Bound, f64)>,
}

impl Case {
    fn slots_at(&self, now: Uptime) -> u32 {
        if self.dip && DIP.contains(&now) { self.slots / 4 } else { self.slots }
    }

    /// Start of the counted time.
    fn start(&self) -> Uptime {
        if self.dip { DIP.end + self.allowed } else { WARM }
    }
}

const TARGET: Option<(Bound, f64)> = Some((Bound::AtLeast, 0.95));

const CASES: &[Case] = &[
    Case {
        name: "20 slots, 1 s",
        slots: 20,
        load: 0.9,
        allowed: Duration::from_secs(1),
        slowness: 1.0,
        dip: false,
        target: TARGET,
    },
    Case {
        name: "40 slots, 1 s",
        slots: 40,
        load: 0.9,
        allowed: Duration::from_secs(1),
        slowness: 1.0,
        dip: false,
        target: TARGET,
    },
    Case {
        name: "40 slots, 1 s, half load",
        slots: 40,
        load: 0.5,
        allowed: Duration::from_secs(1),
        slowness: 1.0,
        dip: false,
        target: TARGET,
    },
    Case {
        name: "20 slots, 1 s, flood four times slower",
        slots: 20,
        load: 0.9,
        allowed: Duration::from_secs(1),
        slowness: 4.0,
        dip: false,
        target: None,
    },
    Case {
        name: "20 slots, 1 s, after a dip",
        slots: 20,
        load: 0.9,
        allowed: Duration::from_secs(1),
        slowness: 1.0,
        dip: true,
        target: TARGET,
    },
    Case {
        name: "20 slots, 3 s",
        slots: 20,
        load: 0.9,
        allowed: Duration::from_secs(3),
        slowness: 1.0,
        dip: false,
        target: TARGET,
    },
    Case {
        name: "20 slots, 200 ms",
        slots: 20,
        load: 0.9,
        allowed: Duration::from_millis(200),
        slowness: 1.0,
        dip: false,
        target: None,
    },
    Case {
        name: "20 slots, 400 ms",
        slots: 20,
        load: 0.9,
        allowed: Duration::from_millis(400),
        slowness: 1.0,
        dip: false,
        target: None,
    },
];

struct Request {
    organisation: usize,
    at: Uptime,
    takes: Duration,
}

/// Arrivals of all organisations, in order; the same for both queues.
fn arrivals(case: &Case, seed: u64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let part = f64::from(case.slots) / ORGANISATIONS as f64 / mean_s();
    let mut requests = Vec::new();
    for organisation in 0..ORGANISATIONS {
        let first = organisation == 0;
        let rate = part * case.load * if first { 10.0 } else { 1.0 };
        let mut at = next_arrival(&mut rng, rate);
        while at < END {
            let slowness = if first { case.slowness } else { 1.0 };
            let takes = service_time(&mut rng).mul_f64(slowness);
            requests.push(Request { organisation, at, takes });
            at += next_arrival(&mut rng, rate);
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}

/// Service to one organisation, in seconds of slot time.
#[derive(Clone, Copy, Default)]
struct Service {
    /// Asked for.
    demand: f64,
    /// Answered in time.
    served: f64,
    /// Spent on answers that were late.
    wasted: f64,
}

struct Home<'a> {
    case: &'a Case,
    queue: Box<dyn Queue>,
    requests: &'a [Request],
    /// Ends of running requests.
    running: BinaryHeap<Reverse<(Uptime, usize)>>,
    services: [Service; ORGANISATIONS],
}

impl Home<'_> {
    fn fill(&mut self, now: Uptime) {
        self.queue.expire(now);
        while self.running.len() < self.case.slots_at(now) as usize
            && let Some(id) = self.queue.pop(now)
        {
            let at = id as usize;
            self.running.push(Reverse((now + self.requests[at].takes, at)));
        }
    }

    /// Ends the requests that are done by `now`.
    fn finish(&mut self, now: Uptime) {
        while let Some(Reverse((end, at))) = self.running.peek().copied() {
            if end > now {
                break;
            }
            self.running.pop();
            let r = &self.requests[at];
            self.queue.record_usage(end, &r.organisation.to_string(), r.takes);
            if r.at >= self.case.start() {
                let in_time = end <= r.at + self.case.allowed;
                let service = &mut self.services[r.organisation];
                let used = if in_time { &mut service.served } else { &mut service.wasted };
                *used += r.takes.as_secs_f64();
            }
            self.fill(end);
        }
    }

    fn run(&mut self) {
        for (at, r) in self.requests.iter().enumerate() {
            self.finish(r.at);
            if r.at >= self.case.start() {
                self.services[r.organisation].demand += r.takes.as_secs_f64();
            }
            let ticket = Ticket {
                id: at as u64,
                organisation: r.organisation.to_string().into(),
                organisation_weight: 1.0,
                route_weight: 1.0,
                deadline: r.at + self.case.allowed,
            };
            // A refusal is counted by what is not served.
            let _ = self.queue.push(r.at, ticket, self.case.slots_at(r.at));
            self.fill(r.at);
        }
        self.finish(END + self.case.allowed);
    }
}

/// Served slot time over the max-min share for each organisation, and the part of the capacity
/// spent on late answers.
fn serve(case: &Case, plugin: &str, requests: &[Request]) -> anyhow::Result<(Vec<f64>, f64)> {
    let place = Place { region: "r".into(), domain: "d".into() };
    let context = ServiceContext { service: "s".into(), place, vms: 1, min_healthy: 0.5 };
    let queue = build_queue(plugin, &context)?;
    let running = BinaryHeap::new();
    let mut home = Home { case, queue, requests, running, services: Default::default() };
    home.run();
    let capacity = f64::from(case.slots) * (END - case.start()).as_secs_f64();
    let demands: Vec<_> = home.services.iter().map(|s| (s.demand, 1.0)).collect();
    let parts = max_min(&demands, capacity);
    let served = home.services.iter().zip(&parts).map(|(s, part)| s.served / part).collect();
    let wasted = home.services.iter().map(|s| s.wasted).sum::<f64>() / capacity;
    Ok((served, wasted))
}

/// Runs every case with the fair and the naive queue on the same arrivals.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for case in CASES {
        let name = |what: &str| format!("{what}, {}", case.name);
        let mut worst = Figure::new(name("worst-served over share"), "ratio", case.target);
        let mut calm = Figure::new(name("worst ordinary one over share"), "ratio", case.target);
        let mut flood = Figure::new(name("flood over its share"), "ratio", None);
        let mut waste = Figure::new(name("slot time on late answers"), "ratio", None);
        for seed in options.seed..options.seed + options.runs {
            let requests = arrivals(case, seed);
            for plugin in ["naive", "fair"] {
                let (served, wasted) = serve(case, plugin, &requests)?;
                let least = |s: &[f64]| s.iter().copied().fold(f64::INFINITY, f64::min);
                let (all, ordinary) = (least(&served), least(&served[1..]));
                for (figure, value) in [
                    (&mut worst, all),
                    (&mut calm, ordinary),
                    (&mut flood, served[0]),
                    (&mut waste, wasted),
                ] {
                    let naive = plugin == "naive";
                    if naive { &mut figure.naive } else { &mut figure.chosen }.push(value);
                }
            }
        }
        figures.extend([worst, calm, flood, waste]);
    }
    Ok(figures)
}
