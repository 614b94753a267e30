use std::time::Duration;

use kernel::Uptime;

/// EWMA smoothing factor of the shed rate.
const SHED_RATE_ALPHA: f64 = 0.25;
/// Half-life of the shed rate of an unused backend server.
const SHED_RATE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Fraction of its requests that a backend server sheds, that is refuses without running them
/// although it has free slots.
///
/// Handles a service whose backend servers all shed half of their requests: a shed request can be
/// sent elsewhere, so that it costs less than a failed one, and another region is no better if its
/// backend servers shed as well.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShedRate {
    /// Shed rate at `updated_at`. In [0, 1].
    rate: f64,
    updated_at: Uptime,
}

impl ShedRate {
    /// The shed rate now.
    pub fn get(self, now: Uptime) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * 0.5_f64.powf(age / SHED_RATE_HALF_LIFE.as_secs_f64())
    }

    /// Records one response: whether the request was shed.
    pub fn observe(&mut self, now: Uptime, shed: bool) {
        let rate = self.get(now);
        let sample = if shed { 1.0 } else { 0.0 };
        *self = ShedRate { rate: rate + SHED_RATE_ALPHA * (sample - rate), updated_at: now };
    }
}
