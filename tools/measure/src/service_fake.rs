//! Fake of a service for the experiments on queue and retries.

use std::time::Duration;

use rand::{Rng, RngCore};

/// Median of the service times, in seconds.
pub const MEDIAN_S: f64 = 0.05;
/// 99th percentile of the service times, in seconds.
pub const P99_S: f64 = 0.25;
/// 99th percentile of the standard normal distribution.
const NORMAL_P99: f64 = 2.326_348;

/// Mean of the service times, in seconds.
pub fn mean_s() -> f64 {
    MEDIAN_S * (sigma() * sigma() / 2.0).exp()
}

fn sigma() -> f64 {
    (P99_S / MEDIAN_S).ln() / NORMAL_P99
}

/// A log-normal service time.
pub fn service_time(rng: &mut dyn RngCore) -> Duration {
    // Box-Muller transform; 1 - u is never zero.
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    Duration::from_secs_f64(MEDIAN_S * (sigma() * normal).exp())
}

/// Time until the next arrival of a Poisson process of this rate per second.
pub fn next_arrival(rng: &mut dyn RngCore, rate: f64) -> Duration {
    let u: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - u).ln() / rate)
}

/// Weighted max-min parts of a capacity; each demand comes with its weight.
pub fn max_min(demands: &[(f64, f64)], capacity: f64) -> Vec<f64> {
    let mut parts = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| {
        let level = |i: &usize| demands[*i].0 / demands[*i].1;
        level(a).total_cmp(&level(b))
    });
    let mut left = capacity;
    let mut weights: f64 = demands.iter().map(|d| d.1).sum();
    for i in order {
        let (demand, weight) = demands[i];
        parts[i] = demand.min(left * weight / weights);
        left -= parts[i];
        weights -= weight;
    }
    parts
}
