use std::time::Duration;

use kernel::Uptime;

/// Exponentially weighted moving average (EWMA) of the logarithms of latencies.
///
/// Service times are roughly log-normal, so their logarithms are roughly normal and a single
/// outlier moves the mean only a little.
#[derive(Clone, Debug)]
pub(crate) struct LatencyEwma {
    /// Smoothing factor in (0, 1): the minimum weight of a new sample.
    alpha: f64,
    /// Mean of ln(latency in seconds).
    mean: f64,
    /// Number of samples since the last reset.
    count: u32,
    /// Time of the most recent sample.
    last_sample: Uptime,
}

impl LatencyEwma {
    /// Creates an average without samples.
    pub fn new(alpha: f64) -> Self {
        LatencyEwma { alpha, mean: 0.0, count: 0, last_sample: Uptime::ZERO }
    }

    /// Adds a sample, ln(latency in seconds).
    pub fn add(&mut self, now: Uptime, sample: f64) {
        self.count = self.count.saturating_add(1);
        // A plain average until 1 / count falls below the smoothing factor.
        let weight = self.alpha.max(1.0 / f64::from(self.count));
        self.mean += weight * (sample - self.mean);
        self.last_sample = now;
    }

    /// Returns the mean, or none with fewer than `min_samples` samples or if the last one is older
    /// than `max_age`.
    pub fn mean(&self, now: Uptime, min_samples: u32, max_age: Duration) -> Option<f64> {
        (self.count >= min_samples && now.saturating_sub(self.last_sample) <= max_age)
            .then_some(self.mean)
    }

    /// Removes all samples.
    pub fn reset(&mut self) {
        *self = LatencyEwma::new(self.alpha);
    }
}

/// Returns the median, or none if there are no values.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    // For an even count, the upper of the two middle values: a baseline that is too slow causes
    // fewer ejections.
    values.get(values.len() / 2).copied()
}

/// Logarithm of the probability that a standard normal variable exceeds `z`.
pub(crate) fn ln_tail(z: f64) -> f64 {
    if z <= 0.0 {
        return 0.0;
    }
    // Birnbaum's lower bound of the tail probability, within 2% for z > 2, where the thresholds
    // lie.
    let bound = 2.0 / (z + (z * z + 4.0).sqrt());
    -z * z / 2.0 - 0.5 * (2.0 * std::f64::consts::PI).ln() + bound.ln()
}
