use std::collections::VecDeque;
use std::time::Duration;

use kernel::Uptime;

use crate::timing::TOKEN_RETRY_DELAY;

/// Time constant of the measured rates, in seconds. Traffic bursts of the holiday return last
/// longer than this.
const TIME_CONSTANT_S: f64 = 1.0;

/// Time after its retry was due at which a waiting request counts as abandoned.
const ABANDONED_AFTER: Duration = Duration::from_millis(100);

/// Demand of one organisation on this VM.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    arrival_rate: f64,
    /// Requests per second that got a token here.
    served_rate: f64,
    updated: Uptime,
    /// Times at which waiting requests try again, in ascending order.
    waiting: VecDeque<Uptime>,
}

impl Demand {
    fn decay(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let factor = (-elapsed / TIME_CONSTANT_S).exp();
        self.arrival_rate *= factor;
        self.served_rate *= factor;
        while self.waiting.front().is_some_and(|due| *due + ABANDONED_AFTER < now) {
            self.waiting.pop_front();
        }
    }

    /// Records a request. If a waiting request is due it counts as the retry of that one, otherwise
    /// as a new request.
    pub fn record_arrival(&mut self, now: Uptime) {
        self.decay(now);
        if self.waiting.front().is_some_and(|due| *due <= now) {
            self.waiting.pop_front();
        } else {
            self.arrival_rate += 1.0 / TIME_CONSTANT_S;
        }
    }

    /// Records that the request that has just arrived got its token.
    pub fn record_served(&mut self) {
        self.served_rate += 1.0 / TIME_CONSTANT_S;
    }

    /// Requests per second that got a token here.
    pub fn served_rate(&mut self, now: Uptime) -> f64 {
        self.decay(now);
        self.served_rate
    }

    /// Makes the request that has just arrived wait; returns the time until it tries again.
    pub fn start_wait(&mut self, now: Uptime) -> Duration {
        self.waiting.push_back(now + TOKEN_RETRY_DELAY);
        TOKEN_RETRY_DELAY
    }

    /// Returns the new requests per second and the number of waiting requests.
    pub fn measure(&mut self, now: Uptime) -> (f64, usize) {
        self.decay(now);
        (self.arrival_rate, self.waiting.len())
    }
}
