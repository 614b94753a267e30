//! Extra load that retries and hedges put on backend servers in a brown-out.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use kernel::Uptime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use retry::{HedgePolicy, MAX_ATTEMPTS, RetryBudget, RetryRequest, SentState, admit_retry};

use crate::Options;
use crate::figure::{Bound, Figure};
use crate::workload::{next_arrival, service_time};

/// Requests per second of each organisation; a few are much larger than the others.
const RATES: [f64; 8] = [120.0, 80.0, 40.0, 20.0, 10.0, 5.0, 2.0, 1.0];
/// Number of backend servers of the service.
const BACKENDS: usize = 10;
/// Start of the brown-out; the time before it fills the retry budgets.
const BROWNOUT_START: Duration = Duration::from_secs(30);
/// End of the brown-out.
const BROWNOUT_END: Duration = Duration::from_secs(90);
/// Time from arrival to deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time until an attempt is shed or its connection breaks.
const FAILURE_TIME: Duration = Duration::from_millis(5);

/// Symptoms of a brown-out.
struct Case {
    name: &'static str,
    /// Fraction of the backend servers that are affected.
    fraction: f64,
    /// Fraction of their attempts whose connection breaks after the request was sent.
    broken_fraction: f64,
    /// Fraction of their attempts that are shed, thus not executed.
    shed_fraction: f64,
    /// Factor on their service time.
    slow_factor: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "half of all attempts break",
        fraction: 1.0,
        broken_fraction: 0.5,
        shed_fraction: 0.0,
        slow_factor: 1.0,
    },
    Case {
        name: "all attempts are shed",
        fraction: 1.0,
        broken_fraction: 0.0,
        shed_fraction: 1.0,
        slow_factor: 1.0,
    },
    Case {
        name: "all five times slower",
        fraction: 1.0,
        broken_fraction: 0.0,
        shed_fraction: 0.0,
        slow_factor: 5.0,
    },
    Case {
        name: "one of ten breaks all",
        fraction: 0.1,
        broken_fraction: 1.0,
        shed_fraction: 0.0,
        slow_factor: 1.0,
    },
    Case {
        name: "calm",
        fraction: 0.0,
        broken_fraction: 0.0,
        shed_fraction: 0.0,
        slow_factor: 1.0,
    },
];

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive { organisation: usize },
    AttemptEnd { request: usize, sent: Uptime, broken: Option<bool> },
    Hedge { request: usize },
}

struct Request {
    organisation: usize,
    at: Uptime,
    attempts: u32,
    /// Number of attempts in flight.
    in_flight: u32,
    /// Time of the first response.
    answered_at: Option<Uptime>,
    /// Backend server of the last attempt.
    last_backend: usize,
}

struct Run<'a> {
    case: &'a Case,
    /// Whether the retry budget limits retries and hedges.
    budgeted: bool,
    budget: RetryBudget,
    hedges: HedgePolicy,
    events: BinaryHeap<Reverse<(Uptime, u64, Event)>>,
    event_count: u64,
    requests: Vec<Request>,
    rng: SmallRng,
    /// First attempts in the brown-out.
    first_attempts: u32,
    /// Retries and hedges in the brown-out.
    extra_attempts: u32,
}

