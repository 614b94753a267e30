use std::time::Duration;

use kernel::Uptime;

/// Mean of logarithms of latencies that follows its samples.
///
/// Service times are close to log-normal, so their logarithms are close to normal and a mean of
/// them is not moved far by a straggler.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    /// Weight of a new sample, in (0, 1).
    pace: f64,
    /// Mean of the logarithms of seconds.
    mean: f64,
    /// Samples so far.
    count: u32,
    /// When the last sample came.
    last: Uptime,
}

impl Baseline {
    /// A baseline without samples.
    pub fn new(pace: f64) -> Self {
        Baseline { pace, mean: 0.0, count: 0, last: Uptime::ZERO }
    }

    /// Takes a sample, the logarithm of seconds.
    pub fn add(&mut self, now: Uptime, sample: f64) {
        self.count = self.count.saturating_add(1);
        // Plain average until the moving one has enough samples.
        let weight = self.pace.max(1.0 / f64::from(self.count));
        self.mean += weight * (sample - self.mean);
        self.last = now;
    }

    /// The mean; none with fewer than `least` samples or if the last is older than `age`.
    pub fn mean(&self, now: Uptime, least: u32, age: Duration) -> Option<f64> {
        (self.count >= least && now.saturating_sub(self.last) <= age).then_some(self.mean)
    }

    /// Forgets all samples.
    pub fn reset(&mut self) {
        *self = Baseline::new(self.pace);
    }
}

/// Median of the values; none without values.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    // The upper of two middle values: a baseline that is too slow ejects less.
    values.get(values.len() / 2).copied()
}

/// Logarithm of the probability that a standard normal variable exceeds `z`.
pub(crate) fn ln_tail(z: f64) -> f64 {
    if z <= 0.0 {
        return 0.0;
    }
    // Birnbaum's lower bound of the tail; within 2% for z above 2, the range that decides.
    let bound = 2.0 / (z + (z * z + 4.0).sqrt());
    -z * z / 2.0 - 0.5 * (2.0 * std::f64::consts::PI).ln() + bound.ln()
}
