use std::collections::VecDeque;
use std::time::Duration;

use kernel::Uptime;

use crate::timing::WAIT;

/// Time constant of the measured demand. Bursts of the holiday return last longer.
const MEMORY_S: f64 = 1.0;

/// A request that has not asked again this long after it should have has been given up.
const GONE: Duration = Duration::from_millis(100);

/// Requests that arrive for one organisation on this VM.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    per_second: f64,
    /// Requests per second that got a token here.
    served: f64,
    at: Uptime,
    /// Times at which waiting requests ask again, in order.
    waiting: VecDeque<Uptime>,
}

impl Demand {
    fn decay(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let keep = (-elapsed / MEMORY_S).exp();
        self.per_second *= keep;
        self.served *= keep;
        while self.waiting.front().is_some_and(|due| *due + GONE < now) {
            self.waiting.pop_front();
        }
    }

    /// Notes a request: one that waited and asks again if one is due, else a new one.
    pub fn arrive(&mut self, now: Uptime) {
        self.decay(now);
        if self.waiting.front().is_some_and(|due| *due <= now) {
            self.waiting.pop_front();
        } else {
            self.per_second += 1.0 / MEMORY_S;
        }
    }

    /// Notes that the request that has just arrived got its token.
    pub fn served(&mut self) {
        self.served += 1.0 / MEMORY_S;
    }

    /// Requests per second that got a token.
    pub fn supply(&mut self, now: Uptime) -> f64 {
        self.decay(now);
        self.served
    }

    /// Lets the request that has just arrived wait.
    pub fn wait(&mut self, now: Uptime) -> Duration {
        self.waiting.push_back(now + WAIT);
        WAIT
    }

    /// New requests per second, and requests that wait.
    pub fn measure(&mut self, now: Uptime) -> (f64, usize) {
        self.decay(now);
        (self.per_second, self.waiting.len())
    }
}
