use std::collections::VecDeque;
use std::time::Duration;

use kernel::AttemptId;
use rand::Rng;
use rand::rngs::SmallRng;

/// Median of the service times, in seconds.
const MEDIAN_S: f64 = 0.05;
/// Standard deviation of the logarithm of the service time; puts the 99th percentile at 250 ms.
const LN_SIGMA: f64 = 0.6918;
/// Number of requests after a cold start that take longer, each less than the one before.
const COLD_START_REQUESTS: u32 = 30;
/// Factor on the service time of the first of them.
const MAX_COLD_FACTOR: f64 = 4.0;
/// Queue length at which the fake sheds load.
const MAX_QUEUED: usize = 40;

/// Fake backend server with slots and a queue.
#[derive(Clone, Debug, Default)]
pub struct FakeBackend {
    /// Number of slots; at least 1.
    pub slots: usize,
    /// Attempts that occupy a slot.
    pub running: Vec<AttemptId>,
    /// Queued attempts.
    pub waiting: VecDeque<AttemptId>,
    /// Requests served since the last cold start.
    pub served: u32,
}

impl FakeBackend {
    /// Creates a backend server that is past its cold start.
    pub fn new(slots: usize) -> Self {
        FakeBackend { slots, served: COLD_START_REQUESTS, ..FakeBackend::default() }
    }

    /// Accepts an attempt and returns whether it runs at once (else it is queued), or sheds it and
    /// returns `None`.
    pub fn accept(&mut self, attempt: AttemptId) -> Option<bool> {
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return Some(true);
        }
        if self.waiting.len() >= MAX_QUEUED {
            return None;
        }
        self.waiting.push_back(attempt);
        Some(false)
    }

    /// Removes a running or queued attempt. Returns the queued attempt that takes its slot.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<AttemptId> {
        self.waiting.retain(|other| *other != attempt);
        let before = self.running.len();
        self.running.retain(|other| *other != attempt);
        if self.running.len() == before {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Draws a log-normal service time, longer after a cold start.
    pub fn draw_service_time(&mut self, rng: &mut SmallRng) -> Duration {
        let (u, v): (f64, f64) = (rng.random::<f64>().max(1e-12), rng.random());
        let normal = (-2.0 * u.ln()).sqrt() * (2.0 * std::f64::consts::PI * v).cos();
        let cold_remaining = f64::from(COLD_START_REQUESTS - self.served.min(COLD_START_REQUESTS));
        let factor =
            1.0 + (MAX_COLD_FACTOR - 1.0) * cold_remaining / f64::from(COLD_START_REQUESTS);
        self.served = self.served.saturating_add(1);
        Duration::from_secs_f64(MEDIAN_S * (LN_SIGMA * normal).exp() * factor)
    }
}
