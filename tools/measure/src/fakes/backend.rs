use std::collections::VecDeque;
use std::time::Duration;

use kernel::AttemptId;
use rand::Rng;
use rand::rngs::SmallRng;

/// Median of the service times in seconds.
const MEDIAN_S: f64 = 0.05;
/// Deviation of their logarithms; puts the 99th percentile at 250 ms.
const SPREAD: f64 = 0.6918;
/// Requests after a cold start that are slower.
const COLD_REQUESTS: u32 = 30;
/// How much slower the first of them is.
const COLD_FACTOR: f64 = 4.0;
/// Requests that wait before the fake sheds load.
const QUEUE: usize = 40;

/// A backend server with a number of slots and a queue.
#[derive(Clone, Debug, Default)]
pub struct FakeBackend {
    /// Slots. At least 1.
    pub slots: usize,
    /// Attempts that run.
    pub running: Vec<AttemptId>,
    /// Attempts that wait.
    pub waiting: VecDeque<AttemptId>,
    /// Requests served since it was cold.
    pub served: u32,
}

impl FakeBackend {
    /// A warm backend server.
    pub fn new(slots: usize) -> Self {
        FakeBackend { slots, served: COLD_REQUESTS, ..FakeBackend::default() }
    }

    /// Takes an attempt. Returns none if it sheds it, else whether it starts at once.
    pub fn take(&mut self, attempt: AttemptId) -> Option<bool> {
        if self.running.len() < self.slots {
            self.running.push(attempt);
            return Some(true);
        }
        if self.waiting.len() >= QUEUE {
            return None;
        }
        self.waiting.push_back(attempt);
        Some(false)
    }

    /// Ends an attempt in any state. Returns the attempt that starts in its place.
    pub fn end(&mut self, attempt: AttemptId) -> Option<AttemptId> {
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

    /// Work of a request, log-normal, more after a cold start.
    pub fn draw_work(&mut self, rng: &mut SmallRng) -> Duration {
        let (u, v): (f64, f64) = (rng.random::<f64>().max(1e-12), rng.random());
        let normal = (-2.0 * u.ln()).sqrt() * (2.0 * std::f64::consts::PI * v).cos();
        let cold = f64::from(COLD_REQUESTS - self.served.min(COLD_REQUESTS));
        let factor = 1.0 + (COLD_FACTOR - 1.0) * cold / f64::from(COLD_REQUESTS);
        self.served = self.served.saturating_add(1);
        Duration::from_secs_f64(MEDIAN_S * (SPREAD * normal).exp() * factor)
    }
}
