use std::time::Duration;

use kernel::Uptime;

/// Weight of a new observation.
const GAIN: f64 = 0.25;
/// Time in which the rate of an unused backend server halves.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Part of the requests that a backend server refuses unrun although it has room.
///
/// Answers a service whose backend servers all shed half of their work: the requests have not run
/// and can go elsewhere, so that shedding costs less than a failure, and nothing is gained by going
/// to another region if it is the same there.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShedRate {
    /// Rate at `at`. In [0, 1].
    rate: f64,
    at: Uptime,
}

impl ShedRate {
    /// The rate now.
    pub fn get(self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Takes one answer: whether it refused the request unrun.
    pub fn observe(&mut self, now: Uptime, refused: bool) {
        let rate = self.get(now);
        let seen = if refused { 1.0 } else { 0.0 };
        *self = ShedRate { rate: rate + GAIN * (seen - rate), at: now };
    }
}
