use std::time::Duration;

use kernel::Uptime;

/// Weight of a new sample once the first ones are in: the estimate follows the last 64 or so.
const GAIN: f64 = 1.0 / 64.0;
/// Relative step of the quantile estimates per sample.
const STEP: f64 = 0.05;
/// Silence after which the estimates start to halve.
const FRESH: Duration = Duration::from_secs(1);
/// Shortest service time that the estimates tell apart, in seconds.
const SHORTEST_S: f64 = 1e-5;

/// Running estimate of the time that one request occupies a slot.
///
/// Without samples for a while the estimate halves every second. Otherwise a slow phase could make
/// the queue refuse every request as too late, and with no request running the estimate would
/// never improve.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    /// Number of samples; saturates.
    samples: u32,
    /// Mean in seconds.
    mean: f64,
    /// Tenth percentile in seconds.
    low: f64,
    /// 98th percentile in seconds.
    high: f64,
    /// Time of the last sample.
    last: Uptime,
}

impl ServiceTime {
    /// Adds one measured time.
    pub fn add(&mut self, now: Uptime, used: Duration) {
        let s = used.as_secs_f64().max(SHORTEST_S);
        self.samples = self.samples.saturating_add(1);
        self.last = now;
        if self.samples == 1 {
            (self.mean, self.low, self.high) = (s, s, s);
            return;
        }
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.mean += gain * (s - self.mean);
        let step = STEP.max(gain);
        self.low *= (step * if s < self.low { -0.9 } else { 0.1 }).exp();
        self.high *= (step * if s < self.high { -0.02 } else { 0.98 }).exp();
    }

    /// Number of samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Mean in seconds; zero without samples.
    pub fn mean(&self, now: Uptime) -> f64 {
        self.mean * self.fade(now)
    }

    /// Tenth percentile in seconds; zero without samples.
    pub fn low(&self, now: Uptime) -> f64 {
        self.low * self.fade(now)
    }

    /// 98th percentile in seconds; zero without samples.
    pub fn high(&self, now: Uptime) -> f64 {
        self.high * self.fade(now)
    }

    fn fade(&self, now: Uptime) -> f64 {
        let silent = now.saturating_sub(self.last).saturating_sub(FRESH);
        (-silent.as_secs_f64()).exp2()
    }
}
