use std::time::Duration;

use kernel::Uptime;

/// EWMA weight of a new sample after the first 64; the mean then covers about the last 64 samples.
const MEAN_ALPHA: f64 = 1.0 / 64.0;
/// Relative step by which a sample moves the quantile estimates.
const QUANTILE_STEP: f64 = 0.05;
/// Time without samples after which the estimates start to decay.
const DECAY_DELAY: Duration = Duration::from_secs(1);
/// Lower bound of a sample, which keeps the multiplicative quantile estimates above zero.
const MIN_SERVICE_TIME_S: f64 = 1e-5;

/// Running estimate of the time for which one request occupies a slot.
///
/// After a second without samples the estimate halves every second. Otherwise a slow phase could
/// make the queue refuse every request as too late, and without running requests the estimate
/// would never improve.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimeEstimate {
    /// Number of samples; saturates.
    samples: u32,
    mean_s: f64,
    p10_s: f64,
    p98_s: f64,
    last_sample: Uptime,
}

impl ServiceTimeEstimate {
    /// Adds the measured slot time of one request.
    pub fn record(&mut self, now: Uptime, used: Duration) {
        let s = used.as_secs_f64().max(MIN_SERVICE_TIME_S);
        self.samples = self.samples.saturating_add(1);
        self.last_sample = now;
        if self.samples == 1 {
            (self.mean_s, self.p10_s, self.p98_s) = (s, s, s);
            return;
        }
        let weight = MEAN_ALPHA.max(1.0 / f64::from(self.samples));
        self.mean_s += weight * (s - self.mean_s);
        let step = QUANTILE_STEP.max(weight);
        self.p10_s *= (step * if s < self.p10_s { -0.9 } else { 0.1 }).exp();
        self.p98_s *= (step * if s < self.p98_s { -0.02 } else { 0.98 }).exp();
    }

    /// Number of samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Mean in seconds; 0 without samples.
    pub fn mean_s(&self, now: Uptime) -> f64 {
        self.mean_s * self.decay(now)
    }

    /// 10th percentile in seconds; 0 without samples.
    pub fn p10_s(&self, now: Uptime) -> f64 {
        self.p10_s * self.decay(now)
    }

    /// 98th percentile in seconds; 0 without samples.
    pub fn p98_s(&self, now: Uptime) -> f64 {
        self.p98_s * self.decay(now)
    }

    /// Factor for the age of the last sample.
    fn decay(&self, now: Uptime) -> f64 {
        let idle = now.saturating_sub(self.last_sample).saturating_sub(DECAY_DELAY);
        (-idle.as_secs_f64()).exp2()
    }
}