impl Run<'_> {
    fn schedule(&mut self, at: Uptime, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Sends one attempt to a backend server other than the last one.
    fn send_attempt(&mut self, now: Uptime, at: usize) {
        let request = &mut self.requests[at];
        let step = self.rng.random_range(1..BACKENDS);
        let backend = (request.last_backend + step) % BACKENDS;
        request.last_backend = backend;
        request.attempts += 1;
        request.in_flight += 1;
        let is_extra = request.attempts > 1;
        let in_brownout = (BROWNOUT_START..BROWNOUT_END).contains(&now);
        if in_brownout {
            *if is_extra { &mut self.extra_attempts } else { &mut self.first_attempts } += 1;
        }
        let affected = in_brownout && (backend as f64) < self.case.fraction * BACKENDS as f64;
        let attempt_time = service_time(&mut self.rng);
        let draw: f64 = self.rng.random();
        let (attempt_time, broken) = match affected {
            true if draw < self.case.broken_fraction => (FAILURE_TIME, Some(true)),
            true if draw < self.case.broken_fraction + self.case.shed_fraction => {
                (FAILURE_TIME, Some(false))
            }
            true => (attempt_time.mul_f64(self.case.slow_factor), None),
            false => (attempt_time, None),
        };
        self.schedule(now + attempt_time, Event::AttemptEnd { request: at, sent: now, broken });
        if !is_extra
            && let Some(due) = self.hedges.time_to_hedge(now, now, now + REQUEST_TIMEOUT, true)
        {
            self.schedule(now + due, Event::Hedge { request: at });
        }
    }

    fn arrive(&mut self, now: Uptime, organisation: usize) {
        let gap = next_arrival(&mut self.rng, RATES[organisation]);
        self.schedule(now + gap, Event::Arrive { organisation });
        let last_backend = self.rng.random_range(0..BACKENDS);
        let request = Request {
            organisation,
            at: now,
            attempts: 0,
            in_flight: 0,
            answered_at: None,
            last_backend,
        };
        self.requests.push(request);
        self.budget.record_first_attempt("s", &organisation.to_string());
        self.send_attempt(now, self.requests.len() - 1);
    }

    fn end(&mut self, now: Uptime, at: usize, sent: Uptime, broken: Option<bool>) {
        let request = &mut self.requests[at];
        request.in_flight -= 1;
        let Some(broken) = broken else {
            request.answered_at.get_or_insert(now);
            self.hedges.record(now - sent);
            return;
        };
        if request.answered_at.is_some() || request.in_flight > 0 {
            return;
        }
        let organisation = request.organisation.to_string();
        let retry_request = RetryRequest {
            service: "s",
            organisation: &organisation,
            idempotent: true,
            sent: if broken { SentState::MaybeSent } else { SentState::NotExecuted },
            attempts: request.attempts,
            deadline: request.at + REQUEST_TIMEOUT,
            expected: Duration::from_millis(20),
        };
        let retry = if self.budgeted {
            admit_retry(now, &retry_request, &mut self.budget).is_ok()
        } else {
            retry_request.attempts < MAX_ATTEMPTS
                && now + retry_request.expected < retry_request.deadline
        };
        if retry {
            self.send_attempt(now, at);
        }
    }

    fn hedge(&mut self, now: Uptime, at: usize) {
        let request = &self.requests[at];
        if request.answered_at.is_some()
            || request.in_flight == 0
            || request.attempts >= MAX_ATTEMPTS
        {
            return;
        }
        let organisation = request.organisation.to_string();
        if !self.budgeted || self.budget.take_hedge("s", &organisation) {
            self.send_attempt(now, at);
        }
    }

    fn run(&mut self) {
        for (organisation, rate) in RATES.into_iter().enumerate() {
            let at = next_arrival(&mut self.rng, rate);
            self.schedule(at, Event::Arrive { organisation });
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= BROWNOUT_END + REQUEST_TIMEOUT {
                break;
            }
            match event {
                Event::Arrive { organisation } => self.arrive(now, organisation),
                Event::AttemptEnd { request, sent, broken } => self.end(now, request, sent, broken),
                Event::Hedge { request } => self.hedge(now, request),
            }
        }
    }

    /// Returns the fraction of the requests of the brown-out that were answered in time.
    fn answered_fraction(&self) -> f64 {
        let counted =
            self.requests.iter().filter(|r| (BROWNOUT_START..BROWNOUT_END).contains(&r.at));
        let in_time = |r: &&Request| r.answered_at.is_some_and(|at| at <= r.at + REQUEST_TIMEOUT);
        counted.clone().filter(in_time).count() as f64 / counted.count().max(1) as f64
    }
}

/// Runs every case without and with the retry budget.
pub fn run(options: &Options) -> anyhow::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for case in CASES {
        let target = Some((Bound::AtMost, 0.05));
        let mut extra_attempts =
            Figure::new(format!("extra attempts, {}", case.name), "ratio", target);
        let mut answered_fraction = Figure::new(format!("in time, {}", case.name), "ratio", None);
        for seed in options.seed..options.seed + options.runs {
            for budgeted in [false, true] {
                let mut run = Run {
                    case,
                    budgeted,
                    budget: RetryBudget::default(),
                    hedges: HedgePolicy::default(),
                    events: BinaryHeap::new(),
                    event_count: 0,
                    requests: Vec::new(),
                    rng: SmallRng::seed_from_u64(seed),
                    first_attempts: 0,
                    extra_attempts: 0,
                };
                run.run();
                let load = f64::from(run.extra_attempts) / f64::from(run.first_attempts.max(1));
                let push = |f: &mut Figure, v| {
                    if budgeted { &mut f.chosen } else { &mut f.naive }.push(v);
                };
                push(&mut extra_attempts, load);
                push(&mut answered_fraction, run.answered_fraction());
            }
        }
        figures.extend([extra_attempts, answered_fraction]);
    }
    Ok(figures)
}
