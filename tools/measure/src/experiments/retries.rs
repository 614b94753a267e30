//! Extra load on backend servers by retries and hedges in a brown-out.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use kernel::Uptime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use retry::{HedgePolicy, MAX_ATTEMPTS, RetryBudget, RetryRequest, SentState, admit_retry};

use crate::Options;
use crate::figure::{Bound, Figure};
use crate::service_fake::{next_arrival, service_time};

/// Requests per second of each organisation: a few large ones.
const RATES: [f64; 8] = [120.0, 80.0, 40.0, 20.0, 10.0, 5.0, 2.0, 1.0];
/// Backend servers of the service.
const BACKENDS: usize = 10;
/// Brown-out, after a calm time that fills the budgets.
const START: Duration = Duration::from_secs(30);
const END: Duration = Duration::from_secs(90);
/// Time that callers allow.
const ALLOWED: Duration = Duration::from_secs(1);
/// Time of a refusal or of a broken connection.
const FAST: Duration = Duration::from_millis(5);

/// How a brown-out shows.
struct Case {
    name: &'static str,
    /// Part of the backend servers that have it.
    part: f64,
    /// Part of their attempts that break after the request was sent.
    broken: f64,
    /// Part of their attempts that are refused without being run.
    shed: f64,
    /// Their service time over the usual one.
    slowness: f64,
}

const CASES: &[Case] = &[
    Case { name: "half of all attempts break", part: 1.0, broken: 0.5, shed: 0.0, slowness: 1.0 },
    Case { name: "all attempts are shed", part: 1.0, broken: 0.0, shed: 1.0, slowness: 1.0 },
    Case { name: "all five times slower", part: 1.0, broken: 0.0, shed: 0.0, slowness: 5.0 },
    Case { name: "one of ten breaks all", part: 0.1, broken: 1.0, shed: 0.0, slowness: 1.0 },
    Case { name: "calm", part: 0.0, broken: 0.0, shed: 0.0, slowness: 1.0 },
];

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { organisation: usize },
    End { request: usize, sent: Uptime, broken: Option<bool> },
    Hedge { request: usize },
}

struct Request {
    organisation: usize,
    at: Uptime,
    tried: u32,
    /// Attempts under way.
    open: u32,
    /// When the answer came.
    done: Option<Uptime>,
    /// Backend server of the last attempt.
    last: usize,
}

struct Run<'a> {
    case: &'a Case,
    /// Whether retries and hedges are within the budget.
    bounded: bool,
    budget: RetryBudget,
    hedges: HedgePolicy,
    events: BinaryHeap<Reverse<(Uptime, u64, Event)>>,
    numbers: u64,
    requests: Vec<Request>,
    rng: SmallRng,
    /// First and further attempts in the brown-out.
    first: u32,
    extra: u32,
}

impl Run<'_> {
    fn schedule(&mut self, at: Uptime, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse((at, self.numbers, event)));
    }

    /// Sends one attempt to a backend server other than the last one.
    fn attempt(&mut self, now: Uptime, at: usize) {
        let request = &mut self.requests[at];
        let step = self.rng.random_range(1..BACKENDS);
        let backend = (request.last + step) % BACKENDS;
        request.last = backend;
        request.tried += 1;
        request.open += 1;
        let further = request.tried > 1;
        let brown = (START..END).contains(&now);
        if brown {
            *if further { &mut self.extra } else { &mut self.first } += 1;
        }
        let ill = brown && (backend as f64) < self.case.part * BACKENDS as f64;
        let takes = service_time(&mut self.rng);
        let dice: f64 = self.rng.random();
        let (takes, broken) = match ill {
            true if dice < self.case.broken => (FAST, Some(true)),
            true if dice < self.case.broken + self.case.shed => (FAST, Some(false)),
            true => (takes.mul_f64(self.case.slowness), None),
            false => (takes, None),
        };
        self.schedule(now + takes, Event::End { request: at, sent: now, broken });
        if !further && let Some(due) = self.hedges.time_to_hedge(now, now, now + ALLOWED, true) {
            self.schedule(now + due, Event::Hedge { request: at });
        }
    }

    fn arrive(&mut self, now: Uptime, organisation: usize) {
        let gap = next_arrival(&mut self.rng, RATES[organisation]);
        self.schedule(now + gap, Event::Arrive { organisation });
        let last = self.rng.random_range(0..BACKENDS);
        let request = Request { organisation, at: now, tried: 0, open: 0, done: None, last };
        self.requests.push(request);
        self.budget.record_first_attempt("s", &organisation.to_string());
        self.attempt(now, self.requests.len() - 1);
    }

    fn end(&mut self, now: Uptime, at: usize, sent: Uptime, broken: Option<bool>) {
        let request = &mut self.requests[at];
        request.open -= 1;
        let Some(broken) = broken else {
            request.done.get_or_insert(now);
            self.hedges.record(now - sent);
            return;
        };
        if request.done.is_some() || request.open > 0 {
            return;
        }
        let organisation = request.organisation.to_string();
        let ask = RetryRequest {
            service: "s",
            organisation: &organisation,
            idempotent: true,
            sent: if broken { SentState::MaybeSent } else { SentState::NotExecuted },
            attempts: request.tried,
            deadline: request.at + ALLOWED,
            expected: Duration::from_millis(20),
        };
        let retry = if self.bounded {
            admit_retry(now, &ask, &mut self.budget).is_ok()
        } else {
            ask.attempts < MAX_ATTEMPTS && now + ask.expected < ask.deadline
        };
        if retry {
            self.attempt(now, at);
        }
    }

    fn hedge(&mut self, now: Uptime, at: usize) {
        let request = &self.requests[at];
        if request.done.is_some() || request.open == 0 || request.tried >= MAX_ATTEMPTS {
            return;
        }
        let organisation = request.organisation.to_string();
        if !self.bounded || self.budget.take_hedge("s", &organisation) {
            self.attempt(now, at);
        }
    }

    fn run(&mut self) {
        for (organisation, rate) in RATES.into_iter().enumerate() {
            let at = next_arrival(&mut self.rng, rate);
            self.schedule(at, Event::Arrive { organisation });
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= END + ALLOWED {
                break;
            }
            match event {
                Event::Arrive { organisation } => self.arrive(now, organisation),
                Event::End { request, sent, broken } => self.end(now, request, sent, broken),
                Event::Hedge { request } => self.hedge(now, request),
            }
        }
    }

    /// Part of the requests of the brown-out that were answered in time.
    fn answered(&self) -> f64 {
        let brown = self.requests.iter().filter(|r| (START..END).contains(&r.at));
        let in_time = |r: &&Request| r.done.is_some_and(|at| at <= r.at + ALLOWED);
        brown.clone().filter(in_time).count() as f64 / brown.count().max(1) as f64
    }
}

/// Runs every case with retries at will and within the budget.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for case in CASES {
        let target = Some((Bound::AtMost, 0.05));
        let mut extra = Figure::new(format!("extra attempts, {}", case.name), "ratio", target);
        let mut answered = Figure::new(format!("in time, {}", case.name), "ratio", None);
        for seed in options.seed..options.seed + options.runs {
            for bounded in [false, true] {
                let mut run = Run {
                    case,
                    bounded,
                    budget: RetryBudget::default(),
                    hedges: HedgePolicy::default(),
                    events: BinaryHeap::new(),
                    numbers: 0,
                    requests: Vec::new(),
                    rng: SmallRng::seed_from_u64(seed),
                    first: 0,
                    extra: 0,
                };
                run.run();
                let load = f64::from(run.extra) / f64::from(run.first.max(1));
                let push = |f: &mut Figure, v| {
                    if bounded { &mut f.chosen } else { &mut f.naive }.push(v);
                };
                push(&mut extra, load);
                push(&mut answered, run.answered());
            }
        }
        figures.extend([extra, answered]);
    }
    Ok(figures)
}
